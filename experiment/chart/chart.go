// Package chart draws what experiments give.
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
	// window is the time over which benefit is added up.
	window = time.Second
	// dotRadius is the size of a request's dot, lineWidth that of a line.
	dotRadius = 1.2 * vg.Millimeter / 2
	lineWidth = 0.5 * vg.Millimeter
)

// Series is the result of one way to place requests.
type Series struct {
	Name   string
	Requests []experiment.RequestResult
}

// CheckFileName reports whether a file's name says which kind of picture to draw.
func CheckFileName(path string) error {
	switch strings.ToLower(filepath.Ext(path)) {
	case ".svg", ".png":
		return nil
	default:
		return fmt.Errorf("the chart %q is to end in .svg or .png", path)
	}
}

// Write draws the time to the first event by prompt length, and the benefit over time with what was owed, to a file.
func Write(path, title string, all []Series) error {
	if err := CheckFileName(path); err != nil {
		return err
	}
	first, err := firstEvents(title, all)
	if err != nil {
		return err
	}
	benefit, err := benefitOverTime(all)
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
	panels := plot.Align([][]*plot.Plot{{first}, {benefit}}, draw.Tiles{Rows: rows, Cols: 1, PadY: vg.Centimeter, PadRight: vg.Centimeter}, draw.New(canvas))
	first.Draw(panels[0][0])
	benefit.Draw(panels[1][0])
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

// colourOf returns the colour of a series.
func colourOf(ix int) color.Color {
	const most = 9
	colours, err := brewer.GetPalette(brewer.TypeQualitative, "Set1", most)
	if err != nil {
		return color.Black
	}
	return colours.Colors()[ix%most]
}

// firstEvents draws a dot for each request that had a first event.
func firstEvents(title string, all []Series) (*plot.Plot, error) {
	pl := plot.New()
	pl.Title.Text = title
	pl.X.Label.Text = "prompt (tokens)"
	pl.Y.Label.Text = "time to the first event (s)"
	pl.X.Scale, pl.Y.Scale = plot.LogScale{}, plot.LogScale{}
	pl.X.Tick.Marker, pl.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: -1}
	pl.Add(plotter.NewGrid())
	for ix, sr := range all {
		var dots plotter.XYs
		for _, pt := range sr.Requests {
			if pt.TimeToFirstEvent > 0 && pt.PromptTokens > 0 {
				dots = append(dots, plotter.XY{X: float64(pt.PromptTokens), Y: pt.TimeToFirstEvent.Seconds()})
			}
		}
		if len(dots) == 0 {
			continue
		}
		scatter, err := plotter.NewScatter(dots)
		if err != nil {
			return nil, err
		}
		scatter.GlyphStyle = draw.GlyphStyle{Color: colourOf(ix), Radius: dotRadius, Shape: draw.CircleGlyph{}}
		pl.Add(scatter)
		pl.Legend.Add(sr.Name, scatter)
	}
	pl.Legend.Top, pl.Legend.Left = true, true
	return pl, nil
}

// benefitOverTime draws the benefit earned in each second by the time of arrival, and what was owed.
func benefitOverTime(all []Series) (*plot.Plot, error) {
	pl := plot.New()
	pl.X.Label.Text = "time of arrival (s)"
	pl.Y.Label.Text = "benefit a second"
	pl.Add(plotter.NewGrid())
	for ix, sr := range all {
		earned, owed := addUp(sr.Requests)
		if ix == 0 {
			if err := addLine(pl, "owed", owed, color.Gray{Y: 150}); err != nil {
				return nil, err
			}
		}
		if err := addLine(pl, sr.Name, earned, colourOf(ix)); err != nil {
			return nil, err
		}
	}
	pl.Legend.Top = true
	return pl, nil
}

// addUp adds up what each window earned and what it was owed.
func addUp(points []experiment.RequestResult) (earned, owed plotter.XYs) {
	for _, pt := range points {
		at := int(pt.SinceStart / window)
		for len(owed) <= at {
			start := float64(len(owed)) * window.Seconds()
			earned = append(earned, plotter.XY{X: start})
			owed = append(owed, plotter.XY{X: start})
		}
		earned[at].Y += pt.EarnedBenefit
		owed[at].Y += pt.PossibleBenefit
	}
	return earned, owed
}

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
