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

// TestWrite draws a chart in both formats; what names the ways is in the picture.
func TestWrite(t *testing.T) {
	series := []chart.Series{
		{Name: "first way", Points: []experiment.Point{
			{At: time.Second, Prompt: 1000, First: 100 * time.Millisecond, Owed: 2, Earned: 1},
			{At: 3 * time.Second, Prompt: 100_000, First: 2 * time.Second, Owed: 20, Earned: 20},
		}},
		{Name: "no answers", Points: []experiment.Point{{At: time.Second, Prompt: 1000, Owed: 2}}},
	}
	dir := t.TempDir()
	vector, raster := filepath.Join(dir, "chart.svg"), filepath.Join(dir, "chart.PNG")
	assert.NilError(t, chart.Write(vector, "a day", series))
	assert.NilError(t, chart.Write(raster, "a day", series))
	text, err := os.ReadFile(vector)
	assert.NilError(t, err)
	for _, want := range []string{"<svg", "a day", "first way", "owed"} {
		assert.Assert(t, strings.Contains(string(text), want), want)
	}
	picture, err := os.ReadFile(raster)
	assert.NilError(t, err)
	assert.Assert(t, strings.HasPrefix(string(picture), "\x89PNG"))
}

// TestWrongName refuses other formats before anything is drawn.
func TestWrongName(t *testing.T) {
	path := filepath.Join(t.TempDir(), "chart.txt")
	assert.ErrorContains(t, chart.Write(path, "a day", nil), ".svg or .png")
	_, err := os.Stat(path)
	assert.Assert(t, os.IsNotExist(err))
}
