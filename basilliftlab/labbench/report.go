package labbench

import (
	"fmt"

	"github.com/jedib0t/go-pretty/v6/table"
)

// series holds the samples of one experiment and system.
type series struct {
	experiment experiment
	samples    []Sample
}

// Report is the result of a run.
type Report struct {
	options Options
	series  []series
}

func (r *Report) add(e experiment, s Sample) {
	for i := range r.series {
		o := r.series[i].experiment
		if o.name == e.name && o.system.name() == e.system.name() {
			r.series[i].samples = append(r.series[i].samples, s)
			return
		}
	}
	r.series = append(r.series, series{experiment: e, samples: []Sample{s}})
}

// Samples returns all samples in the order of the run.
func (r *Report) Samples() []Sample {
	var all []Sample
	for _, s := range r.series {
		all = append(all, s.samples...)
	}
	return all
}

// Table returns, for every figure, its value at each size and its line.
func (r *Report) Table() string {
	text := "Changes:"
	for _, k := range changeKinds() {
		text += fmt.Sprintf(" %s is %s (%d changes);", k, k.description(), r.options.changeCounts[k])
	}
	text += " other experiments than daemons have half as many, baselines a third. Times are in ms, except where seconds are named; CPU in core-seconds.\n\n"
	for _, s := range r.series {
		text += s.table() + "\n\n"
	}
	return text
}

func (s series) table() string {
	w := table.NewWriter()
	w.SetStyle(table.StyleLight)
	w.SetTitle("%s: %s", s.experiment.name, s.experiment.system.name())
	header := table.Row{"figure"}
	loads := table.Row{"load average"}
	for _, p := range s.samples {
		header = append(header, fmt.Sprintf("%g %s", p.size(s.experiment.axis), s.experiment.axis))
		loads = append(loads, fmt.Sprintf("%.1f", p.loadAverage))
	}
	w.AppendHeader(append(header, "slope", "at 0", "residual", "r²"))
	for _, n := range figureNames(s.samples) {
		w.AppendRow(s.row(n))
	}
	w.AppendRow(loads)
	return w.Render()
}

func (s series) row(figure string) table.Row {
	row := table.Row{figure}
	for _, p := range s.samples {
		if v, found := p.figures[figure]; found {
			row = append(row, formatFigure(v))
			continue
		}
		row = append(row, "")
	}
	x, y := points(s.samples, s.experiment.axis, figure)
	if f, ok := NewFit(x, y); ok {
		row = append(row, formatFigure(f.slope), formatFigure(f.intercept), formatFigure(f.residual), fmt.Sprintf("%.3f", f.rSquared))
	}
	return row
}

func formatFigure(v float64) string { return fmt.Sprintf("%.4g", v) }

// Save writes the samples as JSON lines and the plots.
func (r *Report) Save() error {
	if err := saveSamples(r.options.folder, r.Samples()); err != nil {
		return err
	}
	return r.plot()
}
