package bllist

import (
	"testing"

	"github.com/matryer/is"

	"basillift.dev/basillift"
)

const (
	goodCustomers = `{"epoch":1,"customers":[{"name":"kobuleti","plan":"basic"}]}`
	goodPlans     = `{"epoch":2,"services":["catalogue","reservations"],` +
		`"plans":[{"name":"basic","services":["catalogue"],"rate":200,"concurrency":50,"class":"normal"}]}`
)

// Guards against combining a list with an older state of the other list. This
// happens when a list is written between the two reads, or when one read comes from
// a lagging replica.
func TestConsistent(t *testing.T) {
	value := func(modRevision, storeRevision uint64) basillift.Value {
		return basillift.NewValue("", nil, modRevision, storeRevision)
	}
	cases := []struct {
		name   string
		values []basillift.Value
		want   bool
	}{
		{"nothing read", nil, false},
		{"quiet store", []basillift.Value{value(3, 9), value(7, 9)}, true},
		{"other keys written in between", []basillift.Value{value(3, 9), value(7, 12)}, true},
		{"second key written in between", []basillift.Value{value(3, 9), value(10, 10)}, false},
		{"second read from a lagging replica", []basillift.Value{value(8, 9), value(3, 5)}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(Consistent(c.values...), c.want)
		})
	}
}

// Guards against a wrong version number or missing content after a consistent read.
func TestAssemble(t *testing.T) {
	is := is.New(t)
	read, err := Assemble(
		basillift.NewValue(basillift.KeyCustomers, []byte(goodCustomers), 7, 9),
		basillift.NewValue(basillift.KeyPlans, []byte(goodPlans), 4, 9),
	)
	is.NoErr(err)
	is.Equal(read.Version(), basillift.NewVersion(2, 7))
	is.Equal(read.Lists().Customers(), []Customer{NewCustomer("kobuleti", "basic")})
	is.True(read.Lists().Plans()[0].Allows("catalogue"))
}
