package shift

import (
	"image/color"
	"path/filepath"
	"strings"
	"sync"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	// plotWindow is the number of seconds that each point of a goodput line
	// covers.
	plotWindow = 5
	// plotWidth and plotHeight are the size of an image.
	plotWidth  = 7 * vg.Inch
	plotHeight = 3.5 * vg.Inch
)

// plotColors are the colors of the lines of a plot.
var plotColors = []color.Color{
	color.RGBA{R: 31, G: 119, B: 180, A: 255},
	color.RGBA{R: 255, G: 127, B: 14, A: 255},
	color.RGBA{R: 44, G: 160, B: 44, A: 255},
	color.RGBA{R: 214, G: 39, B: 40, A: 255},
	color.RGBA{R: 120, G: 120, B: 120, A: 255},
	color.RGBA{R: 148, G: 103, B: 189, A: 255},
}

// traceRuns are the runs of one deployment that the image of a trace shows, by
// policy.
type traceRuns struct {
	ours, withRoles, baseline figures
}

// WritePlots simulates every trace and writes an image of each into a directory.
// An image shows, over time, the share of the offered work that was answered in time
// and the share of the engines that only prefill or only decode.
func WritePlots(dir string) error {
	for _, t := range traces(1) {
		runs := make([]traceRuns, len(deployments()))
		var wait sync.WaitGroup
		for i, d := range deployments() {
			wait.Go(func() { runs[i].ours = measure(d, t, policyNamed("ours"), true) })
			wait.Go(func() { runs[i].withRoles = measure(d, t, policyNamed("ours, with roles"), true) })
			wait.Go(func() { runs[i].baseline = measure(d, t, policyNamed("least outstanding"), true) })
		}
		wait.Wait()
		if err := draw(dir, t.name, runs); err != nil {
			return err
		}
	}
	return nil
}

// draw writes the image of one trace.
func draw(dir, name string, runs []traceRuns) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = name, "seconds", "share"
	p.Y.Min, p.Y.Max = 0, 1.05
	p.Legend.Top, p.Legend.Left = false, true
	for i := range runs {
		run := &runs[i]
		lines := []struct {
			name   string
			points plotter.XYs
		}{
			{"goodput, ours", run.ours.tally.goodputLine()},
			{"goodput, least outstanding", run.baseline.tally.goodputLine()},
			{"engines with one role, ours with roles", run.withRoles.tally.roleLine()},
		}
		for j, line := range lines {
			if err := addLine(p, run.ours.Deployment+": "+line.name, line.points, i*len(lines)+j); err != nil {
				return err
			}
		}
	}
	return p.Save(plotWidth, plotHeight, filepath.Join(dir, strings.ReplaceAll(name, " ", "-")+".png"))
}

// addLine adds one line and its legend entry to a plot.
func addLine(p *plot.Plot, name string, points plotter.XYs, number int) error {
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Color = plotColors[number%len(plotColors)]
	p.Add(line)
	p.Legend.Add(name, line)
	return nil
}

// goodputLine returns the share of the work offered in each window that was
// answered in time.
func (t *tally) goodputLine() plotter.XYs {
	last := 0
	for second := range t.bySecond {
		last = max(last, second)
	}
	var points plotter.XYs
	for start := 0; start <= last; start += plotWindow {
		offered, answered := 0.0, 0.0
		for second := start; second < start+plotWindow; second++ {
			if c, ok := t.bySecond[second]; ok {
				offered += c.offeredWork
				answered += c.answeredWork
			}
		}
		if offered > 0 {
			points = append(points, plotter.XY{X: float64(start), Y: answered / offered})
		}
	}
	return points
}

// roleLine returns the share of the engines that only prefill or only decode.
func (t *tally) roleLine() plotter.XYs {
	points := make(plotter.XYs, 0, len(t.samples))
	for _, s := range t.samples {
		points = append(points, plotter.XY{X: s.at.Seconds(), Y: float64(s.prefill+s.decode) / float64(max(1, s.engines))})
	}
	return points
}
