// Package chart draws the results of experiments.
package chart

import (
	"fmt"
	"image/color"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/palette/brewer"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
	"gonum.org/v1/plot/vg/vgsvg"

	"github.com/hibiscuslever/hibiscuslever/experiment"
)

const (
	width  = 9 * vg.Inch
	height = 10 * vg.Inch
	// benefitWindow is the length of the time windows in which the benefit of the arriving requests is summed.
	benefitWindow = time.Second
	// dotRadius is the radius of the dot of a request.
	dotRadius = 1.2 * vg.Millimeter / 2
	lineWidth = 0.5 * vg.Millimeter
)

// Series holds the results of one dispatch policy.
type Series struct {
	Name     string
	Requests []experiment.RequestResult
}

// CheckFileName returns an error unless the file name has the extension of a supported format, .svg or .png in upper or
// lower case.
func CheckFileName(path string) error {
	switch strings.ToLower(filepath.Ext(path)) {
	case ".svg", ".png":
		return nil
	default:
		return fmt.Errorf("the chart file name %q must end in .svg or .png", path)
	}
}

// Write draws a chart to a file, in the format of the extension of its name. The upper plot shows the time to the first
// event by prompt length, the lower one the benefit by time of arrival.
func Write(path, title string, series []Series) error {
	if err := CheckFileName(path); err != nil {
		return err
	}
	firstEventPlot, err := plotFirstEventTimes(title, series)
	if err != nil {
		return err
	}
	benefitPlot, err := plotBenefit(series)
	if err != nil {
		return err
	}
	var canvas interface {
		vg.CanvasSizer
		io.WriterTo
	}
	if strings.EqualFold(filepath.Ext(path), ".png") {
		canvas = vgimg.PngCanvas{Canvas: vgimg.New(width, height)}
	} else {
		canvas = vgsvg.New(width, height)
	}
	const rows = 2
	panels := plot.Align([][]*plot.Plot{{firstEventPlot}, {benefitPlot}}, draw.Tiles{Rows: rows, Cols: 1, PadY: vg.Centimeter, PadRight: vg.Centimeter}, draw.New(canvas))
	firstEventPlot.Draw(panels[0][0])
	benefitPlot.Draw(panels[1][0])
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	if _, err := canvas.WriteTo(file); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}

// seriesColour returns the colour of the series with this index. Colours repeat after nine series.
func seriesColour(index int) color.Color {
	const paletteSize = 9
	colours, err := brewer.GetPalette(brewer.TypeQualitative, "Set1", paletteSize)
	if err != nil {
		return color.Black
	}
	return colours.Colors()[index%paletteSize]
}

// plotFirstEventTimes returns a scatter plot with a dot for each request that had a first event. Both axes are
// logarithmic.
func plotFirstEventTimes(title string, series []Series) (*plot.Plot, error) {
	pl := plot.New()
	pl.Title.Text = title
	pl.X.Label.Text = "prompt (tokens)"
	pl.Y.Label.Text = "time to the first event (s)"
	pl.X.Scale, pl.Y.Scale = plot.LogScale{}, plot.LogScale{}
	pl.X.Tick.Marker, pl.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: -1}
	pl.Add(plotter.NewGrid())
	for index, sr := range series {
		var dots plotter.XYs
		for _, request := range sr.Requests {
			if request.TimeToFirstEvent > 0 && request.PromptTokens > 0 {
				dots = append(dots, plotter.XY{X: float64(request.PromptTokens), Y: request.TimeToFirstEvent.Seconds()})
			}
		}
		if len(dots) == 0 {
			continue
		}
		scatter, err := plotter.NewScatter(dots)
		if err != nil {
			return nil, err
		}
		scatter.GlyphStyle = draw.GlyphStyle{Color: seriesColour(index), Radius: dotRadius, Shape: draw.CircleGlyph{}}
		pl.Add(scatter)
		pl.Legend.Add(sr.Name, scatter)
	}
	pl.Legend.Top, pl.Legend.Left = true, true
	return pl, nil
}

// plotBenefit returns a plot of the benefit that each series earned with the requests that arrived in each second, and
// of the possible benefit, which is the same for all series.
func plotBenefit(series []Series) (*plot.Plot, error) {
	pl := plot.New()
	pl.X.Label.Text = "time of arrival (s)"
	pl.Y.Label.Text = "benefit a second"
	pl.Add(plotter.NewGrid())
	for index, sr := range series {
		earned, possible := sumBenefitByWindow(sr.Requests)
		if index == 0 {
			if err := addLine(pl, "possible benefit", possible, color.Gray{Y: 150}); err != nil {
				return nil, err
			}
		}
		if err := addLine(pl, sr.Name, earned, seriesColour(index)); err != nil {
			return nil, err
		}
	}
	pl.Legend.Top = true
	return pl, nil
}

// sumBenefitByWindow sums the earned and the possible benefit of the requests that arrived in each window.
func sumBenefitByWindow(requests []experiment.RequestResult) (earned, possible plotter.XYs) {
	for _, request := range requests {
		windowIndex := int(request.SinceStart / benefitWindow)
		for len(possible) <= windowIndex {
			start := float64(len(possible)) * benefitWindow.Seconds()
			earned = append(earned, plotter.XY{X: start})
			possible = append(possible, plotter.XY{X: start})
		}
		earned[windowIndex].Y += request.EarnedBenefit
		possible[windowIndex].Y += request.PossibleBenefit
	}
	return earned, possible
}

// addLine adds a line and its legend to a plot, unless there are no points.
func addLine(pl *plot.Plot, name string, points plotter.XYs, colour color.Color) error {
	if len(points) == 0 {
		return nil
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Color, line.Width = colour, lineWidth
	pl.Add(line)
	pl.Legend.Add(name, line)
	return nil
}
