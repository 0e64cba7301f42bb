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
	// stepQueueSize is the capacity of the control loop's queue, in observations.
	stepQueueSize = 1024
	// tickInterval is the period of the control loop's ticker.
	tickInterval = 500 * time.Millisecond
)

var errIncompleteRecord = eris.New("record needs a name, a failure domain and a control address")

// step applies one observation to the state. The control loop calls it with the current time.
type step func(now time.Time)

// Node is the control plane of one daemon. Its exported methods are safe for concurrent use.
type Node struct {
	pool      *blrpc.Pool
	views     *blmember.ViewPublisher
	store     *blconfig.Store
	platform  basillift.Platform
	recorder  basillift.Recorder
	seeds     []string
	listener  net.Listener
	stepQueue *blring.Ring[step]
	tasks     sync.WaitGroup
	metrics   *metrics.Set
	dropped   atomic.Uint64

	// The fields below are written by the control loop and read by other goroutines.
	hello       atomic.Pointer[blrpc.Hello]
	probe       atomic.Pointer[blrpc.Probe]
	state       atomic.Pointer[basillift.TargetState]
	heldVersion atomic.Pointer[basillift.Version]
	ready       atomic.Bool
	isReader    atomic.Bool
	status      atomic.Pointer[Status]
	vmAddresses atomic.Pointer[[]string]

	transfers transferLimiter

	// The fields below belong to the control loop.
	ctx             context.Context
	random          *rand.Rand
	members         *blmember.State
	relay           *blrelay.State
	holder          *blconfig.Holder
	join            *blrelay.Join
	candidate       *blconfig.Snapshot
	generation      uint64
	order           *blrelay.Order
	reader          *reader
	lastDelta       encodedDelta
	refused         refusedVersion
	conflictTriedAt time.Time
}

var (
	_ basillift.ConfigurationSource = (*Node)(nil)
	_ basillift.Directory           = (*Node)(nil)
	_ basillift.LocalTarget         = (*Node)(nil)
	_ basillift.VersionObserver     = (*Node)(nil)
	_ basillift.Peers               = (*Node)(nil)
)

// Option overrides a default of New.
type Option func(*Node)

// WithSeed sets the seed of all random choices, such as jitter and the selection of members
// that send indirect probes. The default is the current time.
func WithSeed(seed int64) Option {
	return func(n *Node) { n.random = rand.New(rand.NewSource(seed)) }
}

// WithListener accepts control connections from an open listener. By default, Run listens on
// the control address of the daemon's record.
func WithListener(l net.Listener) Option {
	return func(n *Node) { n.listener = l }
}

// New returns a node that is inactive until Run. The seeds are control addresses of other
// daemons; without seeds, the node takes its first contacts from the platform's VM list. It
// returns an error if self has no name, failure domain or control address.
func New(self basillift.Member, seeds []string, p basillift.Platform, r basillift.Recorder, options ...Option) (*Node, error) {
	if self.ID() == "" || self.Place().FailureDomain() == "" || self.Addresses().Control() == "" {
		return nil, fmt.Errorf("new node: %w", errIncompleteRecord)
	}
	n := &Node{
		platform: p, recorder: r, seeds: seeds, store: blconfig.NewStore(), holder: blconfig.NewHolder(),
		stepQueue: blring.New[step](stepQueueSize), order: blrelay.NewOrder(nil),
		random: rand.New(rand.NewSource(time.Now().UnixNano())),
	}
	for _, o := range options {
		o(n)
	}
	now := time.Now()
	n.members = blmember.NewState(now, self, n.newRandom())
	n.relay = blrelay.NewState(self.ID(), n.newRandom())
	n.join = blrelay.NewJoin(now)
	n.transfers.transfers = blrelay.NewTransfers(n.newRandom())
	n.views = blmember.NewViewPublisher(n.members.View())
	state := self.State()
	n.state.Store(&state)
	n.heldVersion.Store(&basillift.Version{})
	n.vmAddresses.Store(&[]string{})
	n.pool = blrpc.NewPool(self.ID(), n, n.address, n.random.Int63())
	n.registerHandlers()
	n.publish(now)
	n.metrics = n.newMetrics()
	return n, nil
}

func (n *Node) newRandom() *rand.Rand { return rand.New(rand.NewSource(n.random.Int63())) }

// Run serves until ctx ends and returns once all goroutines of the node have ended. It returns
// an error only if it cannot listen on the control address.
func (n *Node) Run(ctx context.Context) error {
	if n.listener == nil {
		l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", n.views.Self().Addresses().Control())
		if err != nil {
			return fmt.Errorf("listen for control messages: %w", err)
		}
		n.listener = l
	}
	n.ctx = ctx
	n.record(basillift.NewEvent(time.Now(), basillift.EventStarted))
	d := newDiscovery(n)
	n.tasks.Add(2)
	go n.loop(ctx)
	go d.loop(ctx)
	n.pool.Run(ctx, n.listener)
	n.tasks.Wait()
	n.record(basillift.NewEvent(time.Now(), basillift.EventStopped))
	return nil
}

// Handle registers the handler of a method that another package implements. It must be called
// before Run.
func (n *Node) Handle(method string, h blrpc.Handler) { n.pool.Handle(method, h) }

// HandleInOrder registers the handler of a notification that is processed in order of
// arrival. The handler must not block. HandleInOrder must be called before Run.
func (n *Node) HandleInOrder(method string, h blrpc.OrderedHandler) { n.pool.HandleInOrder(method, h) }

// Call sends a request to another daemon and decodes the answer into result. If ctx has no
// deadline, the default of blrpc.Pool.Call applies.
func (n *Node) Call(ctx context.Context, to basillift.VMID, method string, params, result any) error {
	if err := n.pool.Call(ctx, to, method, params, result); err != nil {
		return fmt.Errorf("call peer: %w", err)
	}
	return nil
}

// Notify queues a message that has no answer. The message may be dropped; see
// blrpc.Pool.Notify.
func (n *Node) Notify(to basillift.VMID, method string, params any) {
	n.pool.Notify(to, method, params)
}

// Current returns the configuration in force. It returns false until the daemon holds a
// version at least as new as that of every peer that it has reached since its start.
func (n *Node) Current() (basillift.Configuration, bool) { return n.store.Current() }

// Self returns the daemon's own record.
func (n *Node) Self() basillift.Member { return n.views.Self() }

// Targets returns all members of a service, regardless of their liveness.
func (n *Node) Targets(service string) []basillift.Status { return n.views.Targets(service) }

// Members returns all members, regardless of their liveness.
func (n *Node) Members() []basillift.Status { return n.views.Members() }

// Generation returns a number that increases with each change of the view.
func (n *Node) Generation() uint64 { return n.views.Generation() }

// View returns an immutable snapshot of the current membership.
func (n *Node) View() *blmember.View { return n.views.View() }

// Ready reports whether calls may be served.
func (n *Node) Ready() bool { return n.ready.Load() }

// Verified returns false after a pause of the process until a peer or a health check of the
// target has confirmed the daemon's state.
func (n *Node) Verified() bool { return n.views.View().Verified() }

// Metrics returns the node's metrics.
func (n *Node) Metrics() *metrics.Set { return n.metrics }

// Counters returns the number of bytes sent and received on control connections.
func (n *Node) Counters() *blrpc.Counters { return n.pool.Counters() }

// State returns the state of the daemon's own target.
func (n *Node) State() basillift.TargetState { return *n.state.Load() }

// SetState announces a new state of the daemon's own target to the mesh. It never blocks. If
// the queue is full, the announcement is delayed but not lost, since the control loop
// compares the state at each tick.
func (n *Node) SetState(s basillift.TargetState) {
	n.state.Store(&s)
	n.offer(n.reconcileState)
}

// HealthChecked reports that the daemon has checked its target after a pause of the process.
func (n *Node) HealthChecked() {
	n.offer(func(now time.Time) { n.performMemberActions(now, n.members.Apply(now, blmember.HealthChecked())) })
}

// ObserveVersion reports the version in the header of a call from another daemon. Versions
// that are not newer than the held one are ignored.
func (n *Node) ObserveVersion(v basillift.Version, from basillift.VMID) {
	if !v.NewerThan(*n.heldVersion.Load()) {
		return
	}
	n.offer(func(now time.Time) {
		n.performRelayActions(now, n.relay.Apply(now, blrelay.VersionObserved(from, v, blrelay.CauseCall)))
	})
}

// Leave announces that the target is gone and waits until no message is unsent. It returns
// an error if ctx ends first.
func (n *Node) Leave(ctx context.Context) error {
	n.record(basillift.NewEvent(time.Now(), basillift.EventStopping))
	n.SetState(basillift.TargetGone)
	for n.views.Self().State() != basillift.TargetGone || n.pool.Pending() > 0 {
		if !blwait.For(ctx, 5*time.Millisecond) {
			return fmt.Errorf("leave with %d messages unsent: %w", n.pool.Pending(), ctx.Err())
		}
	}
	return nil
}

func (n *Node) address(id basillift.VMID) (string, bool) {
	s, found := n.views.View().Find(id)
	return s.Member().Addresses().Control(), found
}

func (n *Node) record(e basillift.Event) {
	self := n.views.Self()
	n.recorder.Record(e.WithOrigin(self.ID(), self.Incarnation(), e.Sequence()))
}

// decode decodes the parameters of a message; an error wraps basillift.ErrRefused.
func decode[T any](params json.RawMessage) (T, error) {
	var v T
	if err := json.Unmarshal(params, &v); err != nil {
		return v, fmt.Errorf("decode parameters: %w: %w", basillift.ErrRefused, err)
	}
	return v, nil
}
