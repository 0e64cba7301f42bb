package bllist

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"basillift.dev/basillift"
)

// problemsOf returns the problems of an InvalidError and fails the test for any other
// error.
func problemsOf(t *testing.T, err error) []Problem {
	t.Helper()
	is := is.New(t)
	is.True(errors.Is(err, basillift.ErrRefused))
	invalid, ok := errors.AsType[*InvalidError](err)
	is.True(ok)
	return invalid.Problems()
}

// Guards against a defect that the validator does not detect, or that it reports for
// the wrong field, so that the operator cannot find it.
func TestRefusals(t *testing.T) {
	cases := []struct {
		name      string
		customers string // "" means goodCustomers
		plans     string // "" means goodPlans
		want      string // kind, key and field path of the first problem
	}{
		{"unknown plan", `{"epoch":1,"customers":[{"name":"a","plan":"gold"}]}`, "", "reference customers customers[0].plan"},
		{"unknown service", "", `{"epoch":1,"services":["s"],"plans":[{"name":"basic","services":["s","x"]}]}`, "reference plans plans[0].services[1]"},
		{"duplicate customer", `{"epoch":1,"customers":[{"name":"a","plan":"basic"},{"name":"a","plan":"basic"}]}`, "", "duplicate customers customers[1].name"},
		{"duplicate plan", "", `{"epoch":1,"services":["s"],"plans":[{"name":"basic","services":["s"]},{"name":"basic","services":["s"]}]}`, "duplicate plans plans[1].name"},
		{"duplicate service", "", `{"epoch":1,"services":["s","s"],"plans":[{"name":"basic","services":["s"]}]}`, "duplicate plans services[1]"},
		{"duplicate service in a plan", "", `{"epoch":1,"services":["s"],"plans":[{"name":"basic","services":["s","s"]}]}`, "duplicate plans plans[0].services[1]"},
		{"duplicate field", `{"epoch":1,"epoch":1,"customers":[{"name":"a","plan":"basic"}]}`, "", "duplicate customers epoch"},
		{"unknown field", `{"epoch":1,"owner":{"x":[1]},"customers":[{"name":"a","plan":"basic"}]}`, "", "unknown customers owner"},
		{"unknown field of a customer", `{"epoch":1,"customers":[{"name":"a","plan":"basic","tier":1}]}`, "", "unknown customers customers[0].tier"},
		{"name in another case", `{"epoch":1,"customers":[{"Name":"a","plan":"basic"}]}`, "", "unknown customers customers[0].Name"},
		{"number instead of text", `{"epoch":1,"customers":[{"name":7,"plan":"basic"}]}`, "", "type customers customers[0].name"},
		{"text instead of number", `{"epoch":"1","customers":[{"name":"a","plan":"basic"}]}`, "", "type customers epoch"},
		{"null", `{"epoch":1,"customers":null}`, "", "type customers customers"},
		{"object instead of array", `{"epoch":1,"customers":{"a":"basic"}}`, "", "type customers customers"},
		{"array instead of object", `[]`, "", "type customers "},
		{"empty list", `{"epoch":1,"customers":[]}`, "", "empty customers customers"},
		{"empty services of a plan", "", `{"epoch":1,"services":["s"],"plans":[{"name":"basic","services":[]}]}`, "empty plans plans[0].services"},
		{"no services", "", `{"epoch":1,"plans":[{"name":"basic","services":["s"]}]}`, "empty plans services"},
		{"no plans", "", `{"epoch":1,"services":["s"]}`, "empty plans plans"},
		{"neither list nor parts", `{"epoch":1}`, "", "missing customers "},
		{"both list and parts", `{"epoch":1,"customers":[{"name":"a","plan":"basic"}],"parts":["0123456789abcdef"]}`, "", "unknown customers "},
		{"missing epoch", `{"customers":[{"name":"a","plan":"basic"}]}`, "", "missing customers epoch"},
		{"missing plan", `{"epoch":1,"customers":[{"name":"a"}]}`, "", "missing customers customers[0].plan"},
		{"epoch 0", `{"epoch":0,"customers":[{"name":"a","plan":"basic"}]}`, "", "range customers epoch"},
		{"epoch with a fraction", `{"epoch":1.5,"customers":[{"name":"a","plan":"basic"}]}`, "", "range customers epoch"},
		{"epoch above the largest", `{"epoch":9007199254740992,"customers":[{"name":"a","plan":"basic"}]}`, "", "range customers epoch"},
		{"negative rate", "", `{"epoch":1,"services":["s"],"plans":[{"name":"basic","services":["s"],"rate":-1}]}`, "range plans plans[0].rate"},
		{"negative concurrency", "", `{"epoch":1,"services":["s"],"plans":[{"name":"basic","services":["s"],"concurrency":-1}]}`, "range plans plans[0].concurrency"},
		{"unknown class", "", `{"epoch":1,"services":["s"],"plans":[{"name":"basic","services":["s"],"class":"gold"}]}`, "range plans plans[0].class"},
		{"empty name", `{"epoch":1,"customers":[{"name":"","plan":"basic"}]}`, "", "range customers customers[0].name"},
		{"name with a line break", `{"epoch":1,"customers":[{"name":"a\n","plan":"basic"}]}`, "", "range customers customers[0].name"},
		{"truncated", `{"epoch":1,"customers":[{"name":"a","pl`, "", "truncated customers "},
		{"nothing", ` `, "", "truncated customers "},
		{"trailing data", goodCustomers + `{}`, "", "syntax customers "},
		{"comma at the end", `{"epoch":1,"customers":[{"name":"a","plan":"basic"},]}`, "", "syntax customers "},
		{"bad UTF-8", "{\"epoch\":1,\"customers\":[{\"name\":\"a\xff\",\"plan\":\"basic\"}]}", "", "encoding customers "},
		{"oversize", goodCustomers + strings.Repeat(" ", MaxValueBytes), "", "oversize customers "},
		{"bad hash of a part", `{"epoch":1,"parts":["0123"]}`, "", "range customers parts[0]"},
		{"missing part", `{"epoch":1,"parts":["0123456789abcdef"]}`, "", "missing customers.1 "},
		{"too many parts", `{"epoch":1,"parts":["0123456789abcdef"` + strings.Repeat(`,"0123456789abcdef"`, MaxParts) + `]}`, "", "range customers parts"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			if c.customers == "" {
				c.customers = goodCustomers
			}
			if c.plans == "" {
				c.plans = goodPlans
			}
			_, err := Parse([]byte(c.customers), []byte(c.plans))
			p := problemsOf(t, err)[0]
			is.Equal(string(p.Kind())+" "+p.Key()+" "+p.Field(), c.want)
			is.True(p.Found() != "" && p.Allowed() != "")
		})
	}
}

// Guards against reports that contain only one problem at a time, and against reports
// that grow without bound for a list with many problems or long strings.
func TestManyProblems(t *testing.T) {
	t.Run("all at once", func(t *testing.T) {
		is := is.New(t)
		_, err := Parse([]byte(`{"epoch":0,"customers":[{"name":1,"plan":true}]}`), []byte(`{"epoch":1,"services":[],"plans":[{}]}`))
		is.Equal(len(problemsOf(t, err)), 6)
	})
	t.Run("bounded", func(t *testing.T) {
		is := is.New(t)
		entry := `{"name":"a","plan":"gold"}`
		_, err := Parse([]byte(`{"epoch":1,"customers":[`+entry+strings.Repeat(","+entry, 500)+`]}`), []byte(goodPlans))
		is.Equal(len(problemsOf(t, err)), MaxProblems)
		invalid, _ := errors.AsType[*InvalidError](err)
		is.True(invalid.MayHaveMore())
	})
	t.Run("bounded text", func(t *testing.T) {
		is := is.New(t)
		_, err := Parse([]byte(`{"epoch":1,"customers":[{"name":"`+strings.Repeat("x", 5000)+`","plan":"basic"}]}`), []byte(goodPlans))
		is.True(len(problemsOf(t, err)[0].String()) < 300)
	})
}

// Guards against accepting a list of VMs with an invalid address or state, or with a
// missing or unknown field.
func TestParseVMs(t *testing.T) {
	good := `{"name":"vm1","address":"10.0.0.1:7400","service":"catalogue","domain":"tbilisi-a","region":"tbilisi","state":"live"}`
	t.Run("good", func(t *testing.T) {
		is := is.New(t)
		list, err := ParseVMs([]byte("[" + good + "]"))
		is.NoErr(err)
		is.Equal(list[0].Address, "10.0.0.1:7400")
	})
	for _, c := range [][2]string{
		{"10.0.0.1:7400", "tower:7400"},
		{"live", "gone"},
		{`"region":"tbilisi",`, ""},
		{"domain", "zone"},
	} {
		t.Run(c[0], func(t *testing.T) {
			_, err := ParseVMs([]byte("[" + strings.Replace(good, c[0], c[1], 1) + "]"))
			is.New(t).True(len(problemsOf(t, err)) > 0)
		})
	}
}
