package labbench

import (
	"fmt"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// plottedFigures returns the names of the figures of which plots are drawn.
func plottedFigures() []string {
	return []string{
		"change.one.p50", "change.one.p99", "change.tenth.p50", "change.one.bytes", "rest.bytes", "rest.cpu",
		"change.one.reads", "held.resident", "held.goroutines", "restart.seconds", "restart.reads",
	}
}

// plot draws the plotted figures of each experiment, with one line for each system.
func (r *Report) plot() error {
	for _, name := range Names() {
		for _, f := range plottedFigures() {
			if err := r.plotFigure(name, f); err != nil {
				return fmt.Errorf("plot %s over %s: %w", f, name, err)
			}
		}
	}
	return nil
}

func (r *Report) plotFigure(experiment, figure string) error {
	p := plot.New()
	p.Title.Text, p.Y.Label.Text = figure, figure
	var lines []any
	for _, s := range r.series {
		if s.experiment.name != experiment {
			continue
		}
		p.X.Label.Text = string(s.experiment.axis)
		if xys := s.xys(figure); len(xys) > 1 {
			lines = append(lines, s.experiment.system.name(), xys)
		}
	}
	if len(lines) == 0 {
		return nil
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return fmt.Errorf("add lines: %w", err)
	}
	path := filepath.Join(r.options.folder, experiment+"."+figure+".svg")
	if err := p.Save(16*vg.Centimeter, 10*vg.Centimeter, path); err != nil {
		return fmt.Errorf("save plot: %w", err)
	}
	return nil
}

func (s series) xys(figure string) plotter.XYs {
	x, y := points(s.samples, s.experiment.axis, figure)
	xys := make(plotter.XYs, len(x))
	for i := range x {
		xys[i] = plotter.XY{X: x[i], Y: y[i]}
	}
	return xys
}
