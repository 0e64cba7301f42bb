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

// fakePlatform is an in-memory platform. Its field beforeRead maps the number of a read,
// counted from 1, to a write that happens just before that read.
type fakePlatform struct {
	values        map[string]basillift.Value
	storeRevision uint64
	reads         int
	beforeRead    map[int]func(f *fakePlatform)
}

func newFakePlatform(t *testing.T, customers int) *fakePlatform {
	f := &fakePlatform{values: make(map[string]basillift.Value), beforeRead: make(map[int]func(*fakePlatform))}
	f.write(t, customers, 100)
	return f
}

// makeLists returns lists in which all customers have one plan, which allows the given
// number of services.
func makeLists(customers, services int) bllist.Lists {
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

func (f *fakePlatform) write(t *testing.T, customers, services int) {
	entries, err := bllist.Split(makeLists(customers, services), 3000)
	is.New(t).NoErr(err)
	for _, e := range entries {
		f.put(e.Key(), e.Data())
	}
}

func (f *fakePlatform) put(key string, data []byte) {
	f.storeRevision++
	f.values[key] = basillift.NewValue(key, data, f.storeRevision, f.storeRevision)
}

func (f *fakePlatform) Read(_ context.Context, key string) (basillift.Value, error) {
	f.reads++
	if change, ok := f.beforeRead[f.reads]; ok {
		change(f)
	}
	v, ok := f.values[key]
	if !ok {
		return basillift.Value{}, basillift.ErrNotFound
	}
	return basillift.NewValue(key, v.Data(), v.ModRevision(), f.storeRevision), nil
}

func (f *fakePlatform) Watch(ctx context.Context, key string, _ uint64) (basillift.Value, error) {
	return f.Read(ctx, key)
}

// Guards against returning lists from two different writes, and against an unbounded
// number of reads while the lists change.
func TestReadLists(t *testing.T) {
	const reads = 4 // of one attempt: the index and two parts of customers, and plans
	ctx := context.Background()
	t.Run("no writes", func(t *testing.T) {
		is := is.New(t)
		f := newFakePlatform(t, 100)
		read, err := ReadLists(ctx, f)
		is.NoErr(err)
		is.Equal(read.Version(), basillift.NewVersion(1, f.storeRevision))
		is.Equal(len(read.Lists().Customers()), 100)
		is.Equal(f.reads, reads)
	})
	t.Run("watched value is not read again", func(t *testing.T) {
		is := is.New(t)
		f := newFakePlatform(t, 1)
		known, err := f.Read(ctx, basillift.KeyCustomers)
		is.NoErr(err)
		_, err = ReadLists(ctx, f, known)
		is.NoErr(err)
		is.Equal(f.reads, 2)
	})
	t.Run("watched value that is outdated is read again", func(t *testing.T) {
		is := is.New(t)
		f := newFakePlatform(t, 1)
		known, err := f.Read(ctx, basillift.KeyCustomers)
		is.NoErr(err)
		f.write(t, 2, 100)
		read, err := ReadLists(ctx, f, known)
		is.NoErr(err)
		is.Equal(len(read.Lists().Customers()), 2)
	})
	for number := 1; number <= reads; number++ {
		t.Run(fmt.Sprintf("write before read %d", number), func(t *testing.T) {
			is := is.New(t)
			f := newFakePlatform(t, 100)
			f.beforeRead[number] = func(f *fakePlatform) { f.write(t, 120, 90) }
			read, err := ReadLists(ctx, f)
			is.NoErr(err)
			is.Equal(len(read.Lists().Customers()), 120)
			is.Equal(len(read.Lists().Services()), 90)
		})
	}
	t.Run("writes before each read", func(t *testing.T) {
		is := is.New(t)
		f := newFakePlatform(t, 1)
		for i := range 100 {
			f.beforeRead[i] = func(f *fakePlatform) { f.write(t, 1, 100) }
		}
		_, err := ReadLists(ctx, f)
		is.True(errors.Is(err, bllist.ErrInconsistent))
		is.Equal(f.reads, 2*maxReadAttempts)
	})
	t.Run("invalid list is read once", func(t *testing.T) {
		is := is.New(t)
		f := newFakePlatform(t, 1)
		f.put(basillift.KeyCustomers, []byte(`{"epoch":1,"customers":[]}`))
		_, err := ReadLists(ctx, f)
		invalid, ok := errors.AsType[*bllist.InvalidError](err)
		is.True(ok)
		is.Equal(invalid.Version(), basillift.NewVersion(1, f.storeRevision))
		is.Equal(f.reads, 2)
	})
	t.Run("no lists", func(t *testing.T) {
		_, err := ReadLists(ctx, &fakePlatform{})
		is.New(t).True(errors.Is(err, basillift.ErrNotFound))
	})
	t.Run("one list missing", func(t *testing.T) {
		f := newFakePlatform(t, 1)
		delete(f.values, basillift.KeyPlans)
		_, err := ReadLists(ctx, f)
		is.New(t).True(errors.Is(err, basillift.ErrRefused))
	})
}
