package demo_test

import (
	"bytes"
	"context"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/demo"
	"github.com/hibiscuslever/hibiscuslever/testutil"
)

// TestMain also checks that stopped hosts, stand-ins and clients leave no goroutine behind.
func TestMain(m *testing.M) { testutil.Main(m) }

// TestDemoFleet checks that all results of the demo are right and appear in its output.
func TestDemoFleet(t *testing.T) {
	var out bytes.Buffer
	assert.NilError(t, demo.Run(context.Background(), &out), out.String())
	for _, name := range []string{"tender pack", "long schedule", "short question", "booking again"} {
		assert.Assert(t, strings.Contains(out.String(), name), out.String())
	}
	// Idle connections keep goroutines, which TestMain would report as leaked.
	http.DefaultClient.CloseIdleConnections()
}
