package blforwarder

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blbalance"
)

// refuse answers like a daemon without a free slot, on a VM with a fast link.
func refuse(w net.Conn, _ *http.Request, _ []byte) bool {
	a := notRunAnswer(basillift.ReasonOverload, time.Second)
	load := formatLoad(basillift.NewLoad(4, 9, 4, time.Second))
	_, err := fmt.Fprintf(w, "HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\n%s: %s\r\nContent-Length: 0\r\n\r\n",
		headerHop, a.formatOutcome(), headerLoad, load)
	return err == nil
}

// Guards against a large body that is sent to another failure domain and refused there.
func TestLargeBodyReservesFirst(t *testing.T) {
	is := is.New(t)
	m := startMesh(t, startTarget(t, answerOK))
	far := startTarget(t, refuse)
	address := far.listener.Addr().String()
	e := basillift.NewEndpoint("far", "catalogue", "10.0.0.1:80", "b", 4, basillift.TargetReady).WithDaemon(address)
	m.fleet.Apply(time.Now(), removalOf("t0", 100))
	m.fleet.Apply(time.Now(), basillift.NewRegistryEntry("t9", 101).WithEndpoint(e))
	c := m.dial(t, 0)
	c.send(post("p1", "small"))
	c.assertAnswer(503, "")
	_, body := far.lastRequest(t)
	is.Equal(body, "small")
	c.send(post("p2", strings.Repeat("b", blbalance.LargeBodyBytes)))
	c.assertAnswer(503, "")
	head, body := far.lastRequest(t)
	is.Equal(len(body), 0)
	is.True(strings.Contains(head, headerPermit))
}

// Guards against a body that is refused although a slot is reserved for it, and against a slot that stays reserved for
// a lost body.
func TestSlotIsReservedForBody(t *testing.T) {
	ctx, now := context.Background(), time.Now()
	reserve := func(t *testing.T, ad *admission, id string) {
		t.Helper()
		is.New(t).True(ad.reserve(ctx, now, acceptedAs(id), uploadMetadata(now, hangGuard).slotRequest) == nil)
	}
	t.Run("the body takes its reserved slot", func(t *testing.T) {
		is := is.New(t)
		ad := newAdmission()
		for i := range defaultSlots {
			reserve(t, ad, fmt.Sprintf("p%d", i))
		}
		is.Equal(ad.load().Running(), defaultSlots)
		_, refusal := ad.acquire(ctx, now, acceptedAs("p2"), uploadMetadata(now, hangGuard))
		is.True(refusal == nil)
		is.Equal(ad.load().Running(), defaultSlots)
		is.Equal(ad.reservedCount(), defaultSlots-1)
	})
	t.Run("a body that does not arrive frees its slot", func(t *testing.T) {
		is := is.New(t)
		ad := newAdmission()
		reserve(t, ad, "lost")
		ad.releaseReserved(now, "lost", false)
		ad.releaseReserved(now, "lost", false)
		is.Equal(ad.load().Running(), 0)
	})
	t.Run("a request reserves one slot only", func(t *testing.T) {
		is := is.New(t)
		ad := newAdmission()
		reserve(t, ad, "twice")
		reserve(t, ad, "twice")
		is.Equal(ad.load().Running(), 1)
	})
}
