package labbench

import (
	"context"
	"math"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"basillift.dev/basillift"
)

func assertNear(is *is.I, got, want float64) {
	is.Helper()
	is.True(math.Abs(got-want) < 1e-9)
}

// Guards against a wrong line and against a slope from fewer than four sizes.
func TestFit(t *testing.T) {
	is := is.New(t)
	f, ok := NewFit([]float64{1, 2, 3, 4}, []float64{5, 7, 9, 11})
	is.True(ok)
	assertNear(is, f.Slope(), 2)
	assertNear(is, f.Intercept(), 3)
	assertNear(is, f.Residual(), 0)
	assertNear(is, f.At(10), 23)
	_, ok = NewFit([]float64{1, 2, 3}, []float64{5, 7, 9})
	is.True(!ok)
}

// Guards against a convergence time that ends before the last daemon has applied the version,
// and against one that uses the time of a later version although an earlier one that is new
// enough was applied before.
func TestMeter(t *testing.T) {
	is := is.New(t)
	m, begin := newConvergenceMeter(2), time.Unix(1000, 0)
	m.recordApplied(0, version(3), begin.Add(time.Second))
	_, ok := m.lastApplied(version(3))
	is.True(!ok)
	m.recordApplied(0, version(5), begin.Add(9*time.Second))
	m.recordApplied(1, version(4), begin.Add(2*time.Second))
	at, ok := m.lastApplied(version(3))
	is.True(ok)
	is.Equal(at, begin.Add(2*time.Second))
	at, ok = m.lastApplied(version(4))
	is.True(ok)
	is.Equal(at, begin.Add(9*time.Second))
}

// Guards against figures that include bytes of another purpose or direction.
func TestTraffic(t *testing.T) {
	is := is.New(t)
	d := traffic{
		sent:     map[basillift.Purpose]float64{basillift.PurposeConfiguration: 1, basillift.PurposeMembership: 10},
		received: map[basillift.Purpose]float64{basillift.PurposeConfiguration: 100, basillift.PurposeRepair: 1000, basillift.PurposeTarget: 5},
	}
	assertNear(is, receivedConfiguration(d), 1100)
	assertNear(is, totalBytes(d), 1116)
	assertNear(is, totalBytes(d.minus(d)), 0)
}

// Guards against a trial that does not run to its end and against recorded slopes that cannot
// be loaded.
func TestTrial(t *testing.T) {
	is := is.New(t)
	options := NewOptions(t.TempDir()).WithNetwork(47).WithTimes(10*time.Millisecond, 100*time.Millisecond)
	e := experiment{name: "daemons", axis: axisDaemons, system: measuredSystem{}}
	s := shape{daemons: 4, domains: 2, customers: 50, network: 47}
	sample, err := New(options).trial(e, s, newProgress(1)).run(context.Background())
	is.NoErr(err)
	bytes, found := sample.Figure("change.one.bytes")
	is.True(found && bytes > 0)
	r := &Report{options: options}
	r.add(e, sample)
	is.NoErr(r.Save())
	path := filepath.Join(t.TempDir(), "slopes.json")
	is.NoErr(r.Record(path, 1))
	slopes, err := LoadSlopes(path)
	is.NoErr(err)
	l, err := slopes.Line("daemons", "basillift", "change.one.bytes")
	is.NoErr(err)
	is.Equal(len(l.Values()), 1)
}

// Guards against a baseline that does not distribute versions and therefore hangs or gives
// worse figures than its design.
func TestBaselines(t *testing.T) {
	for i, b := range []system{watchBaseline{}, treeBaseline{poll: true}, treeBaseline{poll: false}} {
		t.Run(b.name(), func(t *testing.T) {
			is := is.New(t)
			options := NewOptions(t.TempDir()).WithNetwork(48+i).WithTimes(10*time.Millisecond, 100*time.Millisecond)
			s := shape{daemons: 8, domains: 2, customers: 50, network: 48 + i}
			e := experiment{name: "daemons", axis: axisDaemons, system: b}
			_, err := New(options).trial(e, s, newProgress(1)).run(context.Background())
			is.NoErr(err)
		})
	}
}

// Guards against a fault that some running daemon never observes, which ends a run with a
// timeout.
func TestFaults(t *testing.T) {
	is := is.New(t)
	options := NewOptions(t.TempDir()).WithNetwork(51).WithTimes(10*time.Millisecond, 100*time.Millisecond)
	e := experiment{name: "daemons", axis: axisDaemons, system: measuredSystem{}, withFaults: true}
	s := shape{daemons: 8, domains: 2, customers: 50, network: 51}
	sample, err := New(options).trial(e, s, newProgress(1)).run(context.Background())
	is.NoErr(err)
	_, found := sample.Figure("event.domain.seconds")
	is.True(found)
}
