package labbench

import (
	"context"
	"fmt"
	"math/rand"
	"slices"

	"github.com/rotisserie/eris"
)

// ErrUnknownExperiment means that no experiment has the given name.
var ErrUnknownExperiment = eris.New("no such experiment")

// experiment is a series of trials that varies one size.
type experiment struct {
	name   string
	axis   axis
	shapes []shape
	system system
	// withFaults also measures faults at the end, after which the mesh is not usable.
	withFaults bool
}

// Names returns the names of all experiments.
func Names() []string {
	return []string{"daemons", "domains", "customers", "streams", "members", "baselines"}
}

func (o Options) experiments() []experiment {
	daemons := []int{8, 16, 32, 64, 128}
	if o.large {
		daemons = append(daemons, 256)
	}
	list := []experiment{
		{name: "daemons", axis: axisDaemons, system: measuredSystem{}, withFaults: true},
		{name: "domains", axis: axisDomains, system: measuredSystem{}},
		{name: "customers", axis: axisCustomers, system: measuredSystem{}},
	}
	for _, n := range daemons {
		list[0].shapes = append(list[0].shapes, shape{daemons: n, domains: 7, customers: 10_000, network: o.network})
	}
	for _, n := range []int{2, 3, 4, 7} {
		list[1].shapes = append(list[1].shapes, shape{daemons: 28, domains: n, customers: 10_000, network: o.network})
	}
	for _, n := range []int{1_000, 10_000, 30_000, 100_000} {
		list[2].shapes = append(list[2].shapes, shape{daemons: 14, domains: 3, customers: n, network: o.network})
	}
	connections := experiment{name: "streams", axis: axisConnections, system: measuredSystem{}}
	for _, n := range []int{8, 16, 32, 64, 90} {
		connections.shapes = append(connections.shapes, shape{daemons: n, domains: 1, network: o.network})
	}
	records := experiment{name: "members", axis: axisMembers, system: measuredSystem{}}
	for _, n := range []int{150, 300, 600, 1200} {
		records.shapes = append(records.shapes, shape{daemons: n, domains: 7, network: o.network})
	}
	return append(append(list, connections, records), o.baselines()...)
}

// baselines returns the experiments that compare systems at one size within one run.
func (o Options) baselines() []experiment {
	var list []experiment
	for _, s := range []system{measuredSystem{}, watchBaseline{}, treeBaseline{poll: true}, treeBaseline{poll: false}} {
		list = append(list, experiment{
			name: "baselines", axis: axisDaemons, system: s,
			shapes: []shape{{daemons: 56, domains: 7, customers: 10_000, network: o.network}},
		})
	}
	return list
}

// Bench runs experiments.
type Bench struct{ options Options }

// New returns a bench with options.
func New(o Options) *Bench { return &Bench{options: o} }

// Run runs the chosen experiments one after the other. It returns ErrUnknownExperiment if
// the options name none of Names.
func (b *Bench) Run(ctx context.Context) (*Report, error) {
	if b.options.experiment != "" && !slices.Contains(Names(), b.options.experiment) {
		return nil, fmt.Errorf("experiment is %q, must be one of %v: %w", b.options.experiment, Names(), ErrUnknownExperiment)
	}
	var chosen []experiment
	trials := 0
	for _, e := range b.options.experiments() {
		if b.options.experiment == "" || b.options.experiment == e.name {
			chosen = append(chosen, e)
			trials += len(e.shapes)
		}
	}
	p := newProgress(trials)
	defer p.finish()
	report := &Report{options: b.options}
	for _, e := range chosen {
		for _, s := range e.shapes {
			p.describe(e.name + ": " + s.String())
			sample, err := b.runner(e, s, p).run(ctx)
			if err != nil {
				return nil, fmt.Errorf("experiment %s at %s: %w", e.name, s, err)
			}
			report.add(e, sample)
		}
	}
	return report, nil
}

// runner measures one size of an experiment.
type runner interface {
	run(ctx context.Context) (Sample, error)
}

func (b *Bench) runner(e experiment, s shape, p *progress) runner {
	if e.axis == axisConnections {
		return &streamTrial{options: b.options, shape: s, progress: p, sample: newSample(e.name, e.system.name(), s)}
	}
	if e.axis == axisMembers {
		return &memberTrial{options: b.options, shape: s, progress: p, sample: newSample(e.name, e.system.name(), s)}
	}
	return b.trial(e, s, p)
}

func (b *Bench) trial(e experiment, s shape, p *progress) *trial {
	options := b.options
	switch e.name {
	case "baselines":
		options = options.withBaselineChanges()
	case "domains", "customers":
		options = options.withReducedChanges()
	}
	return &trial{
		options: options, shape: s, system: e.system, sample: newSample(e.name, e.system.name(), s),
		random: rand.New(rand.NewSource(b.options.seed)), population: newPopulation(b.options.seed, s.customers),
		meter: newConvergenceMeter(s.daemons), progress: p,
		withFaults: e.withFaults && s.daemons > 2*s.domains,
	}
}
