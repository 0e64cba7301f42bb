package blnode

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand"
	"sync"
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blconfig"
	"basillift.dev/basillift/bllist"
	"basillift.dev/basillift/blmember"
	"basillift.dev/basillift/blplatform"
	"basillift.dev/basillift/common/blring"
	"basillift.dev/basillift/common/blwait"
)

// valueQueueSize is the capacity of the reader's queue of watched values. A full queue loses
// no change, because the reader always reads the newest values.
const valueQueueSize = 8

// refusedVersion is the last version that was refused, and the reason.
type refusedVersion struct {
	version basillift.Version
	problem string
}

// reader reads the platform. It exists while the daemon is one of the readers of its failure
// domain.
type reader struct {
	node   *Node
	values *blring.Ring[basillift.Value]
	cancel context.CancelFunc
	random *rand.Rand

	watchers map[string]*watcher
}

// watcher waits for changes of one key and tracks the health of the platform for this key.
type watcher struct {
	reader *reader
	key    string

	mutex  sync.Mutex
	health *blplatform.Health
}

func newReader(n *Node, random *rand.Rand) *reader {
	r := &reader{node: n, random: random, values: blring.New[basillift.Value](valueQueueSize), watchers: map[string]*watcher{}}
	for _, key := range []string{basillift.KeyCustomers, basillift.KeyPlans, basillift.KeyVMs} {
		r.watchers[key] = &watcher{
			reader: r, key: key, health: blplatform.NewHealth(time.Now(), rand.New(rand.NewSource(random.Int63()))),
		}
	}
	return r
}

func (r *reader) start(ctx context.Context) {
	ctx, r.cancel = context.WithCancel(ctx)
	r.node.tasks.Add(1 + len(r.watchers))
	go r.loop(ctx)
	for _, w := range r.watchers {
		go w.loop(ctx)
	}
}

func (r *reader) stop() { r.cancel() }

// reread makes the reader do a consistent read although no key has changed.
func (r *reader) reread() { r.values.Offer(basillift.Value{}) }

func (r *reader) versionAdopted(v basillift.Version) {
	for _, w := range r.watchers {
		if w.key != basillift.KeyVMs {
			w.mutex.Lock()
			w.health.RecordVersion(v)
			w.mutex.Unlock()
		}
	}
}

// condition returns the worse of the conditions of the customer and plan lists, and how long
// it has lasted. If neither is OK, the one that has lasted longer counts as worse.
func (r *reader) condition(now time.Time) (blplatform.Condition, time.Duration) {
	worst, lasted := blplatform.ConditionOK, time.Duration(0)
	for _, key := range []string{basillift.KeyCustomers, basillift.KeyPlans} {
		w := r.watchers[key]
		w.mutex.Lock()
		c, d := w.health.Condition(), w.health.ConditionAge(now)
		w.mutex.Unlock()
		if c != blplatform.ConditionOK && (worst == blplatform.ConditionOK || d > lasted) {
			worst, lasted = c, d
		}
	}
	return worst, lasted
}

// loop does a consistent read whenever a watched list has changed, and retries it until it
// succeeds or is refused.
func (r *reader) loop(ctx context.Context) {
	defer r.node.tasks.Done()
	for {
		v, ok := r.values.Take(ctx)
		if !ok {
			return
		}
		watched := r.coalesce(v)
		for !r.readVersion(ctx, watched) {
			watched = nil
		}
	}
}

// coalesce takes all queued values and keeps the last one of each list, so that changes of
// both lists require only one consistent read.
func (r *reader) coalesce(first basillift.Value) []basillift.Value {
	byKey := map[string]basillift.Value{first.Key(): first}
	for r.values.Len() > 0 {
		v := <-r.values.Values()
		byKey[v.Key()] = v
	}
	var watched []basillift.Value
	for _, key := range []string{basillift.KeyCustomers, basillift.KeyPlans} {
		if v, found := byKey[key]; found {
			watched = append(watched, v)
		}
	}
	return watched
}

// readVersion does one consistent read and submits the result to the control loop. If the
// read fails, it waits for the backoff and returns false.
func (r *reader) readVersion(ctx context.Context, watched []basillift.Value) bool {
	lists, err := blplatform.ReadLists(ctx, r.node.platform, watched...)
	if ctx.Err() != nil {
		return true
	}
	if invalid, ok := errors.AsType[*bllist.InvalidError](err); ok {
		r.node.put(ctx, func(now time.Time) { r.node.recordInvalidLists(now, invalid) })
		return true
	}
	if err != nil {
		w := r.watchers[basillift.KeyCustomers]
		w.mutex.Lock()
		wait := w.health.RecordError(time.Now(), err).Wait()
		w.mutex.Unlock()
		blwait.For(ctx, wait)
		return false
	}
	s, err := r.buildSnapshot(lists)
	if err != nil {
		r.node.put(ctx, func(now time.Time) { r.node.recordRefusedVersion(now, lists.Version(), "", err.Error()) })
		return true
	}
	r.node.put(ctx, func(now time.Time) { r.node.offerPlatformSnapshot(now, s) })
	return true
}

// buildSnapshot builds a snapshot that shares all unchanged data with the version in force.
func (r *reader) buildSnapshot(lists bllist.ConsistentRead) (*blconfig.Snapshot, error) {
	held := r.node.store.Snapshot()
	if held == nil {
		s, err := blconfig.Build(lists.Version(), lists.Lists())
		if err != nil {
			return nil, fmt.Errorf("build snapshot: %w", err)
		}
		return s, nil
	}
	s, err := held.Update(lists.Version(), lists.Lists())
	if err != nil {
		return nil, fmt.Errorf("update snapshot: %w", err)
	}
	return s, nil
}

// recordInvalidLists records that a version is refused because of problems in its lists. The
// event names the key of the first problem.
func (n *Node) recordInvalidLists(now time.Time, e *bllist.InvalidError) {
	p := e.Problems()[0]
	n.recordRefusedVersion(now, e.Version(), p.Key(), e.Error())
}

// recordRefusedVersion records a refused version, unless it was the last one recorded.
func (n *Node) recordRefusedVersion(now time.Time, v basillift.Version, key, problem string) {
	next := refusedVersion{version: v, problem: problem}
	if n.refused == next {
		return
	}
	n.refused = next
	n.record(basillift.NewEvent(now, basillift.EventVersionRefused).WithVersion(v, 0).WithKey(key).WithDetail(problem))
}

// clearRefusedVersion clears the refused version once the daemon holds a version that is not
// older. If the refused list could not be parsed, its epoch is unknown (0), and only the
// revisions are compared.
func (n *Node) clearRefusedVersion(held basillift.Version) {
	refused := n.refused.version
	if held.Revision() >= refused.Revision() || held.Epoch() > refused.Epoch() && refused.Epoch() > 0 {
		n.refused = refusedVersion{}
	}
}

// loop watches one key until the reader is stopped.
func (w *watcher) loop(ctx context.Context) {
	defer w.reader.node.tasks.Done()
	mod := uint64(0)
	var last []byte
	for {
		v, err := w.reader.node.platform.Watch(ctx, w.key, mod)
		if ctx.Err() != nil {
			return
		}
		advice := w.updateHealth(time.Now(), v, err)
		// A store that was restored from a backup may assign the same mod revision twice.
		if err == nil && (v.ModRevision() != mod || !bytes.Equal(v.Data(), last)) {
			mod, last = v.ModRevision(), v.Data()
			w.deliver(ctx, v)
		}
		if advice.Wait() > 0 && !blwait.For(ctx, advice.Wait()) {
			return
		}
	}
}

func (w *watcher) updateHealth(now time.Time, v basillift.Value, err error) blplatform.Advice {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if err != nil {
		return w.health.RecordError(now, err)
	}
	return w.health.RecordResponse(now, v)
}

func (w *watcher) deliver(ctx context.Context, v basillift.Value) {
	if w.key != basillift.KeyVMs {
		w.reader.values.Offer(v)
		return
	}
	list, err := bllist.ParseVMs(v.Data())
	if err != nil {
		w.reader.node.put(ctx, func(now time.Time) {
			w.reader.node.recordRefusedVersion(now, basillift.NewVersion(0, v.ModRevision()), basillift.KeyVMs, err.Error())
		})
		return
	}
	w.reader.node.setVMAddresses(list)
	listed := make([]blmember.ListedVM, 0, len(list))
	for _, e := range list {
		listed = append(listed, blmember.NewListedVM(basillift.VMID(e.Name), e.State == "leaving"))
	}
	n := w.reader.node
	n.put(ctx, func(now time.Time) {
		n.performMemberActions(now, n.members.Apply(now, blmember.VMsListed(listed, v.ModRevision())))
	})
}
