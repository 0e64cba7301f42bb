package blnode

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blconfig"
	"basillift.dev/basillift/blmember"
	"basillift.dev/basillift/blrelay"
	"basillift.dev/basillift/blrpc"
	"basillift.dev/basillift/common/blring"
	"basillift.dev/basillift/common/blwait"
)

const (
	// controlSize is the number of observations that wait for the control loop.
	controlSize = 1024
	// tickInterval is the time between two ticks of the control loop.
	tickInterval = 500 * time.Millisecond
)

var errSelf = eris.New("record needs a name, a failure domain and a control address")

// step is one observation for the control loop, which runs it with the present time.
type step func(now time.Time)

// Node is the control side of one daemon.
type Node struct {
	pool     *blrpc.Pool
	board    *blmember.ViewPublisher
	store    *blconfig.Store
	platform basillift.Platform
	recorder basillift.Recorder
	seeds    []string
	listener net.Listener
	control  *blring.Ring[step]
	tasks    sync.WaitGroup
	metrics  *metrics.Set
	dropped  atomic.Uint64

	// What other goroutines read.
	hello   atomic.Pointer[blrpc.Hello]
	probe   atomic.Pointer[blrpc.Probe]
	state   atomic.Pointer[basillift.TargetState]
	held    atomic.Pointer[basillift.Version]
	ready   atomic.Bool
	reading atomic.Bool
	status  atomic.Pointer[Status]
	listed  atomic.Pointer[[]string]

	transfers limiter

	// What the control loop owns.
	ctx        context.Context
	random     *rand.Rand
	members    *blmember.State
	relay      *blrelay.State
	holder     *blconfig.Holder
	join       *blrelay.Join
	candidate  *blconfig.Snapshot
	generation uint64
	order      *blrelay.Order
	reader     *reader
	encoded    encodedDelta
	refused    refusal
	settling   time.Time
}

var (
	_ basillift.ConfigurationSource = (*Node)(nil)
	_ basillift.Directory           = (*Node)(nil)
	_ basillift.LocalTarget         = (*Node)(nil)
	_ basillift.VersionObserver     = (*Node)(nil)
	_ basillift.Peers               = (*Node)(nil)
)

// Option changes a default of New.
type Option func(*Node)

// WithSeed sets the seed of all random choices, such as jitter and helpers of indirect probes.
func WithSeed(seed int64) Option {
	return func(n *Node) { n.random = rand.New(rand.NewSource(seed)) }
}

// WithListener takes an open listener instead of listening on the record's control address.
func WithListener(l net.Listener) Option {
	return func(n *Node) { n.listener = l }
}

// New returns a node that does nothing until Run. The seeds are control addresses of other
// daemons; without any, the platform's VM list gives the first contacts.
func New(self basillift.Member, seeds []string, p basillift.Platform, r basillift.Recorder, options ...Option) (*Node, error) {
	if self.ID() == "" || self.Place().FailureDomain() == "" || self.Addresses().Control() == "" {
		return nil, fmt.Errorf("new node: %w", errSelf)
	}
	n := &Node{
		platform: p, recorder: r, seeds: seeds, store: blconfig.NewStore(), holder: blconfig.NewHolder(),
		control: blring.New[step](controlSize), order: blrelay.NewOrder(nil),
		random: rand.New(rand.NewSource(time.Now().UnixNano())),
	}
	for _, o := range options {
		o(n)
	}
	now := time.Now()
	n.members = blmember.NewState(now, self, n.fork())
	n.relay = blrelay.NewState(self.ID(), n.fork())
	n.join = blrelay.NewJoin(now)
	n.transfers.transfers = blrelay.NewTransfers(n.fork())
	n.board = blmember.NewViewPublisher(n.members.View())
	state := self.State()
	n.state.Store(&state)
	n.held.Store(&basillift.Version{})
	n.listed.Store(&[]string{})
	n.pool = blrpc.NewPool(self.ID(), n, n.address, n.random.Int63())
	n.register()
	n.publish(now)
	n.metrics = n.newMetrics()
	return n, nil
}

func (n *Node) fork() *rand.Rand { return rand.New(rand.NewSource(n.random.Int63())) }

// Run serves until ctx ends and returns once all goroutines of the node have ended.
func (n *Node) Run(ctx context.Context) error {
	if n.listener == nil {
		l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", n.board.Self().Addresses().Control())
		if err != nil {
			return fmt.Errorf("listen for control messages: %w", err)
		}
		n.listener = l
	}
	n.ctx = ctx
	n.record(basillift.NewEvent(time.Now(), basillift.EventStarted))
	g := newGreeting(n)
	n.tasks.Add(2)
	go n.loop(ctx)
	go g.loop(ctx)
	n.pool.Run(ctx, n.listener)
	n.tasks.Wait()
	n.record(basillift.NewEvent(time.Now(), basillift.EventStopped))
	return nil
}

// Handle registers a method that other packages answer. It must be called before Run.
func (n *Node) Handle(method string, h blrpc.Handler) { n.pool.Handle(method, h) }

// HandleInOrder registers a notification that is taken in the order of arrival. The
// handler must not wait. It must be called before Run.
func (n *Node) HandleInOrder(method string, h blrpc.OrderedHandler) { n.pool.HandleInOrder(method, h) }

// Call sends a request to another daemon and decodes the answer into result.
func (n *Node) Call(ctx context.Context, to basillift.VMID, method string, params, result any) error {
	if err := n.pool.Call(ctx, to, method, params, result); err != nil {
		return fmt.Errorf("call peer: %w", err)
	}
	return nil
}

// Notify queues a message that has no answer.
func (n *Node) Notify(to basillift.VMID, method string, params any) {
	n.pool.Notify(to, method, params)
}

// Current returns the configuration in force. It returns false until the daemon holds a
// version that is not older than that of any peer it reached after its start.
func (n *Node) Current() (basillift.Configuration, bool) { return n.store.Current() }

// Self returns the daemon's own record.
func (n *Node) Self() basillift.Member { return n.board.Self() }

// Targets returns all members of a service, whatever their liveness.
func (n *Node) Targets(service string) []basillift.Status { return n.board.Targets(service) }

// Members returns all members, whatever their liveness.
func (n *Node) Members() []basillift.Status { return n.board.Members() }

// Generation grows with each change of the view.
func (n *Node) Generation() uint64 { return n.board.Generation() }

// View returns the whole membership at this moment.
func (n *Node) View() *blmember.View { return n.board.View() }

// Ready reports whether calls may be served.
func (n *Node) Ready() bool { return n.ready.Load() }

// Verified is false after a pause until a peer or the target confirmed what the daemon believes.
func (n *Node) Verified() bool { return n.board.View().Verified() }

// Metrics returns the node's metrics.
func (n *Node) Metrics() *metrics.Set { return n.metrics }

// Counters returns the bytes that crossed the sockets between daemons.
func (n *Node) Counters() *blrpc.Counters { return n.pool.Counters() }

// State is the state of the daemon's own target.
func (n *Node) State() basillift.TargetState { return *n.state.Load() }

// SetState announces a new state of the daemon's own target to the mesh. It never waits:
// the control loop compares the state at each tick, so that a full ring delays but does
// not lose it.
func (n *Node) SetState(s basillift.TargetState) {
	n.state.Store(&s)
	n.offer(n.reconcileState)
}

// HealthChecked tells the node that the daemon checked its target after a pause.
func (n *Node) HealthChecked() {
	n.offer(func(now time.Time) { n.perform(now, n.members.Apply(now, blmember.HealthChecked())) })
}

// ObserveVersion takes the version that a call from another daemon carried.
func (n *Node) ObserveVersion(v basillift.Version, from basillift.VMID) {
	if !v.NewerThan(*n.held.Load()) {
		return
	}
	n.offer(func(now time.Time) { n.distribute(now, n.relay.Apply(now, blrelay.Heard(from, v, blrelay.CauseCall))) })
}

// Leave announces that the target is gone and waits until the announcement is sent or ctx ends.
func (n *Node) Leave(ctx context.Context) error {
	n.record(basillift.NewEvent(time.Now(), basillift.EventStopping))
	n.SetState(basillift.TargetGone)
	for n.board.Self().State() != basillift.TargetGone || n.pool.Pending() > 0 {
		if !blwait.For(ctx, 5*time.Millisecond) {
			return fmt.Errorf("leave with %d messages unsent: %w", n.pool.Pending(), ctx.Err())
		}
	}
	return nil
}

func (n *Node) address(id basillift.VMID) (string, bool) {
	s, found := n.board.View().Find(id)
	return s.Member().Addresses().Control(), found
}

func (n *Node) record(e basillift.Event) {
	self := n.board.Self()
	n.recorder.Record(e.WithOrigin(self.ID(), self.Incarnation(), e.Sequence()))
}

// decode reads the parameters of a message.
func decode[T any](params json.RawMessage) (T, error) {
	var v T
	if err := json.Unmarshal(params, &v); err != nil {
		return v, fmt.Errorf("decode parameters: %w: %w", basillift.ErrRefused, err)
	}
	return v, nil
}
