package blplatform

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"basillift.dev/basillift"
	"basillift.dev/basillift/bllist"
)

// fake is a platform in memory. Between holds writes that happen just before a
// read, by the number of the read.
type fake struct {
	values  map[string]basillift.Value
	store   uint64
	reads   int
	between map[int]func(f *fake)
}

func newFake(t *testing.T, customers int) *fake {
	f := &fake{values: make(map[string]basillift.Value), between: make(map[int]func(*fake))}
	f.write(t, customers, 100)
	return f
}

// lists returns lists in which each customer has the plan of the given number of services.
func lists(customers, services int) bllist.Lists {
	var names []string
	for i := range services {
		names = append(names, fmt.Sprintf("service-%d", i))
	}
	var list []bllist.Customer
	for i := range customers {
		list = append(list, bllist.NewCustomer(fmt.Sprintf("customer-%d", i), "basic"))
	}
	return bllist.NewLists(1, names, []basillift.Plan{basillift.NewPlan("basic", names, 0, 0, "")}, list)
}

func (f *fake) write(t *testing.T, customers, services int) {
	entries, err := bllist.Split(lists(customers, services), 3000)
	is.New(t).NoErr(err)
	for _, e := range entries {
		f.put(e.Key(), e.Data())
	}
}

func (f *fake) put(key string, data []byte) {
	f.store++
	f.values[key] = basillift.NewValue(key, data, f.store, f.store)
}

func (f *fake) Read(_ context.Context, key string) (basillift.Value, error) {
	f.reads++
	if change, ok := f.between[f.reads]; ok {
		change(f)
	}
	v, ok := f.values[key]
	if !ok {
		return basillift.Value{}, basillift.ErrNotFound
	}
	return basillift.NewValue(key, v.Data(), v.ModRevision(), f.store), nil
}

func (f *fake) Watch(ctx context.Context, key string, _ uint64) (basillift.Value, error) {
	return f.Read(ctx, key)
}

// Guards against adopting lists of two writes, and against reading without end
// while the lists change.
func TestReadCut(t *testing.T) {
	const reads = 4 // of one cut: the index and two parts of customers, and plans
	ctx := context.Background()
	t.Run("quiet", func(t *testing.T) {
		is := is.New(t)
		f := newFake(t, 100)
		cut, err := ReadCut(ctx, f)
		is.NoErr(err)
		is.Equal(cut.Version(), basillift.NewVersion(1, f.store))
		is.Equal(len(cut.Lists().Customers()), 100)
		is.Equal(f.reads, reads)
	})
	t.Run("watched value is not read again", func(t *testing.T) {
		is := is.New(t)
		f := newFake(t, 1)
		seen, err := f.Read(ctx, basillift.KeyCustomers)
		is.NoErr(err)
		_, err = ReadCut(ctx, f, seen)
		is.NoErr(err)
		is.Equal(f.reads, 2)
	})
	t.Run("watched value that is outdated is read again", func(t *testing.T) {
		is := is.New(t)
		f := newFake(t, 1)
		seen, err := f.Read(ctx, basillift.KeyCustomers)
		is.NoErr(err)
		f.write(t, 2, 100)
		cut, err := ReadCut(ctx, f, seen)
		is.NoErr(err)
		is.Equal(len(cut.Lists().Customers()), 2)
	})
	for read := 1; read <= reads; read++ {
		t.Run(fmt.Sprintf("write before read %d", read), func(t *testing.T) {
			is := is.New(t)
			f := newFake(t, 100)
			f.between[read] = func(f *fake) { f.write(t, 120, 90) }
			cut, err := ReadCut(ctx, f)
			is.NoErr(err)
			is.Equal(len(cut.Lists().Customers()), 120)
			is.Equal(len(cut.Lists().Services()), 90)
		})
	}
	t.Run("writes without end", func(t *testing.T) {
		is := is.New(t)
		f := newFake(t, 1)
		for i := range 100 {
			f.between[i] = func(f *fake) { f.write(t, 1, 100) }
		}
		_, err := ReadCut(ctx, f)
		is.True(errors.Is(err, bllist.ErrInconsistent))
		is.Equal(f.reads, 2*cutTries)
	})
	t.Run("invalid list is read once", func(t *testing.T) {
		is := is.New(t)
		f := newFake(t, 1)
		f.put(basillift.KeyCustomers, []byte(`{"epoch":1,"customers":[]}`))
		_, err := ReadCut(ctx, f)
		invalid, ok := errors.AsType[*bllist.InvalidError](err)
		is.True(ok)
		is.Equal(invalid.Version(), basillift.NewVersion(1, f.store))
		is.Equal(f.reads, 2)
	})
	t.Run("no lists", func(t *testing.T) {
		_, err := ReadCut(ctx, &fake{})
		is.New(t).True(errors.Is(err, basillift.ErrNotFound))
	})
	t.Run("one list missing", func(t *testing.T) {
		f := newFake(t, 1)
		delete(f.values, basillift.KeyPlans)
		_, err := ReadCut(ctx, f)
		is.New(t).True(errors.Is(err, basillift.ErrRefused))
	})
}
