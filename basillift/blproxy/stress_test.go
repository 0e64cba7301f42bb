package blproxy

import (
	"bufio"
	"fmt"
	"io"
	"math/rand"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"basillift.dev/basillift"
)

// TestOwnAnswers guards against a caller that receives another caller's response or part of one, and
// against a POST that runs twice. Calls end in many ways concurrently: disconnects, deadlines,
// slow targets, large bodies, broken connections.
func TestOwnAnswers(t *testing.T) {
	const clients, calls = 24, 120
	var runs sync.Map
	target := startTarget(t, func(ctx *fasthttp.RequestCtx) { misbehave(ctx, &runs) })
	caller := startDaemon(t, "vm-a", "127.0.0.1:1", nil)
	daemons := []*daemon{caller}
	for _, id := range []basillift.VMID{"vm-b", "vm-c", "vm-d"} {
		d := startDaemon(t, id, target, func(s Settings) Settings { return s.WithTarget(16, 64, 64) })
		caller.addTargets(d)
		daemons = append(daemons, d)
	}
	var whole atomic.Int32
	var group sync.WaitGroup
	for n := range clients {
		c := &stressClient{address: caller.CallerAddress(), rnd: rand.New(rand.NewSource(int64(n))), whole: &whole}
		group.Go(func() { c.loop(t, n, calls) })
	}
	group.Wait()
	for _, d := range daemons {
		eventually(t, func() bool { return d.InFlight() == 0 })
	}
	runs.Range(func(id, count any) bool {
		if count.(*atomic.Int32).Load() > 1 {
			t.Errorf("POST %v ran %d times", id, count.(*atomic.Int32).Load())
		}
		return true
	})
	is.New(t).True(whole.Load() > clients*calls/4) // the test must not pass by refusing all
}

// misbehave answers with the repeated id of the request, in the way that the query selects.
func misbehave(ctx *fasthttp.RequestCtx, runs *sync.Map) {
	id, behavior, size := string(ctx.QueryArgs().Peek("id")), string(ctx.QueryArgs().Peek("way")), ctx.QueryArgs().GetUintOrZero("size")
	_, _ = io.Copy(io.Discard, bodyOf(ctx))
	if ctx.IsPost() {
		count, _ := runs.LoadOrStore(id, &atomic.Int32{})
		count.(*atomic.Int32).Add(1)
	}
	text := strings.Repeat(id+";", size)
	switch behavior {
	case "slow":
		time.Sleep(20 * time.Millisecond)
	case "broken":
		_ = ctx.Conn().Close()
	case "chunked":
		ctx.SetBodyStream(strings.NewReader(text), -1)
		return
	}
	ctx.SetBodyString(text)
}

func bodyOf(ctx *fasthttp.RequestCtx) io.Reader {
	if ctx.RequestBodyStream() == nil {
		return strings.NewReader("")
	}
	return ctx.RequestBodyStream()
}

// stressClient sends calls on a kept-alive connection and sometimes disconnects.
type stressClient struct {
	address string
	rnd     *rand.Rand
	whole   *atomic.Int32
	conn    net.Conn
	reader  *bufio.Reader
}

func (sc *stressClient) loop(t *testing.T, n, calls int) {
	for i := range calls {
		if sc.conn == nil {
			conn, err := net.Dial("tcp", sc.address)
			requireNoError(t, err)
			sc.conn, sc.reader = conn, bufio.NewReader(conn)
		}
		if !sc.call(t, fmt.Sprintf("%d-%d", n, i)) {
			_ = sc.conn.Close()
			sc.conn = nil
		}
	}
	if sc.conn != nil {
		_ = sc.conn.Close()
	}
}

// call reports whether the connection can be used again.
func (sc *stressClient) call(t *testing.T, id string) bool {
	behavior := []string{"fast", "fast", "fast", "slow", "chunked", "broken"}[sc.rnd.Intn(6)]
	size := []int{1, 10, 1000, 30000}[sc.rnd.Intn(4)]
	method := []string{"GET", "POST"}[sc.rnd.Intn(2)]
	timeout := []int{5, 2000, 2000}[sc.rnd.Intn(3)]
	text := strings.Repeat("x", []int{0, 10, 100000}[sc.rnd.Intn(3)])
	if method == "GET" {
		text = ""
	}
	_, err := io.WriteString(sc.conn, method+" /catalogue/1?id="+id+"&way="+behavior+"&size="+strconv.Itoa(size)+requestHead+
		"Basillift-Timeout: "+strconv.Itoa(timeout)+"\r\nContent-Length: "+strconv.Itoa(len(text))+"\r\n\r\n"+text)
	if err != nil || sc.rnd.Intn(10) == 0 {
		return false
	}
	var response fasthttp.Response
	if response.Read(sc.reader) != nil {
		return false
	}
	if response.StatusCode() == 200 {
		sc.whole.Add(1)
		if string(response.Body()) != strings.Repeat(id+";", size) {
			t.Errorf("call %s (%s, %d) got %d bytes starting with %.20q", id, behavior, size, len(response.Body()), response.Body())
		}
	}
	return !response.ConnectionClose()
}
