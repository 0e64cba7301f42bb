package commands

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"basillift.dev/basillift"
	"basillift.dev/basillift/bladmin"
	"basillift.dev/basillift/blnode"
	"basillift.dev/basillift/blnotice"
)

// fakeDaemon is a daemon that knows one other daemon, which does not answer.
type fakeDaemon struct{ admin string }

func (f *fakeDaemon) Status(time.Time) blnode.Status {
	return blnode.Status{
		Name: "vm1", Domain: "tbilisi-a", Service: "catalogue", State: "ready", Version: "1.42", Ready: true,
		Members: []blnode.MemberStatus{
			{Name: "vm1", Admin: f.admin, State: "ready", Liveness: "alive"},
			{Name: "vm2", Admin: "127.0.0.1:1", State: "ready", Liveness: "alive"},
		},
	}
}
func (f *fakeDaemon) Ready() bool { return true }
func (f *fakeDaemon) Timeline() ([]basillift.Event, uint64) {
	e := basillift.NewEvent(time.Unix(1, 0), basillift.EventVersionApplied).WithOrigin("vm1", 1, 1)
	return []basillift.Event{e.WithVersion(basillift.NewVersion(1, 42), 7)}, 0
}

func (f *fakeDaemon) Notices() []blnotice.Message {
	return []blnotice.Message{{Id: "ab", Kind: "version-refused", Subject: "lists", Action: "mend it"}}
}

func (f *fakeDaemon) Explain(time.Time, string, string, string) []string {
	return []string{"customer kobuleti holds plan basic"}
}
func (f *fakeDaemon) Drain()                 {}
func (f *fakeDaemon) WriteMetrics(io.Writer) {}

func serveDaemon(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	server := bladmin.NewServer(&fakeDaemon{admin: listener.Addr().String()})
	go func() { _ = server.Run(listener) }()
	t.Cleanup(func() { is.New(t).NoErr(server.Stop()) })
	return listener.Addr().String()
}

// Guards against commands that stop at the first daemon that does not answer, and against wrong exit codes.
func TestDaemons(t *testing.T) {
	admin := serveDaemon(t)
	cases := []struct {
		name      string
		code      int
		want      string
		arguments []string
	}{
		{"status of one", 0, "version 1.42", []string{"status", "--admin", admin}},
		{"status of all names the daemon that does not answer", 0, "vm2: ", []string{"status", "--admin", admin, "--all"}},
		{"status as JSON", 0, `"version": "1.42"`, []string{"status", "--admin", admin, "--json"}},
		{"explain", 0, "1. customer kobuleti holds", []string{"explain", "--admin", admin, "--customer", "kobuleti", "--service", "s"}},
		{"timeline as text", 0, "version.applied", []string{"timeline", "--admin", admin, "--all"}},
		{"timeline as JSON lines", 0, `"kind":"version.applied"`, []string{"timeline", "--admin", admin, "--format", "json"}},
		{"timeline as trace events", 0, `"ph":"i"`, []string{"timeline", "--admin", admin, "--format", "trace"}},
		{"unknown format", 2, "Invalid value", []string{"timeline", "--admin", admin, "--format", "xml"}},
		{"notices", 0, "do: mend it", []string{"notices", "--admin", admin}},
		{"drain", 0, "draining", []string{"drain", "--admin", admin}},
		{"no daemon", 3, "127.0.0.1:1", []string{"status", "--admin", "127.0.0.1:1"}},
		{"no address", 2, "--admin", []string{"status"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { expectRun(t, c.code, c.want, c.arguments...) })
	}
}

// Guards against an audit that accepts a trace with a broken promise, or one that it cannot read.
func TestAudit(t *testing.T) {
	at := writeFiles(t, map[string]string{
		"kept":   `{"at":1,"vm":"a","incarnation":1,"sequence":1,"kind":"version.applied","version":"1.1","digest":"1"}`,
		"broken": `{"at":1,"vm":"a","incarnation":1,"sequence":1,"kind":"version.applied","version":"1.2","digest":"1"}` + "\n" + `{"at":2,"vm":"a","incarnation":1,"sequence":2,"kind":"version.applied","version":"1.1","digest":"1"}`,
		"bad":    `{`,
	})
	t.Run("kept", func(t *testing.T) { expectRun(t, 0, "0 broken promises", "audit", at("kept")) })
	t.Run("broken", func(t *testing.T) { expectRun(t, 1, "promise 1 (no older version)", "audit", at("broken")) })
	t.Run("broken as JSON", func(t *testing.T) { expectRun(t, 1, `"promise": 1`, "audit", "--json", at("broken")) })
	t.Run("damaged", func(t *testing.T) { expectRun(t, 3, "line 1", "audit", at("bad")) })
	t.Run("missing", func(t *testing.T) { expectRun(t, 3, "open trace", "audit", at("none")) })
}
