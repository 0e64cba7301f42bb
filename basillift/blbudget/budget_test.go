package blbudget

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1_800_000_000, 0)

func after(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// Guards against budgets that exceed the machine, or that leave nothing for some class of connections.
func TestLimits(t *testing.T) {
	for _, machine := range []struct{ memoryMB, descriptors int }{{48, 300}, {184, 4100}, {536, 8192}, {0, 0}, {1, 1}, {1, 8}} {
		is := is.New(t)
		l := NewLimits(machine.memoryMB, machine.descriptors)
		is.True(l.PeerBytes() >= minPeerBytes)
		is.True(machine.memoryMB < 48 || l.PeerBytes() < l.HeapBytes())
		is.True(l.HeapBytes() <= int64(machine.memoryMB)*megabyte)
		is.True(machine.descriptors == 0 || l.Connections() <= machine.descriptors)
		is.True(machine.descriptors < 300 || l.Callers()+minDaemonConnections <= l.Connections())
	}
	t.Run("a machine with little memory bears 3,500 idle connections", func(t *testing.T) {
		is.New(t).True(NewLimits(184, 4100).Fits(SizeSmall, 3500*ConnectionBytes, megabyte))
	})
}

// Guards against callers whose connections leave none for targets, other daemons or each other.
func TestAdmits(t *testing.T) {
	l := NewLimits(48, 300)
	callers, all := l.Callers(), l.Connections()
	cases := []struct {
		name         string
		class        Class
		ofClass, all int
		want         bool
	}{
		{"first caller", ClassCaller, 0, 0, true},
		{"last caller", ClassCaller, callers - 1, callers - 1, true},
		{"one caller too many", ClassCaller, callers, callers, false},
		{"a daemon beside all callers", ClassDaemon, 0, callers, true},
		{"a caller beside connections of daemons", ClassCaller, 1, callers, true},
		{"daemons leave some to targets", ClassDaemon, 40, all - 1, false},
		{"callers do so too", ClassCaller, 1, all - 1, false},
		{"a target beside all others", ClassOutgoing, 0, all - 1, true},
		{"none is left", ClassOutgoing, 0, all, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { is.New(t).Equal(l.Admits(c.class, c.ofClass, c.all), c.want) })
	}
}

// Guards against large bodies that take the memory of small requests.
func TestSmallRequestsFitBesideLargeBodies(t *testing.T) {
	is := is.New(t)
	l := NewLimits(184, 4100)
	used := int64(0)
	for l.Fits(SizeLarge, used, megabyte) {
		used += megabyte
	}
	is.True(used > 0)
	is.True(l.Fits(SizeSmall, used, l.PeerBytes()/8))
	is.True(!l.Fits(SizeSmall, l.PeerBytes(), 1))
	is.Equal(SizeOf(SmallBytes), SizeSmall)
	is.Equal(SizeOf(SmallBytes+1), SizeLarge)
}

// Guards against a choice that closes connections which make progress, or others before the one that stalls longest.
func TestStalled(t *testing.T) {
	cases := []struct {
		name  string
		peers []Peer
		bytes int64
		want  []int
	}{
		{"nobody", nil, 10, nil},
		{"idle or served", []Peer{NewPeer(WaitingNothing, after(0), 9)}, 1, nil},
		{"all make progress", []Peer{NewPeer(WaitingRequest, after(9900), 9), NewPeer(WaitingRequest, after(9999), 9)}, 1, nil},
		{"longest first", []Peer{NewPeer(WaitingRequest, after(9000), 9), NewPeer(WaitingRequest, after(8000), 9)}, 1, []int{1}},
		{"as many as needed", []Peer{NewPeer(WaitingRequest, after(1), 9), NewPeer(WaitingRequest, after(0), 9), NewPeer(WaitingRequest, after(2), 9)}, 10, []int{1, 0}},
		{"all if they hold less", []Peer{NewPeer(WaitingRequest, after(1), 9), NewPeer(WaitingRequest, after(0), 9)}, 100, []int{1, 0}},
		{"one for a connection", []Peer{NewPeer(WaitingRequest, after(1), 0), NewPeer(WaitingRequest, after(0), 0)}, 0, []int{1}},
		{"requests before answers", []Peer{NewPeer(WaitingAnswer, after(0), 9), NewPeer(WaitingRequest, after(9000), 9)}, 1, []int{1}},
		{"connections without a byte before answers", []Peer{NewPeer(WaitingAnswer, after(0), 9), NewPeer(WaitingFirst, after(500), 0)}, 0, []int{1}},
		{"an answer that is read slowly", []Peer{NewPeer(WaitingAnswer, after(9500), 9)}, 1, nil},
		{"an answer that is not read", []Peer{NewPeer(WaitingAnswer, after(8500), 9)}, 1, []int{0}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { is.New(t).Equal(Stalled(after(10_000), c.peers, c.bytes), c.want) })
	}
}
