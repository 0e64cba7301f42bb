package labbench

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
)

// Sample holds the figures of one mesh.
type Sample struct {
	experiment  string
	system      string
	shape       shape
	loadAverage float64
	figures     map[string]float64
}

func newSample(experiment, system string, s shape) Sample {
	return Sample{experiment: experiment, system: system, shape: s, figures: map[string]float64{}}
}

// Figure returns a figure, or false if it was not measured.
func (s Sample) Figure(name string) (float64, bool) {
	v, found := s.figures[name]
	return v, found
}

// sampleBody is the JSON form of a sample, one line of a samples file.
type sampleBody struct {
	Experiment string             `json:"experiment"`
	System     string             `json:"system"`
	Daemons    int                `json:"daemons"`
	Domains    int                `json:"domains"`
	Customers  int                `json:"customers"`
	Load       float64            `json:"load"`
	Figures    map[string]float64 `json:"figures"`
}

func (s Sample) body() sampleBody {
	return sampleBody{
		Experiment: s.experiment, System: s.system, Daemons: s.shape.daemons, Domains: s.shape.domains,
		Customers: s.shape.customers, Load: s.loadAverage, Figures: s.figures,
	}
}

// axis is the size that an experiment varies.
type axis string

const (
	axisDaemons   axis = "daemons"
	axisDomains   axis = "domains"
	axisCustomers axis = "customers"
	// axisConnections is the number of daemons to which one daemon is connected.
	axisConnections axis = "connections"
	// axisMembers is the number of members whose records one daemon holds.
	axisMembers axis = "members"
)

func (s Sample) size(a axis) float64 {
	switch a {
	case axisDomains:
		return float64(s.shape.domains)
	case axisCustomers:
		return float64(s.shape.customers)
	default:
		return float64(s.shape.daemons)
	}
}

// points returns the sizes and values of a figure in the samples that have it.
func points(samples []Sample, a axis, figure string) (x, y []float64) {
	for _, s := range samples {
		if v, found := s.figures[figure]; found {
			x, y = append(x, s.size(a)), append(y, v)
		}
	}
	return x, y
}

// figureNames returns the names of all figures, sorted.
func figureNames(samples []Sample) []string {
	var names []string
	for _, s := range samples {
		for n := range s.figures {
			if !slices.Contains(names, n) {
				names = append(names, n)
			}
		}
	}
	slices.Sort(names)
	return names
}

// saveSamples writes the samples to a folder as JSON lines.
func saveSamples(folder string, samples []Sample) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return fmt.Errorf("create folder: %w", err)
	}
	file, err := os.Create(filepath.Join(folder, "samples.jsonl"))
	if err != nil {
		return fmt.Errorf("create samples: %w", err)
	}
	encoder := json.NewEncoder(file)
	for _, s := range samples {
		if err := encoder.Encode(s.body()); err != nil {
			_ = file.Close()
			return fmt.Errorf("write samples: %w", err)
		}
	}
	if err := file.Close(); err != nil {
		return fmt.Errorf("close samples: %w", err)
	}
	return nil
}
