package blconfig

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"basillift.dev/basillift"
	"basillift.dev/basillift/bllist"
)

// snapshot builds a snapshot with three services, two plans and the given customers.
func snapshot(t testing.TB, revision uint64, customers map[string]string) *Snapshot {
	t.Helper()
	plans := []basillift.Plan{
		basillift.NewPlan("basic", []string{"catalogue"}, 200, 50, ""),
		basillift.NewPlan("full", []string{"catalogue", "reservations", "gallery"}, 0, 0, basillift.ClassUrgent),
	}
	var list []bllist.Customer
	for c, p := range customers {
		list = append(list, bllist.NewCustomer(c, p))
	}
	services := []string{"catalogue", "reservations", "gallery"}
	s, err := Build(basillift.NewVersion(1, revision), bllist.NewLists(1, services, plans, list))
	is.New(t).NoErr(err)
	return s
}

// Guards against a daemon that returns to an older version, or that replaces the
// content of its current version without resolving a conflict.
func TestAdoptIfNewer(t *testing.T) {
	start := time.Unix(1000, 0)
	one := map[string]string{"kobuleti": "basic"}
	two := map[string]string{"kobuleti": "full"}
	cases := []struct {
		name   string
		offers []*Snapshot
		want   Decision
	}{
		{"first", []*Snapshot{snapshot(t, 5, one)}, DecisionAdopt},
		{"newer", []*Snapshot{snapshot(t, 5, one), snapshot(t, 6, two)}, DecisionAdopt},
		{"older", []*Snapshot{snapshot(t, 5, one), snapshot(t, 4, two)}, DecisionOlder},
		{"equal", []*Snapshot{snapshot(t, 5, one), snapshot(t, 5, one)}, DecisionEqual},
		{"conflict", []*Snapshot{snapshot(t, 5, one), snapshot(t, 5, two)}, DecisionConflict},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := NewHolder()
			var got Decision
			for _, s := range c.offers {
				got = h.AdoptIfNewer(start, s)
			}
			is.New(t).Equal(got, c.want)
		})
	}
}

// Guards against encoding and decoding that alter the content of a delta or of a
// full transfer.
func TestTransfer(t *testing.T) {
	is := is.New(t)
	from := snapshot(t, 5, map[string]string{"kobuleti": "basic", "batumi": "basic"})
	to := snapshot(t, 6, map[string]string{"kobuleti": "full", "poti": "basic"})

	data, err := EncodeDelta(Diff(from, to))
	is.NoErr(err)
	d, err := DecodeDelta(data)
	is.NoErr(err)
	applied, err := from.Apply(d)
	is.NoErr(err)
	is.Equal(applied.Digest(), to.Digest())

	full, err := EncodeFull(to)
	is.NoErr(err)
	decoded, err := DecodeFull(full)
	is.NoErr(err)
	is.Equal(Diff(decoded, applied).ChangeCount(), 0)
}

// Guards against replacing conflicting content without a full transfer from a
// reader, and against a conflict that is never resolved.
func TestConflict(t *testing.T) {
	start := time.Unix(1000, 0)
	current := snapshot(t, 5, map[string]string{"kobuleti": "basic"})
	other := snapshot(t, 5, map[string]string{"kobuleti": "full"})
	conflicting := func(t *testing.T) *Holder {
		h := NewHolder()
		h.AdoptIfNewer(start, current)
		is.New(t).Equal(h.Observe(start.Add(time.Second), other.Version(), other.Digest()), DecisionConflict)
		return h
	}
	t.Run("is recorded", func(t *testing.T) {
		is := is.New(t)
		c, open := conflicting(t).Conflict()
		is.True(open)
		is.Equal(c.Since(), start.Add(time.Second))
		is.Equal(c.Digest(), other.Digest())
	})
	t.Run("reader has the other content", func(t *testing.T) {
		is := is.New(t)
		h := conflicting(t)
		is.Equal(h.AdoptFromReader(start, other), DecisionAdopt)
		_, open := h.Conflict()
		is.True(!open)
		is.Equal(h.Current(), other)
	})
	t.Run("content stays without a recorded conflict", func(t *testing.T) {
		is := is.New(t)
		h := NewHolder()
		h.AdoptIfNewer(start, current)
		is.Equal(h.AdoptFromReader(start, other), DecisionConflict)
		is.Equal(h.Current(), current)
	})
	t.Run("newer version resolves it", func(t *testing.T) {
		is := is.New(t)
		h := conflicting(t)
		is.Equal(h.AdoptIfNewer(start, snapshot(t, 6, nil)), DecisionAdopt)
		_, open := h.Conflict()
		is.True(!open)
	})
}

// Guards against a history that grows without bound or that offers a delta from a
// version whose delta was already discarded.
func TestHistory(t *testing.T) {
	is := is.New(t)
	h := NewHolder()
	for i := range uint64(MaxHistoryDeltas + 5) {
		h.AdoptIfNewer(time.Unix(1000, 0), snapshot(t, i+1, map[string]string{"kobuleti": "basic"}))
	}
	is.Equal(h.History().Len(), MaxHistoryDeltas)
	_, ok := h.History().DeltaFrom(basillift.NewVersion(1, 4))
	is.True(!ok)
	d, ok := h.History().DeltaFrom(basillift.NewVersion(1, 5))
	is.True(ok)
	is.Equal(d.To(), h.Version())
}

// Guards against a store that replaces a newer version by an older one when calls
// arrive out of order.
func TestStore(t *testing.T) {
	is := is.New(t)
	s := NewStore()
	_, ok := s.Current()
	is.True(!ok)
	is.True(s.Set(snapshot(t, 5, nil)))
	is.True(!s.Set(snapshot(t, 4, nil)))
	current, _ := s.Current()
	is.Equal(current.Version(), basillift.NewVersion(1, 5))
}
