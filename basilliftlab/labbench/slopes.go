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

// ErrSlopes means that a file of slopes does not hold what a page needs.
var ErrSlopes = eris.New("slopes are incomplete")

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
	Sizes    []float64 `json:"sizes"`
	Values   []float64 `json:"values"`
	Slope    float64   `json:"slope"`
	Zero     float64   `json:"zero"`
	Residual float64   `json:"residual"`
	Square   float64   `json:"square"`
}

// Record writes the slopes of the run to a file. Other experiments that the file holds stay.
func (r *Report) Record(path string, cores int) error {
	previous, err := LoadSlopes(path)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("record slopes: %w", err)
	}
	body := slopesBody{Cores: cores}
	for _, e := range previous.body.Experiments {
		if !r.ran(e.Name, e.System) {
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

func (r *Report) ran(experiment, system string) bool {
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
		Fixed: s.fixed(), Figures: map[string]figureBody{},
	}
	for _, p := range s.samples {
		b.Sizes = append(b.Sizes, p.size(s.experiment.axis))
		b.Loads = append(b.Loads, p.load)
	}
	for _, n := range figureNames(s.samples) {
		x, y := points(s.samples, s.experiment.axis, n)
		for i := range y {
			y[i] = rounded(y[i])
		}
		f := figureBody{Sizes: x, Values: y}
		if l, ok := NewFit(x, y); ok {
			f.Slope, f.Zero, f.Residual, f.Square = rounded(l.slope), rounded(l.intercept), rounded(l.residual), rounded(l.square)
		}
		b.Figures[n] = f
	}
	return b
}

// fixed names the sizes that the experiment does not vary.
func (s series) fixed() string {
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

// rounded keeps five digits, which is more than the runs repeat.
func rounded(v float64) float64 {
	r, err := strconv.ParseFloat(strconv.FormatFloat(v, 'g', 5, 64), 64)
	if err != nil || math.IsNaN(v) {
		return 0
	}
	return r
}

// Slopes are recorded slopes.
type Slopes struct{ body slopesBody }

// LoadSlopes reads a file that Record wrote.
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

// check fits every figure again, so that a recorded line cannot differ from its points.
func (s Slopes) check() error {
	for _, e := range s.body.Experiments {
		for name, f := range e.Figures {
			l, ok := NewFit(f.Sizes, f.Values)
			if ok && (rounded(l.slope) != f.Slope || rounded(l.residual) != f.Residual || rounded(l.intercept) != f.Zero) {
				return fmt.Errorf("%s over %s: recorded line differs from its points: %w", name, e.Axis, ErrSlopes)
			}
		}
	}
	return nil
}

// Commands are the commands that measured the slopes.
func (s Slopes) Commands() []string {
	var commands []string
	for _, e := range s.body.Experiments {
		if !slices.Contains(commands, e.Command) {
			commands = append(commands, e.Command)
		}
	}
	return commands
}

// Cores is the number of cores of the machine.
func (s Slopes) Cores() int { return s.body.Cores }

// Line is one figure of one experiment with its points.
type Line struct {
	name   string
	axis   string
	fixed  string
	figure figureBody
}

// Line returns a figure of a system over an experiment's axis.
func (s Slopes) Line(experiment, system, figure string) (Line, error) {
	for _, e := range s.body.Experiments {
		if e.Name != experiment || e.System != system {
			continue
		}
		if f, found := e.Figures[figure]; found && len(f.Values) > 0 {
			return Line{name: figure, axis: e.Axis, fixed: e.Fixed, figure: f}, nil
		}
	}
	return Line{}, fmt.Errorf("%s of %s over %s: %w", figure, system, experiment, ErrSlopes)
}

// straight is the least r² at which a line is carried beyond its sizes.
const straight = 0.9

// Name is the name of the figure.
func (l Line) Name() string { return l.name }

// Axis is the size that was varied.
func (l Line) Axis() string { return l.axis }

// Fixed names the sizes that were not varied.
func (l Line) Fixed() string { return l.fixed }

// Sizes are the measured sizes.
func (l Line) Sizes() []float64 { return l.figure.Sizes }

// Values are the measured values at the sizes.
func (l Line) Values() []float64 { return l.figure.Values }

// Slope is the growth for each unit of the axis.
func (l Line) Slope() float64 { return l.figure.Slope }

// Zero is the line's value at size 0.
func (l Line) Zero() float64 { return l.figure.Zero }

// Residual is the root of the mean squared distance of the points from the line.
func (l Line) Residual() float64 { return l.figure.Residual }

// Square is r² of the line.
func (l Line) Square() float64 { return l.figure.Square }

// Straight reports whether the points follow the line closely enough to carry it further.
func (l Line) Straight() bool {
	return l.figure.Square >= straight && len(l.figure.Sizes) >= minimumSizes
}

// Largest is the largest measured value, and 0 of a line without points.
func (l Line) Largest() float64 {
	if len(l.figure.Values) == 0 {
		return 0
	}
	return slices.Max(l.figure.Values)
}

// Last is the value at the largest size, and 0 of a line without points.
func (l Line) Last() float64 {
	if len(l.figure.Values) == 0 {
		return 0
	}
	return l.figure.Values[len(l.figure.Values)-1]
}

// Carried is the line's value at a size, however well the points follow it.
func (l Line) Carried(size float64) float64 { return l.figure.Zero + l.figure.Slope*size }

// At is the value of a straight line at a size. Otherwise it is the largest measured value,
// or, for a figure that falls with the size, the one at the largest size.
func (l Line) At(size float64) float64 {
	switch {
	case l.Straight():
		return l.Carried(size)
	case l.figure.Slope < 0:
		return l.Last()
	default:
		return l.Largest()
	}
}
