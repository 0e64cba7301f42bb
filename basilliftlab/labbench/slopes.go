package labbench

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"os"
	"slices"
	"strconv"

	"github.com/rotisserie/eris"
)

// ErrInvalidSlopes means that recorded slopes lack a figure or contradict their points.
var ErrInvalidSlopes = eris.New("slopes are incomplete or inconsistent")

// slopesBody is the JSON form of recorded slopes.
type slopesBody struct {
	Cores       int          `json:"cores"`
	Experiments []seriesBody `json:"experiments"`
}

type seriesBody struct {
	Name    string                `json:"name"`
	System  string                `json:"system"`
	Command string                `json:"command"`
	Axis    string                `json:"axis"`
	Fixed   string                `json:"fixed"`
	Sizes   []float64             `json:"sizes"`
	Loads   []float64             `json:"loads"`
	Figures map[string]figureBody `json:"figures"`
}

// figureBody is a figure at each of the sizes at which it was measured.
type figureBody struct {
	Sizes     []float64 `json:"sizes"`
	Values    []float64 `json:"values"`
	Slope     float64   `json:"slope"`
	Intercept float64   `json:"zero"`
	Residual  float64   `json:"residual"`
	RSquared  float64   `json:"square"`
}

// Record writes the slopes of the run to a file. It keeps the other experiments in the file.
func (r *Report) Record(path string, cores int) error {
	previous, err := LoadSlopes(path)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("record slopes: %w", err)
	}
	body := slopesBody{Cores: cores}
	for _, e := range previous.body.Experiments {
		if !r.includes(e.Name, e.System) {
			body.Experiments = append(body.Experiments, e)
		}
	}
	for _, s := range r.series {
		b := s.body()
		b.Command = r.options.command
		body.Experiments = append(body.Experiments, b)
	}
	data, err := json.MarshalIndent(body, "", " ")
	if err != nil {
		return fmt.Errorf("encode slopes: %w", err)
	}
	if err := os.WriteFile(path, append(data, '\n'), 0o644); err != nil {
		return fmt.Errorf("write slopes: %w", err)
	}
	return nil
}

func (r *Report) includes(experiment, system string) bool {
	for _, s := range r.series {
		if s.experiment.name == experiment && s.experiment.system.name() == system {
			return true
		}
	}
	return false
}

func (s series) body() seriesBody {
	b := seriesBody{
		Name: s.experiment.name, System: s.experiment.system.name(), Axis: string(s.experiment.axis),
		Fixed: s.fixedSizes(), Figures: map[string]figureBody{},
	}
	for _, p := range s.samples {
		b.Sizes = append(b.Sizes, p.size(s.experiment.axis))
		b.Loads = append(b.Loads, p.loadAverage)
	}
	for _, n := range figureNames(s.samples) {
		x, y := points(s.samples, s.experiment.axis, n)
		for i := range y {
			y[i] = roundFigure(y[i])
		}
		f := figureBody{Sizes: x, Values: y}
		if l, ok := NewFit(x, y); ok {
			f.Slope, f.Intercept, f.Residual, f.RSquared = roundFigure(l.slope), roundFigure(l.intercept), roundFigure(l.residual), roundFigure(l.rSquared)
		}
		b.Figures[n] = f
	}
	return b
}

// fixedSizes describes the sizes that the experiment does not vary.
func (s series) fixedSizes() string {
	o := s.samples[0].shape
	switch s.experiment.axis {
	case axisDaemons:
		return fmt.Sprintf("%d failure domains, %d customers", o.domains, o.customers)
	case axisDomains:
		return fmt.Sprintf("%d daemons, %d customers", o.daemons, o.customers)
	case axisConnections, axisMembers:
		return "1 daemon"
	default:
		return fmt.Sprintf("%d daemons, %d failure domains", o.daemons, o.domains)
	}
}

// roundFigure keeps five significant digits, more than repeated runs reproduce. It returns 0
// for NaN.
func roundFigure(v float64) float64 {
	rounded, err := strconv.ParseFloat(strconv.FormatFloat(v, 'g', 5, 64), 64)
	if err != nil || math.IsNaN(v) {
		return 0
	}
	return rounded
}

// Slopes holds the recorded slopes of one or more runs.
type Slopes struct{ body slopesBody }

// LoadSlopes reads a file that Record wrote. It returns ErrInvalidSlopes if a recorded line
// differs from the fit of its points.
func LoadSlopes(path string) (Slopes, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Slopes{}, fmt.Errorf("read slopes: %w", err)
	}
	var s Slopes
	if err := json.Unmarshal(data, &s.body); err != nil {
		return Slopes{}, fmt.Errorf("decode slopes: %w", err)
	}
	return s, s.check()
}

// check fits the points of every figure again and compares the result with the recorded line.
func (s Slopes) check() error {
	for _, e := range s.body.Experiments {
		for name, f := range e.Figures {
			l, ok := NewFit(f.Sizes, f.Values)
			if ok && (roundFigure(l.slope) != f.Slope || roundFigure(l.residual) != f.Residual || roundFigure(l.intercept) != f.Intercept) {
				return fmt.Errorf("%s over %s: recorded line differs from its points: %w", name, e.Axis, ErrInvalidSlopes)
			}
		}
	}
	return nil
}

// Commands returns the distinct commands that recorded the slopes.
func (s Slopes) Commands() []string {
	var commands []string
	for _, e := range s.body.Experiments {
		if !slices.Contains(commands, e.Command) {
			commands = append(commands, e.Command)
		}
	}
	return commands
}

// Cores is the number of cores of the machine on which the slopes were recorded.
func (s Slopes) Cores() int { return s.body.Cores }

// Line is one figure of one experiment with its points.
type Line struct {
	name       string
	axis       string
	fixedSizes string
	figure     figureBody
}

// Line returns a figure of a system over an experiment's axis, or ErrInvalidSlopes if it is
// not recorded.
func (s Slopes) Line(experiment, system, figure string) (Line, error) {
	for _, e := range s.body.Experiments {
		if e.Name != experiment || e.System != system {
			continue
		}
		if f, found := e.Figures[figure]; found && len(f.Values) > 0 {
			return Line{name: figure, axis: e.Axis, fixedSizes: e.Fixed, figure: f}, nil
		}
	}
	return Line{}, fmt.Errorf("%s of %s over %s: %w", figure, system, experiment, ErrInvalidSlopes)
}

// minRSquared is the least r² at which a line is extrapolated beyond its sizes.
const minRSquared = 0.9

// Name is the name of the figure.
func (l Line) Name() string { return l.name }

// Axis is the size that was varied.
func (l Line) Axis() string { return l.axis }

// FixedSizes describes the sizes that were not varied.
func (l Line) FixedSizes() string { return l.fixedSizes }

// Sizes are the measured sizes.
func (l Line) Sizes() []float64 { return l.figure.Sizes }

// Values are the measured values at the sizes.
func (l Line) Values() []float64 { return l.figure.Values }

// Slope is the growth for each unit of the axis.
func (l Line) Slope() float64 { return l.figure.Slope }

// Intercept is the line's value at size 0.
func (l Line) Intercept() float64 { return l.figure.Intercept }

// Residual is the root of the mean squared distance of the points from the line.
func (l Line) Residual() float64 { return l.figure.Residual }

// RSquared is the share of the variance that the line explains (r²).
func (l Line) RSquared() float64 { return l.figure.RSquared }

// IsLinear reports whether the points follow the line closely enough to extrapolate it.
func (l Line) IsLinear() bool {
	return l.figure.RSquared >= minRSquared && len(l.figure.Sizes) >= minSizes
}

// LargestValue is the largest measured value, or 0 for a line without points.
func (l Line) LargestValue() float64 {
	if len(l.figure.Values) == 0 {
		return 0
	}
	return slices.Max(l.figure.Values)
}

// ValueAtLargestSize is the last measured value, or 0 for a line without points. Experiments
// list their sizes in ascending order.
func (l Line) ValueAtLargestSize() float64 {
	if len(l.figure.Values) == 0 {
		return 0
	}
	return l.figure.Values[len(l.figure.Values)-1]
}

// Extrapolate is the line's value at a size, however well the points follow it.
func (l Line) Extrapolate(size float64) float64 { return l.figure.Intercept + l.figure.Slope*size }

// Estimate is the line's value at a size if the points follow the line. Otherwise it is the
// largest measured value or, for a figure that falls with the size, the value at the largest
// size.
func (l Line) Estimate(size float64) float64 {
	switch {
	case l.IsLinear():
		return l.Extrapolate(size)
	case l.figure.Slope < 0:
		return l.ValueAtLargestSize()
	default:
		return l.LargestValue()
	}
}
