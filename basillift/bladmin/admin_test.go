package bladmin

import (
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blnode"
	"basillift.dev/basillift/blnotice"
)

type fakeSource struct {
	ready   bool
	drained chan bool
}

func (f fakeSource) Status(time.Time) blnode.Status {
	return blnode.Status{Name: "vm1", Version: "1.42", Members: []blnode.MemberStatus{{Name: "vm2"}}}
}
func (f fakeSource) Ready() bool { return f.ready }
func (f fakeSource) Timeline() ([]basillift.Event, uint64) {
	return []basillift.Event{basillift.NewEvent(time.Unix(1, 0), basillift.EventStarted).WithOrigin("vm1", 1, 1)}, 3
}
func (f fakeSource) Notices() []blnotice.Message { return []blnotice.Message{{Id: "1"}} }
func (f fakeSource) Explain(_ time.Time, customer, service, method string) []string {
	return []string{customer, service, method}
}
func (f fakeSource) Drain()                   { f.drained <- true }
func (f fakeSource) WriteMetrics(w io.Writer) { _, _ = io.WriteString(w, "basillift_ready 1\n") }

func serve(t *testing.T, s Source) *Client {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	server := NewServer(s)
	done := make(chan error, 1)
	go func() { done <- server.Run(listener) }()
	t.Cleanup(func() {
		is.New(t).NoErr(server.Stop())
		is.New(t).NoErr(<-done)
	})
	return NewClient(listener.Addr().String())
}

// Guards against a server and a client that use different paths or response formats.
func TestServerAnswersClient(t *testing.T) {
	source := fakeSource{drained: make(chan bool, 1)}
	client := serve(t, source)
	t.Run("status", func(t *testing.T) {
		is := is.New(t)
		status, err := client.Status()
		is.NoErr(err)
		is.Equal(status.Version, "1.42")
		is.Equal(status.Members[0].Name, "vm2")
	})
	t.Run("timeline", func(t *testing.T) {
		is := is.New(t)
		events, err := client.Timeline()
		is.NoErr(err)
		is.Equal(events[0].Kind(), basillift.EventStarted)
	})
	t.Run("explain", func(t *testing.T) {
		is := is.New(t)
		steps, err := client.Explain("a&b", "orders", "POST")
		is.NoErr(err)
		is.Equal(steps, []string{"a&b", "orders", "POST"})
	})
	t.Run("explain without a customer is refused", func(t *testing.T) {
		is := is.New(t)
		_, err := client.Explain("", "orders", "GET")
		is.True(errors.Is(err, ErrResponse))
		is.True(strings.Contains(err.Error(), "customer"))
	})
	t.Run("notices", func(t *testing.T) {
		is := is.New(t)
		notices, err := client.Notices()
		is.NoErr(err)
		is.Equal(len(notices), 1)
	})
	t.Run("metrics of the daemon and the process", func(t *testing.T) {
		is := is.New(t)
		body, err := client.do("GET", "/metrics")
		is.NoErr(err)
		is.True(strings.Contains(string(body), "basillift_ready 1"))
		is.True(strings.Contains(string(body), "process_cpu_seconds_total"))
	})
	t.Run("drain", func(t *testing.T) {
		is := is.New(t)
		is.NoErr(client.Drain())
		is.True(<-source.drained)
	})
}

// Guards against a daemon that accepts traffic from a load balancer before a version is in force.
func TestReady(t *testing.T) {
	for _, ready := range []bool{true, false} {
		client := serve(t, fakeSource{ready: ready})
		_, err := client.do("GET", "/ready")
		is.New(t).Equal(err == nil, ready)
	}
}
