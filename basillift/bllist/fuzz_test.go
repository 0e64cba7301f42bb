package bllist

import (
	"errors"
	"reflect"
	"testing"
	"unicode/utf8"

	"basillift.dev/basillift"
)

// Guards against values that crash the decoder, and against valid lists that change
// when they are split and assembled again.
func FuzzParse(f *testing.F) {
	f.Add([]byte(goodCustomers), []byte(goodPlans))
	f.Add([]byte(`{"epoch":1,"parts":["0123456789abcdef"]}`), []byte(`{"epoch":1,"services":["s"]}`))
	f.Add([]byte(`{"epoch":1e3,"customers":[{"name":{"a":[[]]}}]}`), []byte(`[{}]`))
	f.Add([]byte(`null`), []byte("\xff"))
	f.Fuzz(func(t *testing.T, customers, plans []byte) {
		l, err := Parse(customers, plans)
		if err != nil {
			checkInvalidError(t, err)
			return
		}
		entries, err := Split(l, MaxValueBytes)
		if err != nil {
			t.Fatal(err)
		}
		again, err := Assemble(publishedValues(entries)...)
		if err != nil {
			t.Fatal(err)
		}
		if len(again.Lists().Customers()) != len(l.Customers()) || again.Lists().Epoch() != l.Epoch() {
			t.Fatal("content differs after splitting and assembling")
		}
	})
}

// Guards against a value that the decoder of the canonical form accepts although the
// strict decoder refuses it or decodes it to other content.
func FuzzDecodeCanonicalCustomers(f *testing.F) {
	f.Add([]byte(goodCustomers))
	f.Add([]byte(`{ "epoch" : 1, "customers" : [ {"name":"a","plan":"b"} , {"name":"c","plan":"d"} ] }`))
	f.Add([]byte(`{"epoch":1,"customers":[{"name":"a","name":"a","plan":"b"}]}`))
	f.Add([]byte(`{"epoch":1,"Customers":[{"name":"a","plan":"b"}],"customers":[{"plan":"c"}]}`))
	f.Add([]byte(`{"epoch":1,"customers":[{"name":"\u0061","plan":"b","extra":null}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		canonical, ok := decodeCanonicalCustomers(data)
		if !ok {
			return
		}
		r := &report{}
		strict := decodeCustomersStrict(basillift.KeyCustomers, data, formTop, r)
		if len(r.problems) > 0 || !reflect.DeepEqual(canonical, strict) {
			t.Fatalf("canonical %v, strict %v with problems %v", canonical, strict, r.problems)
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
			checkInvalidError(t, err)
		}
	})
}

func checkInvalidError(t *testing.T, err error) {
	invalid, ok := errors.AsType[*InvalidError](err)
	if !ok || !errors.Is(err, basillift.ErrRefused) {
		t.Fatalf("error is not an InvalidError: %v", err)
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
