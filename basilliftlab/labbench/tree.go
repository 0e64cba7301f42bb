package labbench

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"math/rand"
	"net"
	"strconv"
	"sync"
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blconfig"
	"basillift.dev/basillift/bllist"
	"basillift.dev/basillift/blplatform"
	"basillift.dev/basillift/blrelay"
	"basillift.dev/basillift/blrpc"
)

// pollInterval is the time between two polls of the polling baseline.
const pollInterval = time.Second

// treeBaseline is a baseline with the same readers, tree and streams as the measured system but
// without membership. Either each daemon polls its parent for deltas once a second, or each
// daemon pushes the full state to its children.
type treeBaseline struct{ poll bool }

func (b treeBaseline) name() string {
	if b.poll {
		return "poll"
	}
	return "full"
}

func (b treeBaseline) start(ctx context.Context, t *trial) (mesh, error) {
	members := make([]basillift.Member, 0, t.shape.daemons)
	addresses := map[basillift.VMID]string{}
	for i := range t.shape.daemons {
		m := t.shape.member(i, 1)
		members = append(members, m)
		addresses[m.ID()] = m.Addresses().Control()
	}
	w := &treeMesh{}
	ctx, w.cancel = context.WithCancel(ctx)
	order := blrelay.NewOrder(members)
	for i, m := range members {
		d, err := newTreeDaemon(ctx, b, t, m, i, order, addresses)
		if err != nil {
			w.stop()
			return nil, err
		}
		w.daemons = append(w.daemons, d)
	}
	for _, d := range w.daemons {
		d.start(ctx, &w.tasks)
	}
	return w, nil
}

// treeMesh is the mesh of a treeBaseline.
type treeMesh struct {
	daemons []*treeDaemon
	cancel  context.CancelFunc
	tasks   sync.WaitGroup
}

func (w *treeMesh) settled() bool { return true }

func (w *treeMesh) traffic() []traffic {
	list := make([]traffic, 0, len(w.daemons))
	for _, d := range w.daemons {
		list = append(list, newTraffic(d.pool.Counters()))
	}
	return list
}

func (w *treeMesh) stop() {
	w.cancel()
	w.tasks.Wait()
}

// treeDaemon is one daemon of a treeMesh.
type treeDaemon struct {
	poll     bool
	self     basillift.Member
	index    int
	meter    *convergenceMeter
	order    *blrelay.Order
	pool     *blrpc.Pool
	listener net.Listener
	reader   *platformReader
	random   *rand.Rand

	mutex  sync.Mutex
	holder *blconfig.Holder
}

func newTreeDaemon(ctx context.Context, b treeBaseline, t *trial, self basillift.Member, index int, o *blrelay.Order,
	addresses map[basillift.VMID]string,
) (*treeDaemon, error) {
	d := &treeDaemon{
		poll: b.poll, self: self, index: index, meter: t.meter, order: o, holder: blconfig.NewHolder(),
		random: rand.New(rand.NewSource(t.options.seed + int64(index))),
	}
	resolve := func(id basillift.VMID) (string, bool) {
		a, found := addresses[id]
		return a, found
	}
	d.pool = blrpc.NewPool(self.ID(), d, resolve, t.options.seed+int64(index))
	d.pool.Handle(blrpc.MethodFetch, d.serveFetch)
	d.pool.HandleInOrder(blrpc.MethodPush, d.receivePush)
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", self.Addresses().Control())
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	d.listener = l
	if !o.IsReader(self.ID()) {
		return d, nil
	}
	client, err := blplatform.NewClient(t.platform.url(), blplatform.WithWait(watchWait))
	if err != nil {
		return nil, fmt.Errorf("platform client: %w", err)
	}
	d.reader = newPlatformReader(client, d.adopt)
	return d, nil
}

func (d *treeDaemon) start(ctx context.Context, tasks *sync.WaitGroup) {
	tasks.Go(func() { d.pool.Run(ctx, d.listener) })
	switch {
	case d.reader != nil:
		tasks.Go(func() { d.reader.run(ctx) })
	case d.poll:
		tasks.Go(func() { d.loop(ctx) })
	}
}

// Hello returns the message that opens each connection; it implements blrpc.PeerObserver.
func (d *treeDaemon) Hello() blrpc.Hello {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return blrpc.Hello{
		Version: d.holder.Version().String(), Digest: strconv.Itoa(0),
		Record: blrpc.Record{Name: string(d.self.ID()), Control: d.self.Addresses().Control(), Domain: string(d.self.Place().FailureDomain())},
	}
}

// PeerConnected ignores the hello of a peer.
func (d *treeDaemon) PeerConnected(blrpc.Hello) {}

// PeerDisconnected ignores the end of the last connection to a peer.
func (d *treeDaemon) PeerDisconnected(basillift.VMID) {}

// adopt adopts a snapshot from the platform or from the parent if it is newer. In the baseline
// without polling it then pushes the snapshot to the children.
func (d *treeDaemon) adopt(now time.Time, s *blconfig.Snapshot) {
	d.mutex.Lock()
	adopted := d.holder.AdoptIfNewer(now, s) == blconfig.DecisionAdopt
	d.mutex.Unlock()
	if !adopted {
		return
	}
	d.meter.recordApplied(d.index, s.Version(), now)
	if !d.poll {
		d.pushFull(s)
	}
}

func (d *treeDaemon) pushFull(s *blconfig.Snapshot) {
	data, err := blconfig.EncodeFull(s)
	if err != nil {
		return
	}
	message := json.RawMessage(`"` + base64.StdEncoding.EncodeToString(data) + `"`)
	for i, id := range d.order.Neighbors(d.self.ID()) {
		if i > 0 || d.order.IsHead(d.self.ID()) { // The first neighbor of all but heads is the parent.
			d.pool.Notify(id, blrpc.MethodPush, blrpc.Push{Delta: message})
		}
	}
}

func (d *treeDaemon) receivePush(_ basillift.VMID, params json.RawMessage) {
	var message blrpc.Push
	var text string
	if json.Unmarshal(params, &message) != nil || json.Unmarshal(message.Delta, &text) != nil {
		return
	}
	if s, ok := decodeFull(text); ok {
		d.adopt(time.Now(), s)
	}
}

func decodeFull(text string) (*blconfig.Snapshot, bool) {
	data, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		return nil, false
	}
	s, err := blconfig.DecodeFull(data)
	return s, err == nil
}

func (d *treeDaemon) serveFetch(_ context.Context, _ basillift.VMID, params json.RawMessage) (any, error) {
	var request blrpc.Fetch
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, fmt.Errorf("decode fetch: %w", err)
	}
	have, err := basillift.ParseVersion(request.Have)
	if err != nil {
		return nil, fmt.Errorf("decode fetch: %w", err)
	}
	d.mutex.Lock()
	current := d.holder.Current()
	delta, found := d.holder.History().DeltaFrom(have)
	d.mutex.Unlock()
	if current == nil || !current.Version().NewerThan(have) {
		return blrpc.Fetched{}, nil
	}
	if !found {
		data, err := blconfig.EncodeFull(current)
		if err != nil {
			return nil, fmt.Errorf("encode full: %w", err)
		}
		return blrpc.Fetched{Full: base64.StdEncoding.EncodeToString(data)}, nil
	}
	data, err := blconfig.EncodeDelta(delta)
	if err != nil {
		return nil, fmt.Errorf("encode delta: %w", err)
	}
	raw := json.RawMessage(data)
	return blrpc.Fetched{Delta: &raw}, nil
}

// loop polls the parent.
func (d *treeDaemon) loop(ctx context.Context) {
	parent := d.order.Neighbors(d.self.ID())[0]
	pause(ctx, time.Duration(d.random.Int63n(int64(pollInterval))))
	for ctx.Err() == nil {
		d.pollParent(ctx, parent)
		pause(ctx, pollInterval)
	}
}

func (d *treeDaemon) pollParent(ctx context.Context, parent basillift.VMID) {
	d.mutex.Lock()
	have := d.holder.Version()
	d.mutex.Unlock()
	var answer blrpc.Fetched
	if d.pool.Call(ctx, parent, blrpc.MethodFetch, blrpc.Fetch{Have: have.String()}, &answer) != nil {
		return
	}
	if s, ok := decodeFull(answer.Full); ok && answer.Full != "" {
		d.adopt(time.Now(), s)
	}
	if answer.Delta == nil {
		return
	}
	delta, err := blconfig.DecodeDelta(*answer.Delta)
	if err != nil {
		return
	}
	now := time.Now()
	d.mutex.Lock()
	decision, err := d.holder.ApplyDeltaIfNewer(now, delta)
	d.mutex.Unlock()
	if err == nil && decision == blconfig.DecisionAdopt {
		d.meter.recordApplied(d.index, delta.To(), now)
	}
}

// build returns the snapshot of a version. It updates the previous snapshot, if there is one,
// to share the parts that did not change.
func (r *platformReader) build(v basillift.Version, c bllist.ConsistentRead) (*blconfig.Snapshot, error) {
	if r.current == nil {
		next, err := blconfig.Build(v, c.Lists())
		if err != nil {
			return nil, fmt.Errorf("build: %w", err)
		}
		return next, nil
	}
	next, err := r.current.Update(v, c.Lists())
	if err != nil {
		return nil, fmt.Errorf("update: %w", err)
	}
	return next, nil
}
