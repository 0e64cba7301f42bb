package blproxy

import (
	"bufio"
	"io"
	"net"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"basillift.dev/basillift"
)

// TestHedge guards against slow reads while one of the targets hangs, against a non-idempotent
// request that runs twice, and against copies that are not ended.
func TestHedge(t *testing.T) {
	for _, method := range []string{"GET", "HEAD", "POST"} {
		t.Run(method, func(t *testing.T) {
			var hanging atomic.Bool
			var hung atomic.Int32
			reply := okAnswer
			if method == "HEAD" {
				reply = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"
			}
			target := startRaw(t, func(c net.Conn, r *bufio.Reader) {
				for readRequest(r) {
					if hanging.CompareAndSwap(true, false) {
						hung.Add(1)
						waitClosed(r)
						hung.Add(1)
						return
					}
					_, _ = io.WriteString(c, reply)
				}
			})
			caller := startDaemon(t, "vm-a", "127.0.0.1:1", withLongTimeouts)
			for _, id := range []basillift.VMID{"vm-b", "vm-c", "vm-d"} {
				caller.addTargets(startDaemon(t, id, target, withLongTimeouts))
			}
			sendCalls := func(count int) {
				for range count {
					is.New(t).Equal(caller.ask(t, method, "/catalogue/1", "").StatusCode(), 200)
				}
			}
			sendCalls(150)
			status, maxTries, want := 0, 20, 200
			if method == "POST" {
				maxTries, want = 2, 504
			}
			// Calls that happened to be slow may have used up the hedge budget.
			for tries := 0; tries < maxTries && status != 200; tries++ {
				sendCalls(20)
				hanging.Store(true)
				status = caller.ask(t, method, "/catalogue/1", "", "Basillift-Timeout: 300").StatusCode()
			}
			is.New(t).Equal(status, want)
			eventually(t, func() bool { return hung.Load()%2 == 0 && caller.InFlight() == 0 })
		})
	}
}
