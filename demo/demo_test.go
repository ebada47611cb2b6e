package demo_test

import (
	"bytes"
	"context"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/checks"
	"github.com/hibiscuslever/hibiscuslever/demo"
)

// TestMain also checks that hosts, stand-ins and clients leave no goroutine when they stop.
func TestMain(m *testing.M) { checks.Main(m) }

func TestDemoFleet(t *testing.T) {
	var out bytes.Buffer
	assert.NilError(t, demo.Run(context.Background(), &out), out.String())
	for _, name := range []string{"tender pack", "long schedule", "short question", "booking again"} {
		assert.Assert(t, strings.Contains(out.String(), name), out.String())
	}
	http.DefaultClient.CloseIdleConnections()
}
