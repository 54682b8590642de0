package loadgen

import (
	"fmt"
	"math"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	// The formats that SavePlot can write.
	_ "gonum.org/v1/plot/vg/vgimg"
	_ "gonum.org/v1/plot/vg/vgsvg"
)

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 14 * vg.Centimeter
	plotDigits = 4 // of nines on the horizontal axis
	plotSteps  = 20
)

// SavePlot draws latency over percentile of each series, with a nine more at each
// unit to the right. The file's extension, .svg or .png, says the format. It needs a
// report of a run and not one that was read from a file.
func (r *Report) SavePlot(file string) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%d requests at %.0f a second", r.Requests, r.Rate)
	p.X.Label.Text = "percentile"
	p.X.Tick.Marker = percentileTicks()
	p.Y.Label.Text = "ms"
	p.Y.Scale = plot.LogScale{}
	p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Add(plotter.NewGrid())
	lines := 0
	for _, s := range r.Series {
		if err := s.addLines(p, &lines); err != nil {
			return err
		}
	}
	return p.Save(plotWidth, plotHeight, file)
}

// addLines numbers its lines on, for each to have its colour.
func (s SeriesReport) addLines(p *plot.Plot, number *int) error {
	if s.series == nil {
		return nil
	}
	for _, part := range []struct {
		name string
		h    histogram
	}{{"first token", s.series.first}, {"between tokens", s.series.between}, {"whole", s.series.whole}} {
		if part.h.h.TotalCount() == 0 {
			continue
		}
		line, err := plotter.NewLine(part.h.points())
		if err != nil {
			return err
		}
		line.Color = plotutil.Color(*number)
		*number++
		p.Add(line)
		p.Legend.Add(fmt.Sprintf("%s %s: %s", s.Profile, s.Ending, part.name), line)
	}
	return nil
}

// points stop where there are too few values for the percentile.
func (h histogram) points() plotter.XYs {
	var points plotter.XYs
	count := float64(h.h.TotalCount())
	for step := 0; step <= plotDigits*plotSteps; step++ {
		nines := float64(step) / plotSteps
		rest := math.Pow(10, -nines)
		if rest*count < 1 {
			break
		}
		value := milliseconds(max(lowest, h.h.ValueAtPercentile(100*(1-rest))))
		points = append(points, plotter.XY{X: nines, Y: value})
	}
	return points
}

func percentileTicks() plot.ConstantTicks {
	ticks := plot.ConstantTicks{{Value: 0, Label: "0"}}
	for nines, label := range []string{"90", "99", "99.9", "99.99"} {
		ticks = append(ticks, plot.Tick{Value: float64(nines + 1), Label: label})
	}
	return ticks
}
