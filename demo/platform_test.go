package demo_test

import (
	"bytes"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/demo"
)

// TestPlatformDemoServesEachKind serves one request of each kind on a stand-in of the users' platform.
func TestPlatformDemoServesEachKind(t *testing.T) {
	var out bytes.Buffer
	assert.NilError(t, demo.RunPlatform(t.Context(), &out))
	for _, row := range []string{
		`short question +200 +engine-\d +5`,
		`long schedule, read by several engines +200 +engine-\d +5`,
		`tender larger than an engine +200 +engine-\d +5`,
		`booking that may not be repeated +200 +book-1`,
		`look-up +200 +book-1`,
		`unknown path +404 +- `,
	} {
		assert.Assert(t, regexp.MustCompile(row).MatchString(out.String()), "%s in\n%s", row, out.String())
	}
	assert.Assert(t, strings.HasPrefix(out.String(), "the directory names "), out.String())
}
