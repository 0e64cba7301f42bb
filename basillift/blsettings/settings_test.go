package blsettings

import (
	"errors"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const valid = `{
	// comments and trailing commas are allowed
	"name": "vm1", "domain": "tbilisi-a", "service": "catalogue",
	"caller": "127.0.1.1:7100", "mesh": "127.0.1.1:7101", "control": "127.0.1.1:7102",
	"admin": "127.0.1.1:7103", "target": "127.0.1.1:7104", "platform": "http://127.0.0.1:7000/",
}`

func assertRefused(t *testing.T, data, want string) {
	t.Helper()
	is := is.New(t)
	_, err := Parse([]byte(data))
	is.True(errors.Is(err, ErrSettings))
	if !strings.Contains(err.Error(), want) {
		t.Errorf("error %q does not contain %q", err, want)
	}
}

func withName(field string) string { return strings.Replace(valid, `"name": "vm1",`, field, 1) }

func TestParse(t *testing.T) {
	t.Run("defaults come from the schema", func(t *testing.T) {
		is := is.New(t)
		s, err := Parse([]byte(valid))
		is.NoErr(err)
		is.Equal(s.Slots(), 10)
		is.Equal(s.Timeout(), 10*time.Second)
		is.Equal(s.Trace(), TraceRefused)
		is.Equal(s.Platform(), "http://127.0.0.1:7000")
		is.Equal(s.MemoryMB(), 0)
		is.Equal(s.Descriptors(), 0)
	})
	t.Run("limits of the machine", func(t *testing.T) {
		is := is.New(t)
		s, err := Parse([]byte(withName(`"name": "vm1", "memory": 184, "descriptors": 4100,`)))
		is.NoErr(err)
		is.Equal(s.MemoryMB(), 184)
		is.Equal(s.Descriptors(), 4100)
	})
}

// Guards against invalid settings that are partly applied, or refused without naming the field.
func TestParseRefuses(t *testing.T) {
	cases := []struct{ name, data, want string }{
		{"syntax", `{"name": `, "parse settings"},
		{"missing field", withName(""), "missing property 'name'"},
		{"unknown field", withName(`"name": "vm1", "slot": 3,`), "field slot: found unknown field"},
		{"wrong type", withName(`"name": 7,`), "field name: got number, want string"},
		{"out of range", withName(`"name": "vm1", "slots": 0,`), "field slots"},
		{"unknown enum", withName(`"name": "vm1", "trace": "some",`), "field trace"},
		{"host name", strings.Replace(valid, "127.0.1.1:7101", "localhost:7101", 1), "field mesh"},
		{"same address twice", strings.Replace(valid, "127.0.1.1:7101", "127.0.1.1:7100", 1), "field mesh"},
		{"bad seed", withName(`"name": "vm1", "seeds": ["a"],`), "field seeds.0"},
		{"bad URL", strings.Replace(valid, "http://127.0.0.1:7000/", "ftp://x", 1), "field platform"},
		{"negative memory", withName(`"name": "vm1", "memory": -1,`), "field memory"},
		{"descriptors with a fraction", withName(`"name": "vm1", "descriptors": 0.5,`), "field descriptors"},
		{"timeout above longest", withName(`"name": "vm1", "timeout": 2000, "longest": 1000,`), "field timeout"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { assertRefused(t, c.data, c.want) })
	}
}

// Guards against a reference page or embedded schema that differs from schema/settings.json.
func TestGeneratedFiles(t *testing.T) {
	is := is.New(t)
	source, err := os.ReadFile("../../schema/settings.json")
	is.NoErr(err)
	is.Equal(string(source), schemaText)
	page, err := os.ReadFile("../../docs/settings.md")
	is.NoErr(err)
	want, err := Reference()
	is.NoErr(err)
	is.Equal(string(page), want)
}
