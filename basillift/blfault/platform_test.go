package blfault

import (
	"errors"
	"fmt"
	"reflect"
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blconfig"
	"basillift.dev/basillift/bllist"
)

const goodPlans = `{"epoch":1,"services":["catalogue"],"plans":[{"name":"basic","services":["catalogue"]},{"name":"full","services":["catalogue"],"rate":100}]}`

// platform is the store of both lists with its faults.
type platform struct {
	world    *world
	writes   []write
	truth    map[basillift.Version][]*blconfig.Snapshot // more than one after a restore
	down     bool
	frozen   int
	older    float64
	refusing float64
	epoch    int
	edits    int
}

// write is the state of the store after one write.
type write struct {
	revision         uint64
	customers, plans []byte
	changed          uint64 // mod of customers
	built            *blconfig.Snapshot
}

func newPlatform(w *world) *platform {
	p := &platform{world: w, truth: map[basillift.Version][]*blconfig.Snapshot{}, epoch: 1}
	p.writes = []write{{revision: 1, plans: []byte(goodPlans)}}
	return p
}

func (p *platform) last() write { return p.writes[len(p.writes)-1] }

// publish writes the customers list; a bad one names a plan that does not exist.
func (p *platform) publish(bad bool) basillift.Version {
	p.edits++
	plan := "basic"
	if p.edits%2 == 0 {
		plan = "full"
	}
	if bad {
		plan = "missing"
	}
	next := p.last()
	next.revision++
	next.changed = next.revision
	next.built = nil
	next.customers = fmt.Appendf(nil, `{"epoch":%d,"customers":[{"name":"kobuleti","plan":%q},{"name":"c%d","plan":"full"}]}`, p.epoch, plan, p.edits)
	s, err := p.assemble(next)
	next.built = s
	p.writes = append(p.writes, next)
	if bad {
		var invalid *bllist.InvalidError
		if !errors.As(err, &invalid) {
			p.world.t.Errorf("a list with an unknown plan was not refused: %v", err)
		}
	} else if err != nil {
		p.world.t.Errorf("publish: %v", err)
	} else {
		p.truth[s.Version()] = append(p.truth[s.Version()], s)
	}
	p.wake()
	return basillift.NewVersion(uint64(p.epoch), next.revision)
}

// wake lets waiting watches answer.
func (p *platform) wake() {
	for _, id := range p.world.names {
		if d := p.world.daemons[id]; d != nil && !d.dead {
			p.world.after(d, p.world.latency(), d.readPlatform)
		}
	}
}

func (p *platform) assemble(s write) (*blconfig.Snapshot, error) {
	cut, err := bllist.Assemble(
		basillift.NewValue(basillift.KeyCustomers, s.customers, s.changed, s.revision),
		basillift.NewValue(basillift.KeyPlans, s.plans, 1, s.revision))
	if err != nil {
		return nil, fmt.Errorf("assemble: %w", err)
	}
	return blconfig.Build(cut.Version(), cut.Lists())
}

func (p *platform) read() (*blconfig.Snapshot, bool) {
	if p.down || p.world.random.Float64() < p.refusing {
		return nil, false
	}
	i := len(p.writes) - 1
	switch {
	case p.frozen > 0:
		i = min(i, p.frozen-1)
	case p.world.random.Float64() < p.older:
		i = p.world.random.Intn(len(p.writes))
	}
	s := p.writes[i].built
	return s, s != nil
}

// back restores the store from a backup that is a few writes old.
func (p *platform) back() {
	p.writes = p.writes[:max(1, len(p.writes)-2)]
}

// during sets a fault and ends it after a time.
func (w *world) during(d time.Duration, begin, end func()) {
	begin()
	w.extend(w.now.Add(d))
	w.after(nil, d, end)
}

// extend notes a time until which a fault lasts.
func (w *world) extend(end time.Time) {
	if end.After(w.quiet) {
		w.quiet = end
	}
}

func sameContent(a, b *blconfig.Snapshot) bool {
	x, y := a.Lists(), b.Lists()
	return a.Digest() == b.Digest() && reflect.DeepEqual(x.Customers(), y.Customers()) && reflect.DeepEqual(x.Plans(), y.Plans()) &&
		reflect.DeepEqual(x.Services(), y.Services())
}
