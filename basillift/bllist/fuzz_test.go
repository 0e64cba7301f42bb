package bllist

import (
	"errors"
	"reflect"
	"testing"
	"unicode/utf8"

	"basillift.dev/basillift"
)

// Guards against values that crash the decoder, and against a valid list that
// cannot be written and read again with the same content.
func FuzzParse(f *testing.F) {
	f.Add([]byte(goodCustomers), []byte(goodPlans))
	f.Add([]byte(`{"epoch":1,"parts":["0123456789abcdef"]}`), []byte(`{"epoch":1,"services":["s"]}`))
	f.Add([]byte(`{"epoch":1e3,"customers":[{"name":{"a":[[]]}}]}`), []byte(`[{}]`))
	f.Add([]byte(`null`), []byte("\xff"))
	f.Fuzz(func(t *testing.T, customers, plans []byte) {
		l, err := Parse(customers, plans)
		if err != nil {
			checkRefusal(t, err)
			return
		}
		entries, err := Split(l, MaxValue)
		if err != nil {
			t.Fatal(err)
		}
		again, err := Assemble(published(entries)...)
		if err != nil {
			t.Fatal(err)
		}
		if len(again.Lists().Customers()) != len(l.Customers()) || again.Lists().Epoch() != l.Epoch() {
			t.Fatal("content differs after writing and reading")
		}
	})
}

// Guards against a fast decoding that accepts what the walker refuses or reads
// something else: its canonical form must leave no room for that.
func FuzzFastCustomers(f *testing.F) {
	f.Add([]byte(goodCustomers))
	f.Add([]byte(`{ "epoch" : 1, "customers" : [ {"name":"a","plan":"b"} , {"name":"c","plan":"d"} ] }`))
	f.Add([]byte(`{"epoch":1,"customers":[{"name":"a","name":"a","plan":"b"}]}`))
	f.Add([]byte(`{"epoch":1,"Customers":[{"name":"a","plan":"b"}],"customers":[{"plan":"c"}]}`))
	f.Add([]byte(`{"epoch":1,"customers":[{"name":"\u0061","plan":"b","extra":null}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		fast, ok := fastCustomers(data)
		if !ok {
			return
		}
		r := &report{}
		slow := walkCustomers(basillift.KeyCustomers, data, formTop, r)
		if len(r.problems) > 0 || !reflect.DeepEqual(fast, slow) {
			t.Fatalf("fast %v, walker %v with problems %v", fast, slow, r.problems)
		}
	})
}

// Guards against values that crash the decoder of the platform's list of VMs.
func FuzzParseVMs(f *testing.F) {
	f.Add([]byte(`[{"name":"vm1","address":"10.0.0.1:7400","service":"s","domain":"d","region":"r","state":"live"}]`))
	f.Add([]byte(`[{"name":"vm1","address":"10.0.0.1:7400"`))
	f.Add([]byte(`[[],{},null]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if _, err := ParseVMs(data); err != nil {
			checkRefusal(t, err)
		}
	})
}

func checkRefusal(t *testing.T, err error) {
	invalid, ok := errors.AsType[*InvalidError](err)
	if !ok || !errors.Is(err, basillift.ErrRefused) {
		t.Fatalf("refusal of another type: %v", err)
	}
	if n := len(invalid.Problems()); n == 0 || n > MaxProblems {
		t.Fatalf("%d problems", n)
	}
	for _, p := range invalid.Problems() {
		if p.Key() == "" || p.Found() == "" || p.Allowed() == "" || !utf8.ValidString(p.String()) {
			t.Fatalf("incomplete problem %q", p)
		}
	}
}
