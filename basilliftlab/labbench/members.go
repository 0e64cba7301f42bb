package labbench

import (
	"context"
	"fmt"
	"sync"
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blnode"
	"basillift.dev/basillift/blplatform"
	"basillift.dev/basillift/blrelay"
	"basillift.dev/basillift/blrpc"
)

// joinTime is the wait for the flood of all records that a daemon sends after it took them,
// which does not belong to the time at rest.
const joinTime = 2 * time.Second

// members measures what one daemon spends on the records of many members. The other members
// exist as records only, so that the time of one daemon is measured by itself. The probes
// of its two successors fail, and so it buries some ten members during the measurement;
// a mesh at rest does not, so that the figure is an upper bound.
type members struct {
	options Options
	shape   shape
	sample  Sample
	report  *progress
	tasks   sync.WaitGroup
}

func (t *members) run(ctx context.Context) (Sample, error) {
	platform, err := startPlatform(ctx, t.shape.platform(), t.options.seed)
	if err != nil {
		return t.sample, err
	}
	defer platform.stop()
	ctx, cancel := context.WithCancel(ctx)
	defer t.tasks.Wait()
	defer cancel()
	before, err := usageNow(time.Now(), true)
	if err != nil {
		return t.sample, err
	}
	if err := t.start(ctx, platform.url()); err != nil {
		return t.sample, err
	}
	pause(ctx, t.options.settle+joinTime)
	begun, err := usageNow(time.Now(), true)
	if err != nil {
		return t.sample, err
	}
	pause(ctx, t.options.rest)
	ended, err := usageNow(time.Now(), false)
	if err != nil {
		return t.sample, err
	}
	t.sample.load = loadAverage()
	t.sample.figures["members.cpu"] = (ended.processor - begun.processor).Seconds() / ended.at.Sub(begun.at).Seconds()
	t.sample.figures["members.heap"] = begun.heap - before.heap
	for range stepsOfTrial {
		t.report.step()
	}
	return t.sample, nil
}

// start runs the measured daemon and gives it the records of all others.
func (t *members) start(ctx context.Context, url string) error {
	records := make([]basillift.Member, t.shape.daemons)
	for i := range records {
		records[i] = t.shape.member(i, 1).WithState(basillift.TargetReady)
	}
	self := t.last(records)
	client, err := blplatform.NewClient(url)
	if err != nil {
		return fmt.Errorf("platform client: %w", err)
	}
	node, err := blnode.New(t.shape.member(self, 1), []string{t.shape.platform()}, client, &recorder{meter: newMeter(t.shape.daemons), daemon: self},
		blnode.WithSeed(t.options.seed))
	if err != nil {
		return fmt.Errorf("new node: %w", err)
	}
	t.tasks.Go(func() { _ = node.Run(ctx) })
	if err := t.tell(ctx, self, records); err != nil {
		return err
	}
	pause(ctx, 100*time.Millisecond)
	if known := len(node.Members()); known != t.shape.daemons {
		return fmt.Errorf("daemon knows %d members of %d: %w", known, t.shape.daemons, errWait)
	}
	return nil
}

// last is the member at the end of its failure domain's order, which is neither head nor reader.
func (t *members) last(records []basillift.Member) int {
	order := blrelay.NewOrder(records)
	domain := order.Domain(t.shape.domain(0))
	for i := range records {
		if t.shape.id(i) == domain[len(domain)-1] {
			return i
		}
	}
	return 0
}

// tell sends all records to the measured daemon, as a peer does when it joins.
func (t *members) tell(ctx context.Context, self int, records []basillift.Member) error {
	teller := newStreamEnd(t.shape, (self+1)%t.shape.daemons, t.options.seed)
	listening, err := listen(ctx, "127.0.0.1:0")
	if err != nil {
		return err
	}
	t.tasks.Go(func() { teller.pool.Run(ctx, listening) })
	message := blrpc.Exchange{Records: make([]blrpc.Record, 0, len(records))}
	for i, m := range records {
		if i != self {
			message.Records = append(message.Records, recordOf(m))
		}
	}
	deadline := time.Now().Add(5 * time.Second)
	for {
		var answer blrpc.Exchange
		err := teller.pool.Call(ctx, t.shape.id(self), blrpc.MethodExchange, message, &answer)
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("tell records: %w", err)
		}
		pause(ctx, 50*time.Millisecond)
	}
}

func recordOf(m basillift.Member) blrpc.Record {
	return blrpc.Record{
		Name: string(m.ID()), Incarnation: m.Incarnation(), Sequence: m.Sequence(),
		Control: m.Addresses().Control(), Mesh: m.Addresses().Mesh(), Admin: m.Addresses().Admin(),
		Domain: string(m.Place().FailureDomain()), Region: string(m.Place().Region()),
		Service: m.Service(), State: string(m.State()), Slots: m.Slots(),
	}
}
