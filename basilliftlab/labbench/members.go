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

// floodWait is added to the settle time. A daemon that has received records floods all of them
// to others, and this flood must end before the time at rest.
const floodWait = 2 * time.Second

// memberTrial measures the CPU time and memory that one daemon needs for the records of many
// members. The other members exist only as records, so that the CPU time of one daemon is
// measured alone. Its probes to its two successors fail, so it declares about ten members dead
// during the measurement. A mesh at rest does not, so the figure is an upper bound.
type memberTrial struct {
	options  Options
	shape    shape
	sample   Sample
	progress *progress
	tasks    sync.WaitGroup
}

func (t *memberTrial) run(ctx context.Context) (Sample, error) {
	platform, err := startPlatform(ctx, t.shape.platform(), t.options.seed)
	if err != nil {
		return t.sample, err
	}
	defer platform.stop()
	ctx, cancel := context.WithCancel(ctx)
	defer t.tasks.Wait()
	defer cancel()
	before, err := readUsage(time.Now(), true)
	if err != nil {
		return t.sample, err
	}
	if err := t.start(ctx, platform.url()); err != nil {
		return t.sample, err
	}
	pause(ctx, t.options.settleTime+floodWait)
	started, err := readUsage(time.Now(), true)
	if err != nil {
		return t.sample, err
	}
	pause(ctx, t.options.restTime)
	ended, err := readUsage(time.Now(), false)
	if err != nil {
		return t.sample, err
	}
	t.sample.loadAverage = loadAverage()
	t.sample.figures["members.cpu"] = (ended.cpuTime - started.cpuTime).Seconds() / ended.at.Sub(started.at).Seconds()
	t.sample.figures["members.heap"] = started.heapBytes - before.heapBytes
	for range stepsPerTrial {
		t.progress.step()
	}
	return t.sample, nil
}

// start runs the measured daemon and sends it the records of all others.
func (t *memberTrial) start(ctx context.Context, url string) error {
	records := make([]basillift.Member, t.shape.daemons)
	for i := range records {
		records[i] = t.shape.member(i, 1).WithState(basillift.TargetReady)
	}
	self := t.ordinaryMember(records)
	client, err := blplatform.NewClient(url)
	if err != nil {
		return fmt.Errorf("platform client: %w", err)
	}
	node, err := blnode.New(t.shape.member(self, 1), []string{t.shape.platform()}, client, &recorder{meter: newConvergenceMeter(t.shape.daemons), daemon: self},
		blnode.WithSeed(t.options.seed))
	if err != nil {
		return fmt.Errorf("new node: %w", err)
	}
	t.tasks.Go(func() { _ = node.Run(ctx) })
	if err := t.sendRecords(ctx, self, records); err != nil {
		return err
	}
	pause(ctx, 100*time.Millisecond)
	if known := len(node.Members()); known != t.shape.daemons {
		return fmt.Errorf("daemon knows %d members of %d: %w", known, t.shape.daemons, errTimeout)
	}
	return nil
}

// ordinaryMember returns the index of the last member in the order of the first failure
// domain, which is neither head nor reader.
func (t *memberTrial) ordinaryMember(records []basillift.Member) int {
	order := blrelay.NewOrder(records)
	domain := order.Domain(t.shape.domain(0))
	for i := range records {
		if t.shape.id(i) == domain[len(domain)-1] {
			return i
		}
	}
	return 0
}

// sendRecords sends the records of all other members to the measured daemon, as a peer does
// when it joins.
func (t *memberTrial) sendRecords(ctx context.Context, self int, records []basillift.Member) error {
	sender := newRPCPeer(t.shape, (self+1)%t.shape.daemons, t.options.seed)
	listener, err := listen(ctx, "127.0.0.1:0")
	if err != nil {
		return err
	}
	t.tasks.Go(func() { sender.pool.Run(ctx, listener) })
	message := blrpc.Exchange{Records: make([]blrpc.Record, 0, len(records))}
	for i, m := range records {
		if i != self {
			message.Records = append(message.Records, newRecord(m))
		}
	}
	deadline := time.Now().Add(5 * time.Second)
	for {
		var answer blrpc.Exchange
		err := sender.pool.Call(ctx, t.shape.id(self), blrpc.MethodExchange, message, &answer)
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("send records: %w", err)
		}
		pause(ctx, 50*time.Millisecond)
	}
}

func newRecord(m basillift.Member) blrpc.Record {
	return blrpc.Record{
		Name: string(m.ID()), Incarnation: m.Incarnation(), Sequence: m.Sequence(),
		Control: m.Addresses().Control(), Mesh: m.Addresses().Mesh(), Admin: m.Addresses().Admin(),
		Domain: string(m.Place().FailureDomain()), Region: string(m.Place().Region()),
		Service: m.Service(), State: string(m.State()), Slots: m.Slots(),
	}
}
