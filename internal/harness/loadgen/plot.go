package loadgen

import (
	"fmt"
	"math"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	// Register the formats that SavePlot can write.
	_ "gonum.org/v1/plot/vg/vgimg"
	_ "gonum.org/v1/plot/vg/vgsvg"
)

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 14 * vg.Centimeter
	// maxNines is the end of the horizontal axis: 99.99 % has four nines.
	maxNines = 4
	// stepsPerNine is the number of points of a line from one nine to the next.
	stepsPerNine = 20
)

// SavePlot plots the latency of each series by percentile. The horizontal axis is
// logarithmic: each unit adds a nine to the percentile. The extension of the file, .svg
// or .png, selects the format. The report must come from Run: one that was read from a
// file has no histograms, so its plot has no lines.
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

// addLines adds a line for each histogram of the series. lineCount counts the lines of
// the plot, which gives each line its own colour.
func (s SeriesReport) addLines(p *plot.Plot, lineCount *int) error {
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
		line.Color = plotutil.Color(*lineCount)
		*lineCount++
		p.Add(line)
		p.Legend.Add(fmt.Sprintf("%s %s: %s", s.Profile, s.Ending, part.name), line)
	}
	return nil
}

// points returns the points of a line. It ends at the percentile above which the
// histogram has less than one value.
func (h histogram) points() plotter.XYs {
	var points plotter.XYs
	count := float64(h.h.TotalCount())
	for step := 0; step <= maxNines*stepsPerNine; step++ {
		nines := float64(step) / stepsPerNine
		tail := math.Pow(10, -nines)
		if tail*count < 1 {
			break
		}
		value := milliseconds(max(minRecorded, h.h.ValueAtPercentile(100*(1-tail))))
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
