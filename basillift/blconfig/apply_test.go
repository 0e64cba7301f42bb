package blconfig

import (
	"errors"
	"testing"

	"github.com/klauspost/compress/zstd"
	"github.com/matryer/is"

	"basillift.dev/basillift"
	"basillift.dev/basillift/bllist"
)

// Guards against applying only a part of a delta, and against accepting a delta
// whose result differs from the snapshot of its sender. Both are caused by missing
// or changed entries, or by a delta for another base version.
func TestApplyRefusals(t *testing.T) {
	base := snapshot(t, 5, map[string]string{"kobuleti": "basic", "batumi": "full"})
	good := Diff(base, snapshot(t, 6, map[string]string{"kobuleti": "full", "poti": "basic"}))
	cases := []struct {
		name   string
		change func(d *Delta)
		want   error
	}{
		{"other base", func(d *Delta) { d.from = basillift.NewVersion(1, 4) }, ErrBase},
		{"result not newer", func(d *Delta) { d.to = d.from }, ErrBase},
		{"other digest", func(d *Delta) { d.digest++ }, ErrDigest},
		{"missing removal", func(d *Delta) { d.removedCustomers = nil }, ErrDigest},
		{"missing customers", func(d *Delta) { d.customers = nil }, ErrDigest},
		{"unknown plan", func(d *Delta) { d.customers = map[string]string{"poti": "gold"} }, ErrReference},
		{"removed plan with customers", func(d *Delta) { d.removedPlans = []string{"full"} }, ErrReference},
		{"removed service of a plan", func(d *Delta) { d.removedServices = []string{"gallery"} }, ErrReference},
		{"unknown service", func(d *Delta) {
			d.plans = []basillift.Plan{basillift.NewPlan("basic", []string{"x"}, 0, 0, "")}
		}, ErrReference},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d, before := good, Diff(nil, base)
			c.change(&d)
			result, err := base.Apply(d)
			is.True(errors.Is(err, c.want))
			is.True(result == nil)
			is.Equal(Diff(nil, base), before) // Apply must not modify the base.
		})
	}
}

// Guards against building a snapshot from lists that were not validated, for
// example with duplicate names or with references to names that do not exist.
func TestBuildRefusals(t *testing.T) {
	basic := basillift.NewPlan("basic", []string{"catalogue"}, 0, 0, "")
	one := bllist.NewCustomer("kobuleti", "basic")
	cases := []struct {
		name      string
		services  []string
		plans     []basillift.Plan
		customers []bllist.Customer
		want      error
	}{
		{"service twice", []string{"catalogue", "catalogue"}, []basillift.Plan{basic}, []bllist.Customer{one}, ErrDuplicate},
		{"plan twice", []string{"catalogue"}, []basillift.Plan{basic, basic}, []bllist.Customer{one}, ErrDuplicate},
		{"customer twice", []string{"catalogue"}, []basillift.Plan{basic}, []bllist.Customer{one, one}, ErrDuplicate},
		{"unknown plan", []string{"catalogue"}, nil, []bllist.Customer{one}, ErrReference},
		{"unknown service", nil, []basillift.Plan{basic}, []bllist.Customer{one}, ErrReference},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is, lists := is.New(t), bllist.NewLists(1, c.services, c.plans, c.customers)
			_, err := Build(basillift.NewVersion(1, 6), lists)
			is.True(errors.Is(err, c.want))
			_, err = snapshot(t, 5, map[string]string{"kobuleti": "basic"}).Update(basillift.NewVersion(1, 6), lists)
			is.True(errors.Is(err, c.want))
		})
	}
}

// Guards against accepting malformed messages, which come from a peer of another
// release or from a fault.
func TestDecodeRefusals(t *testing.T) {
	cases := []struct {
		name string
		data string
		want error
	}{
		{"nothing", ``, ErrMalformed},
		{"truncated", `{"from":"1.1","to":"1.2"`, ErrMalformed},
		{"trailing data", `{"from":"1.1","to":"1.2","digest":"a"}{}`, ErrMalformed},
		{"unknown field", `{"from":"1.1","to":"1.2","digest":"a","x":1}`, ErrMalformed},
		{"wrong type", `{"from":"1.1","to":"1.2","digest":"a","removed":"x"}`, ErrMalformed},
		{"bad version", `{"from":"1","to":"1.2","digest":"a"}`, ErrMalformed},
		{"bad result", `{"from":"1.1","to":"x.2","digest":"a"}`, ErrMalformed},
		{"bad digest", `{"from":"1.1","to":"1.2","digest":"-1"}`, ErrMalformed},
		{"bad class", `{"from":"1.1","to":"1.2","digest":"a","plans":[{"name":"p","services":[],"class":"gold"}]}`, ErrMalformed},
		{"negative limit", `{"from":"1.1","to":"1.2","digest":"a","plans":[{"name":"p","services":[],"rate":-1}]}`, ErrMalformed},
		{"plan twice", `{"from":"1.1","to":"1.2","digest":"a","plans":[{"name":"p","services":[]},{"name":"p","services":[]}]}`, ErrDuplicate},
		{"customer twice", `{"from":"1.1","to":"1.2","digest":"a","customers":{"p":["c"],"q":["c"]}}`, ErrDuplicate},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := DecodeDelta([]byte(c.data))
			is.New(t).True(errors.Is(err, c.want))
		})
	}
}

// Guards against a small compressed message whose decompression exhausts the
// memory of a daemon.
func TestFullBound(t *testing.T) {
	encoder, err := zstd.NewWriter(nil)
	is := is.New(t)
	is.NoErr(err)
	_, err = DecodeFull(encoder.EncodeAll(make([]byte, MaxFullBytes+1), nil))
	is.True(errors.Is(err, zstd.ErrDecoderSizeExceeded))
}
