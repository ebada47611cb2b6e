package hibiscuslever_test

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/settings"
	"github.com/hibiscuslever/hibiscuslever/state/lists"
)

func TestExamples(t *testing.T) {
	_, err := settings.Read("examples/host.ini")
	assert.NilError(t, err)
	fd := lists.NewReplica()
	fd.SetLogStart(0)
	for _, list := range lists.Names() {
		text, err := os.ReadFile("examples/" + strings.ToLower(string(list)) + ".ini")
		assert.NilError(t, err)
		sections, err := lists.ParseSections(list, text)
		assert.NilError(t, err)
		edit, err := fd.Lists().Diff(list, sections)
		assert.NilError(t, err)
		body, err := lists.EncodeRecord(lists.Record{Edit: &edit})
		assert.NilError(t, err)
		fd.ApplyRecord(fd.NextOffset(), body)
	}
	assert.Equal(t, len(fd.Lists().Organisations), 2)
}

// TestOperatingPage checks that the operators' page names every setting with its section.
func TestOperatingPage(t *testing.T) {
	page, err := os.ReadFile("docs/OPERATIONS.md")
	assert.NilError(t, err)
	for _, key := range settings.Keys() {
		assert.Assert(t, strings.Contains(string(page), "| "+key.Section+" | "+key.Name+" |"), "%s %s is not on the page", key.Section, key.Name)
	}
}
