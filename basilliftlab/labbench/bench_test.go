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

func near(is *is.I, got, want float64) {
	is.Helper()
	is.True(math.Abs(got-want) < 1e-9)
}

// Guards against a wrong line, and against a slope from too few sizes.
func TestFit(t *testing.T) {
	is := is.New(t)
	f, ok := NewFit([]float64{1, 2, 3, 4}, []float64{5, 7, 9, 11})
	is.True(ok)
	near(is, f.Slope(), 2)
	near(is, f.Intercept(), 3)
	near(is, f.Residual(), 0)
	near(is, f.At(10), 23)
	_, ok = NewFit([]float64{1, 2, 3}, []float64{5, 7, 9})
	is.True(!ok)
}

// Guards against a convergence time that ends before the last daemon, or that takes a
// later version's time where an earlier one was in force first.
func TestMeter(t *testing.T) {
	is := is.New(t)
	m, begin := newMeter(2), time.Unix(1000, 0)
	m.applied(0, version(3), begin.Add(time.Second))
	_, ok := m.last(version(3))
	is.True(!ok)
	m.applied(0, version(5), begin.Add(9*time.Second))
	m.applied(1, version(4), begin.Add(2*time.Second))
	at, ok := m.last(version(3))
	is.True(ok)
	is.Equal(at, begin.Add(2*time.Second))
	at, ok = m.last(version(4))
	is.True(ok)
	is.Equal(at, begin.Add(9*time.Second))
}

// Guards against bytes of another purpose or direction in a figure.
func TestTraffic(t *testing.T) {
	is := is.New(t)
	d := traffic{
		sent:     map[basillift.Purpose]float64{basillift.PurposeConfiguration: 1, basillift.PurposeMembership: 10},
		received: map[basillift.Purpose]float64{basillift.PurposeConfiguration: 100, basillift.PurposeRepair: 1000, basillift.PurposeTarget: 5},
	}
	near(is, received(d), 1100)
	near(is, total(d), 1116)
	near(is, total(d.minus(d)), 0)
}

// Guards against a bench that cannot run a mesh to its end, and against recorded slopes
// that cannot be read back.
func TestTrial(t *testing.T) {
	is := is.New(t)
	options := NewOptions(t.TempDir()).WithNetwork(47).WithTimes(10*time.Millisecond, 100*time.Millisecond)
	e := experiment{name: "daemons", axis: axisDaemons, system: relay{}}
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

// Guards against a baseline that does not spread versions, so that it would look bad or
// hang for a fault of its own.
func TestBaselines(t *testing.T) {
	for i, y := range []system{watching{}, tree{poll: true}, tree{poll: false}} {
		t.Run(y.name(), func(t *testing.T) {
			is := is.New(t)
			options := NewOptions(t.TempDir()).WithNetwork(48+i).WithTimes(10*time.Millisecond, 100*time.Millisecond)
			s := shape{daemons: 8, domains: 2, customers: 50, network: 48 + i}
			e := experiment{name: "daemons", axis: axisDaemons, system: y}
			_, err := New(options).trial(e, s, newProgress(1)).run(context.Background())
			is.NoErr(err)
		})
	}
}

// Guards against faults that are never seen everywhere, which would end a run.
func TestFaults(t *testing.T) {
	is := is.New(t)
	options := NewOptions(t.TempDir()).WithNetwork(51).WithTimes(10*time.Millisecond, 100*time.Millisecond)
	e := experiment{name: "daemons", axis: axisDaemons, system: relay{}, faults: true}
	s := shape{daemons: 8, domains: 2, customers: 50, network: 51}
	sample, err := New(options).trial(e, s, newProgress(1)).run(context.Background())
	is.NoErr(err)
	_, found := sample.Figure("event.domain.seconds")
	is.True(found)
}
