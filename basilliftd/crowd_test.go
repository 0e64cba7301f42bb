package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"basillift.dev/platform"
)

// Settings and bounds of the daemons in these tests. The bounds are what the settings allow.
const (
	crowdMemoryMB    = 48
	crowdDescriptors = 300
	// crowdBodyLimit is the largest body by the routing table.
	crowdBodyLimit = 2 << 20
	crowdTable     = `{"version":"00000001","routes":{"columns":["name","host","prefix","kind","timeout","goal","service"],"rows":[` +
		`["get","a.example","/get/","idempotent","2s","1s","catalogue"],["put","a.example","/put/","upload","4s","2s","catalogue"]]},` +
		`"services":{"columns":["name","healthPath","maxConns"],"rows":[["catalogue","/h",120]]},` +
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":2097152,"headerTimeout":"3s","idleTimeout":"15s"}}`
)

// daemonProcess is a daemon that runs as a process of its own.
type daemonProcess struct {
	command *exec.Cmd
	caller  string
	output  bytes.Buffer
	ended   chan struct{}
	// descriptors is the largest number of open descriptors that was seen.
	descriptors int
}

// startDaemons starts daemons with loopback addresses of their own, since other daemons reach each by the IP address of its
// target and a common port.
func startDaemons(t *testing.T, program string, count int) []*daemonProcess {
	t.Helper()
	values := map[string]string{platform.KeyRouting: crowdTable}
	var targets []string
	for i := range count {
		target := startTarget(t, fmt.Sprintf("127.0.71.%d", i+1))
		targets = append(targets, target)
		values[fmt.Sprintf("%si-%d", platform.KeyTargets, i)] = fmt.Sprintf(
			`{"service":"catalogue","address":%q,"zone":"a","version":"v1","slots":12,"state":"ready","seq":1,"born":1700000000000}`, target)
	}
	store := startStore(t, values)
	_, meshPort, err := net.SplitHostPort(freeAddress(t))
	is.New(t).NoErr(err)
	var daemons []*daemonProcess
	for i, target := range targets {
		ip, _, _ := net.SplitHostPort(target)
		daemons = append(daemons, startDaemon(t, program, fmt.Sprintf("vm%d", i), ip+":"+meshPort, target, store))
	}
	return daemons
}

func startDaemon(t *testing.T, program, name, mesh, target, store string) *daemonProcess {
	t.Helper()
	is := is.New(t)
	d := &daemonProcess{caller: freeAddress(t), ended: make(chan struct{})}
	path := filepath.Join(t.TempDir(), "daemon.json")
	settings := fmt.Sprintf(`{"name":%q,"domain":"a","service":"catalogue","caller":%q,"mesh":%q,"control":%q,"admin":%q,"ready":%q,"target":%q,`+
		`"platform":%q,"routing":"table","memory":%d,"descriptors":%d}`,
		name, d.caller, mesh, freeAddress(t), freeAddress(t), freeAddress(t), target, store, crowdMemoryMB, crowdDescriptors)
	is.NoErr(os.WriteFile(path, []byte(settings), 0o600))
	d.command = exec.Command(program, "--settings", path)
	d.command.Stderr = &d.output
	is.NoErr(d.command.Start())
	go func() {
		_ = d.command.Wait()
		close(d.ended)
	}()
	t.Cleanup(func() {
		_ = d.command.Process.Signal(syscall.SIGKILL)
		<-d.ended
	})
	d.assertAnswers(t)
	return d
}

// proc returns the path of a file of the daemon under /proc.
func (d *daemonProcess) proc(file string) string {
	return filepath.Join("/proc", strconv.Itoa(d.command.Process.Pid), file)
}

// memoryKB returns a field of the process status in KB, such as VmHWM, the peak resident set.
func (d *daemonProcess) memoryKB(t *testing.T, field string) int {
	t.Helper()
	status, err := os.ReadFile(d.proc("status"))
	is.New(t).NoErr(err)
	for line := range strings.Lines(string(status)) {
		if text, found := strings.CutPrefix(line, field+":"); found {
			kb, err := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(text), " kB"))
			is.New(t).NoErr(err)
			return kb
		}
	}
	t.Fatalf("no %s in the status of the daemon: it has ended\n%s", field, d.output.String())
	return 0
}

// sample records how many descriptors are open.
func (d *daemonProcess) sample() {
	if open, err := os.ReadDir(d.proc("fd")); err == nil {
		d.descriptors = max(d.descriptors, len(open))
	}
}

// assertAnswers waits until an ordinary request is answered.
func (d *daemonProcess) assertAnswers(t *testing.T) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		select {
		case <-d.ended:
			t.Fatalf("the daemon has ended:\n%s", d.output.String())
		default:
		}
		if d.ordinaryRequest() == http.StatusOK {
			return
		}
	}
	t.Fatal("no ordinary request was answered")
}

// ordinaryRequest sends a small request on a connection of its own and returns the status of its answer; 0 without one.
func (d *daemonProcess) ordinaryRequest() int {
	conn, err := net.DialTimeout("tcp", d.caller, time.Second)
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	_, _ = fmt.Fprintf(conn, "POST /put/x HTTP/1.1\r\nHost: a.example\r\n%s: ordinary\r\nContent-Length: 2\r\n\r\nok", platform.HeaderNames().RequestID())
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, answer.Body)
	return answer.StatusCode
}

// assertWithinBounds waits until the memory of the daemon no longer grows, and checks its peak and its descriptors.
func (d *daemonProcess) assertWithinBounds(t *testing.T, phase string) {
	t.Helper()
	for before := -1; before != d.memoryKB(t, "VmHWM"); time.Sleep(300 * time.Millisecond) {
		before = d.memoryKB(t, "VmHWM")
		d.sample()
	}
	peak := d.memoryKB(t, "VmHWM")
	t.Logf("crowd %s: peak memory %d KB, %d descriptors", phase, peak, d.descriptors)
	if peak > crowdMemoryMB<<10 {
		t.Errorf("crowd %s: peak memory %d KB, allowed are %d", phase, peak, crowdMemoryMB<<10)
	}
	if d.descriptors > crowdDescriptors {
		t.Errorf("crowd %s: %d open descriptors, allowed are %d", phase, d.descriptors, crowdDescriptors)
	}
}

// crowdKind is how each client of a crowd sends its request.
type crowdKind struct {
	name string
	// header is the framing header of the request.
	header string
	// parts are what follows the header, with a pause after each. Most clients leave out the last one.
	parts [][]byte
	pause time.Duration
	// always is set if all clients send all parts.
	always bool
}

func crowdKinds() []crowdKind {
	const size = 256 << 10
	body := bytes.Repeat([]byte("b"), size)
	last := [][]byte{body[:1]}
	var pieces [][]byte
	for sent := 0; sent < size-1; sent += 16 << 10 {
		pieces = append(pieces, body[sent:min(sent+16<<10, size-1)])
	}
	const tinyChunks = 160_000
	tiny := bytes.Repeat([]byte("1\r\nb\r\n"), tinyChunks)
	large := bytes.Repeat([]byte(fmt.Sprintf("%x\r\n%s\r\n", 64<<10, body[:64<<10])), 2*crowdBodyLimit/(64<<10))
	length := fmt.Sprintf("Content-Length: %d", size)
	const chunked = "Transfer-Encoding: chunked"
	oneChunk := append(fmt.Appendf(nil, "%x\r\n", size), body[:size-1]...)
	return []crowdKind{
		{name: "with a length", header: length, parts: append([][]byte{body[:size-1]}, last...)},
		{name: "with a length, piece by piece", header: length, parts: append(pieces, last...), pause: 5 * time.Millisecond},
		{name: "in one chunk", header: chunked, parts: [][]byte{oneChunk, []byte("b\r\n0\r\n\r\n")}},
		{name: "in chunks of one byte", header: chunked, parts: [][]byte{tiny, []byte("0\r\n\r\n")}},
		{name: "over the limit, announced", header: fmt.Sprintf("Content-Length: %d", 2*crowdBodyLimit), parts: [][]byte{large}, always: true},
		{name: "over the limit, not announced", header: chunked, parts: [][]byte{large}, always: true},
	}
}

// crowd is a set of connections that are open at the same time.
type crowd struct {
	kind  crowdKind
	conns []net.Conn
}

// gather opens connections to the daemons, and then sends all requests at once. It returns when each client has sent what it
// wants to send, or cannot send more.
func gather(daemons []*daemonProcess, kind crowdKind, perDaemon int) *crowd {
	c := &crowd{kind: kind}
	for i := range perDaemon * len(daemons) {
		conn, err := net.DialTimeout("tcp", daemons[i%len(daemons)].caller, time.Second)
		if err == nil {
			c.conns = append(c.conns, conn)
		}
	}
	for _, d := range daemons {
		d.sample()
	}
	var senders sync.WaitGroup
	for i, conn := range c.conns {
		// One client in eight completes its request.
		senders.Go(func() { c.send(conn, i, i%8 == 0) })
	}
	senders.Wait()
	return c
}

func (c *crowd) send(conn net.Conn, id int, complete bool) {
	_ = conn.SetWriteDeadline(time.Now().Add(20 * time.Second))
	_, err := fmt.Fprintf(conn, "POST /put/crowd HTTP/1.1\r\nHost: a.example\r\n%s: c%d\r\n%s\r\n\r\n", platform.HeaderNames().RequestID(), id, c.kind.header)
	parts := c.kind.parts
	if !complete && !c.kind.always {
		parts = parts[:len(parts)-1]
	}
	for _, p := range parts {
		if err != nil {
			return
		}
		_, err = conn.Write(p)
		time.Sleep(c.kind.pause)
	}
}

func (c *crowd) close() {
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}

// Guards against a daemon that runs out of memory or descriptors because many clients do not finish their requests, or send far
// more than is allowed. The machine then kills the process, and all its callers lose their answers.
func TestCrowds(t *testing.T) {
	program := filepath.Join(t.TempDir(), "basilliftd")
	output, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput()
	if err != nil {
		t.Fatalf("build the daemon: %v\n%s", err, output)
	}
	for _, size := range []struct {
		name               string
		daemons, perDaemon int
	}{{"one daemon", 1, 400}, {"three daemons", 3, 320}} {
		for _, kind := range crowdKinds() {
			t.Run(size.name+"/"+kind.name, func(t *testing.T) {
				daemons := startDaemons(t, program, size.daemons)
				assertServes := func(phase string) {
					t.Helper()
					for _, d := range daemons {
						d.assertWithinBounds(t, phase)
						d.assertAnswers(t)
					}
				}
				c := gather(daemons, kind, size.perDaemon)
				assertServes("kept open")
				c.close()
				assertServes("closed")
				c = gather(daemons, kind, size.perDaemon)
				defer c.close()
				assertServes("back")
			})
		}
	}
}
