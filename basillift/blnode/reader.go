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

// platformSize is the number of watched values that wait for the reader; a full ring
// loses nothing, because the reader reads what is newest.
const platformSize = 8

// refusal is the last version that was refused.
type refusal struct {
	version basillift.Version
	problem string
}

// reader is the duty of reading the platform. It lives as long as the daemon is one of the
// readers of its failure domain.
type reader struct {
	node   *Node
	values *blring.Ring[basillift.Value]
	cancel context.CancelFunc
	random *rand.Rand

	watchers map[string]*watcher
}

// watcher waits for changes of one key.
type watcher struct {
	reader *reader
	key    string

	mutex  sync.Mutex
	health *blplatform.Health
}

func newReader(n *Node, random *rand.Rand) *reader {
	r := &reader{node: n, random: random, values: blring.New[basillift.Value](platformSize), watchers: map[string]*watcher{}}
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

// again makes the reader read a cut although no key changed.
func (r *reader) again() { r.values.Offer(basillift.Value{}) }

func (r *reader) adopted(v basillift.Version) {
	for _, w := range r.watchers {
		if w.key != basillift.KeyVMs {
			w.mutex.Lock()
			w.health.Adopted(v)
			w.mutex.Unlock()
		}
	}
}

// condition is the worse of the conditions of both lists.
func (r *reader) condition(now time.Time) (blplatform.Condition, time.Duration) {
	worst, lasted := blplatform.ConditionOK, time.Duration(0)
	for _, key := range []string{basillift.KeyCustomers, basillift.KeyPlans} {
		w := r.watchers[key]
		w.mutex.Lock()
		c, d := w.health.Condition(), w.health.Lasted(now)
		w.mutex.Unlock()
		if c != blplatform.ConditionOK && (worst == blplatform.ConditionOK || d > lasted) {
			worst, lasted = c, d
		}
	}
	return worst, lasted
}

// loop reads a cut whenever a watched list changed.
func (r *reader) loop(ctx context.Context) {
	defer r.node.tasks.Done()
	for {
		v, ok := r.values.Take(ctx)
		if !ok {
			return
		}
		seen := r.newest(v)
		for !r.cut(ctx, seen) {
			seen = nil
		}
	}
}

// newest joins the values that wait, so that changes of both lists cost one cut.
func (r *reader) newest(first basillift.Value) []basillift.Value {
	byKey := map[string]basillift.Value{first.Key(): first}
	for r.values.Len() > 0 {
		v := <-r.values.Values()
		byKey[v.Key()] = v
	}
	var seen []basillift.Value
	for _, key := range []string{basillift.KeyCustomers, basillift.KeyPlans} {
		if v, found := byKey[key]; found {
			seen = append(seen, v)
		}
	}
	return seen
}

// cut reads one version and hands it to the control loop. It reports false when the
// platform did not give one, after waiting.
func (r *reader) cut(ctx context.Context, seen []basillift.Value) bool {
	cut, err := blplatform.ReadCut(ctx, r.node.platform, seen...)
	if ctx.Err() != nil {
		return true
	}
	if invalid, ok := errors.AsType[*bllist.InvalidError](err); ok {
		r.node.put(ctx, func(now time.Time) { r.node.refuse(now, invalid) })
		return true
	}
	if err != nil {
		w := r.watchers[basillift.KeyCustomers]
		w.mutex.Lock()
		wait := w.health.Failed(time.Now(), err).Wait()
		w.mutex.Unlock()
		blwait.For(ctx, wait)
		return false
	}
	s, err := r.build(cut)
	if err != nil {
		r.node.put(ctx, func(now time.Time) { r.node.refuseVersion(now, cut.Version(), "", err.Error()) })
		return true
	}
	r.node.put(ctx, func(now time.Time) { r.node.read(now, s) })
	return true
}

// build shares with the version in force whatever did not change.
func (r *reader) build(cut bllist.ConsistentRead) (*blconfig.Snapshot, error) {
	held := r.node.store.Snapshot()
	if held == nil {
		s, err := blconfig.Build(cut.Version(), cut.Lists())
		if err != nil {
			return nil, fmt.Errorf("build snapshot: %w", err)
		}
		return s, nil
	}
	s, err := held.Update(cut.Version(), cut.Lists())
	if err != nil {
		return nil, fmt.Errorf("update snapshot: %w", err)
	}
	return s, nil
}

// refuse records a version whose lists have problems, once.
func (n *Node) refuse(now time.Time, e *bllist.InvalidError) {
	p := e.Problems()[0]
	n.refuseVersion(now, e.Version(), p.Key(), e.Error())
}

func (n *Node) refuseVersion(now time.Time, v basillift.Version, key, problem string) {
	next := refusal{version: v, problem: problem}
	if n.refused == next {
		return
	}
	n.refused = next
	n.record(basillift.NewEvent(now, basillift.EventVersionRefused).WithVersion(v, 0).WithKey(key).WithDetail(problem))
}

// clearRefusal ends a refusal once a version that is not older than the refused one is held. The
// epoch of a list that cannot be read is unknown, so that the revisions decide then.
func (n *Node) clearRefusal(held basillift.Version) {
	refused := n.refused.version
	if held.Revision() >= refused.Revision() || held.Epoch() > refused.Epoch() && refused.Epoch() > 0 {
		n.refused = refusal{}
	}
}

// loop watches one key until the daemon is no reader any more.
func (w *watcher) loop(ctx context.Context) {
	defer w.reader.node.tasks.Done()
	mod := uint64(0)
	var last []byte
	for {
		v, err := w.reader.node.platform.Watch(ctx, w.key, mod)
		if ctx.Err() != nil {
			return
		}
		advice := w.judge(time.Now(), v, err)
		// A store that was restored from a backup may give a mod a second time.
		if err == nil && (v.ModRevision() != mod || !bytes.Equal(v.Data(), last)) {
			mod, last = v.ModRevision(), v.Data()
			w.pass(ctx, v)
		}
		if advice.Wait() > 0 && !blwait.For(ctx, advice.Wait()) {
			return
		}
	}
}

func (w *watcher) judge(now time.Time, v basillift.Value, err error) blplatform.Advice {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if err != nil {
		return w.health.Failed(now, err)
	}
	return w.health.Answered(now, v)
}

func (w *watcher) pass(ctx context.Context, v basillift.Value) {
	if w.key != basillift.KeyVMs {
		w.reader.values.Offer(v)
		return
	}
	list, err := bllist.ParseVMs(v.Data())
	if err != nil {
		w.reader.node.put(ctx, func(now time.Time) {
			w.reader.node.refuseVersion(now, basillift.NewVersion(0, v.ModRevision()), basillift.KeyVMs, err.Error())
		})
		return
	}
	w.reader.node.setListed(list)
	listed := make([]blmember.Listed, 0, len(list))
	for _, e := range list {
		listed = append(listed, blmember.NewListed(basillift.VMID(e.Name), e.State == "leaving"))
	}
	n := w.reader.node
	n.put(ctx, func(now time.Time) { n.perform(now, n.members.Apply(now, blmember.VMsListed(listed, v.ModRevision()))) })
}
