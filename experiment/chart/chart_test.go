package chart_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/experiment"
	"github.com/hibiscuslever/hibiscuslever/experiment/chart"
)

// TestWrite checks that charts are written in both formats and contain the title and the legends.
func TestWrite(t *testing.T) {
	series := []chart.Series{
		{Name: "first policy", Requests: []experiment.RequestResult{
			{SinceStart: time.Second, PromptTokens: 1000, TimeToFirstEvent: 100 * time.Millisecond, PossibleBenefit: 2, EarnedBenefit: 1},
			{SinceStart: 3 * time.Second, PromptTokens: 100_000, TimeToFirstEvent: 2 * time.Second, PossibleBenefit: 20, EarnedBenefit: 20},
		}},
		{Name: "no answers", Requests: []experiment.RequestResult{{SinceStart: time.Second, PromptTokens: 1000, PossibleBenefit: 2}}},
	}
	dir := t.TempDir()
	vector, raster := filepath.Join(dir, "chart.svg"), filepath.Join(dir, "chart.PNG")
	assert.NilError(t, chart.Write(vector, "a day", series))
	assert.NilError(t, chart.Write(raster, "a day", series))
	text, err := os.ReadFile(vector)
	assert.NilError(t, err)
	for _, want := range []string{"<svg", "a day", "first policy", "possible benefit"} {
		assert.Assert(t, strings.Contains(string(text), want), want)
	}
	picture, err := os.ReadFile(raster)
	assert.NilError(t, err)
	assert.Assert(t, strings.HasPrefix(string(picture), "\x89PNG"))
}

// TestUnsupportedFormat checks that other formats are rejected before a file is created.
func TestUnsupportedFormat(t *testing.T) {
	path := filepath.Join(t.TempDir(), "chart.txt")
	assert.ErrorContains(t, chart.Write(path, "a day", nil), ".svg or .png")
	_, err := os.Stat(path)
	assert.Assert(t, os.IsNotExist(err))
}
