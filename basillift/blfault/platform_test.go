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

const validPlans = `{"epoch":1,"services":["catalogue"],"plans":[{"name":"basic","services":["catalogue"]},{"name":"full","services":["catalogue"],"rate":100}]}`

// platform is the platform's store of both lists, with the faults that are injected into it.
type platform struct {
	simulation       *simulation
	writes           []write
	published        map[basillift.Version][]*blconfig.Snapshot // valid snapshots by version; several of one version after a restore
	down             bool
	visibleWrites    int     // a stale platform shows only this number of writes; 0 shows all
	olderReadRatio   float64 // share of reads that return the state after a random write
	refusedReadRatio float64 // share of reads that are refused
	epoch            int
	edits            int
}

// write is the state of the store after one write.
type write struct {
	revision          uint64
	customers, plans  []byte
	customersRevision uint64             // mod revision of the customers list
	snapshot          *blconfig.Snapshot // nil if the lists are invalid
}

func newPlatform(sm *simulation) *platform {
	p := &platform{simulation: sm, published: map[basillift.Version][]*blconfig.Snapshot{}, epoch: 1}
	p.writes = []write{{revision: 1, plans: []byte(validPlans)}}
	return p
}

func (p *platform) lastWrite() write { return p.writes[len(p.writes)-1] }

// publish writes the customers list and returns its version. With unknownPlan the list is
// invalid, since it names a plan that does not exist.
func (p *platform) publish(unknownPlan bool) basillift.Version {
	p.edits++
	plan := "basic"
	if p.edits%2 == 0 {
		plan = "full"
	}
	if unknownPlan {
		plan = "missing"
	}
	next := p.lastWrite()
	next.revision++
	next.customersRevision = next.revision
	next.snapshot = nil
	next.customers = fmt.Appendf(nil, `{"epoch":%d,"customers":[{"name":"kobuleti","plan":%q},{"name":"c%d","plan":"full"}]}`, p.epoch, plan, p.edits)
	s, err := p.assemble(next)
	next.snapshot = s
	p.writes = append(p.writes, next)
	if unknownPlan {
		var invalid *bllist.InvalidError
		if !errors.As(err, &invalid) {
			p.simulation.t.Errorf("a list with an unknown plan was not refused: %v", err)
		}
	} else if err != nil {
		p.simulation.t.Errorf("publish: %v", err)
	} else {
		p.published[s.Version()] = append(p.published[s.Version()], s)
	}
	p.answerWatches()
	return basillift.NewVersion(uint64(p.epoch), next.revision)
}

// answerWatches answers the watches of all daemons, which then read the lists.
func (p *platform) answerWatches() {
	for _, id := range p.simulation.ids {
		if d := p.simulation.daemons[id]; d != nil && !d.dead {
			p.simulation.after(d, p.simulation.latency(), d.readPlatform)
		}
	}
}

func (p *platform) assemble(state write) (*blconfig.Snapshot, error) {
	read, err := bllist.Assemble(
		basillift.NewValue(basillift.KeyCustomers, state.customers, state.customersRevision, state.revision),
		basillift.NewValue(basillift.KeyPlans, state.plans, 1, state.revision))
	if err != nil {
		return nil, fmt.Errorf("assemble: %w", err)
	}
	return blconfig.Build(read.Version(), read.Lists())
}

func (p *platform) read() (*blconfig.Snapshot, bool) {
	if p.down || p.simulation.random.Float64() < p.refusedReadRatio {
		return nil, false
	}
	i := len(p.writes) - 1
	switch {
	case p.visibleWrites > 0:
		i = min(i, p.visibleWrites-1)
	case p.simulation.random.Float64() < p.olderReadRatio:
		i = p.simulation.random.Intn(len(p.writes))
	}
	s := p.writes[i].snapshot
	return s, s != nil
}

// restoreBackup restores the store from a backup without the last two writes.
func (p *platform) restoreBackup() {
	p.writes = p.writes[:max(1, len(p.writes)-2)]
}

// injectFor begins a fault and ends it after the given time.
func (sm *simulation) injectFor(d time.Duration, begin, end func()) {
	begin()
	sm.extendFaults(sm.now.Add(d))
	sm.after(nil, d, end)
}

// extendFaults records that a fault lasts until the given time.
func (sm *simulation) extendFaults(end time.Time) {
	if end.After(sm.faultsEnd) {
		sm.faultsEnd = end
	}
}

func sameContent(a, b *blconfig.Snapshot) bool {
	x, y := a.Lists(), b.Lists()
	return a.Digest() == b.Digest() && reflect.DeepEqual(x.Customers(), y.Customers()) && reflect.DeepEqual(x.Plans(), y.Plans()) &&
		reflect.DeepEqual(x.Services(), y.Services())
}
