// Command reviewlab runs the scripted cases of the review. It starts the daemons with the command of
// deploy/system.toml and the template deploy/daemon.json, on loopback addresses, and plays their surroundings: the
// metadata store (store.go), application servers (server.go) and clients (client.go).
package main

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The ports of a machine. They are the same on all machines.
const (
	portInbound  = 18300
	portApp      = 18301
	portReady    = 18302
	portOutbound = 18304
	portStore    = 18309
	portAdmin    = 17620
	portControl  = 17635
)

// The bounds of a small deployment (kbs-leather).
const (
	boundDrain   = 2000 * time.Millisecond
	boundContact = 3000 * time.Millisecond
	boundApply   = 2000 * time.Millisecond
)

// world is one run: a store, machines with a daemon and a server each, and the record of what happened.
type world struct {
	dir      string
	network  string // first three parts of the loopback addresses
	started  time.Time
	store    *store
	machines []*machine
	trouble  bool

	mutex  sync.Mutex
	record *os.File
	lines  int
	hidden int

	crashMutex sync.Mutex
	crashes    []time.Time
}

// machine is one machine with its daemon and its application server.
type machine struct {
	world   *world
	name    string
	zone    string
	service string
	ip      string
	server  *server
	process *exec.Cmd
	exited  chan struct{}
	stopped bool // set before the daemon is ended on purpose
	mutex   sync.Mutex
}

const maxRecordLines = 20000

// logf appends a line to record.txt.
func (w *world) logf(format string, a ...any) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.lines++; w.lines > maxRecordLines {
		w.hidden++
		return
	}
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, a...))
}

// newWorld chooses a free loopback network and opens the record in the folder of the case.
func newWorld(folder string) (*world, error) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, record: record, started: time.Now(), trouble: os.Getenv("TROUBLE") != "0"}
	for range 50 {
		w.network = fmt.Sprintf("127.%d.%d", 40+rand.Intn(160), 1+rand.Intn(250))
		if w.portsFree() {
			w.logf("network %s.0/24, disruption %v", w.network, w.trouble)
			w.store, err = newStore(w, w.network+".250")
			return w, err
		}
	}
	return nil, fmt.Errorf("no free loopback network")
}

func (w *world) portsFree() bool {
	for host := 1; host <= 13; host++ {
		for _, port := range []int{portInbound, portApp, portReady, portOutbound, portAdmin, portControl} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", w.network, host, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// addMachine adds a machine with a server, which registers itself.
func (w *world) addMachine(zone, service string, slots int) (*machine, error) {
	n := len(w.machines) + 1
	m := &machine{world: w, name: fmt.Sprintf("sidecar-%s-%d", zone, n), zone: zone, service: service, ip: fmt.Sprintf("%s.%d", w.network, n)}
	s, err := newServer(w, m, fmt.Sprintf("i-%08x", rand.Uint32()), slots)
	if err != nil {
		return nil, err
	}
	m.server = s
	w.machines = append(w.machines, m)
	return m, nil
}

// fields are the settings fields of DEPLOY.md that the template uses, with the values of a small deployment.
func (m *machine) fields() map[string]any {
	at := func(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }
	return map[string]any{
		"node": m.name, "zone": m.zone, "region": "tbilisi", "service": m.service, "ip": m.ip, "app": at(portApp),
		"listenAddrs": map[string]any{"inbound": at(portInbound), "outbound": at(portOutbound), "ready": at(portReady)},
		"peerPorts":   []any{portAdmin, portControl},
		"platform":    map[string]any{"address": fmt.Sprintf("%s:%d", m.world.store.ip, portStore)},
		"bounds":      map[string]any{"drain": "2000ms", "grace": "6s", "retryRatio": 0.2, "retryAllowance": 64},
		"limits":      map[string]any{"linkMbps": 1000.0},
	}
}

var placeholder = regexp.MustCompile(`\{\{([^{}|]+)(\|json)?\}\}`)

// render fills in the placeholders that deploy/daemon.json uses.
func render(template string, fields map[string]any) (string, error) {
	var failed error
	text := placeholder.ReplaceAllStringFunc(template, func(found string) string {
		parts := placeholder.FindStringSubmatch(found)
		var value any = fields
		for _, key := range strings.Split(parts[1], ".") {
			switch v := value.(type) {
			case map[string]any:
				value = v[key]
			case []any:
				var i int
				if _, err := fmt.Sscan(key, &i); err != nil || i >= len(v) {
					failed = fmt.Errorf("placeholder %s", found)
					return ""
				}
				value = v[i]
			}
		}
		if value == nil {
			failed = fmt.Errorf("placeholder %s has no value", found)
			return ""
		}
		if parts[2] != "" {
			data, _ := json.Marshal(value)
			return string(data)
		}
		return fmt.Sprint(value)
	})
	return text, failed
}

// roleCommand reads the command of the role daemon and its template from the deploy file.
func roleCommand() (run []string, template string, err error) {
	data, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, "", err
	}
	for _, line := range strings.Split(string(data), "\n") {
		key, value, _ := strings.Cut(line, "=")
		value = strings.Trim(strings.TrimSpace(value), `"`)
		switch strings.TrimSpace(key) {
		case "run":
			run = strings.Fields(value)
		case "template":
			template = value
		}
	}
	if len(run) == 0 || template == "" {
		return nil, "", fmt.Errorf("deploy/system.toml names no command")
	}
	return run, template, nil
}

// start starts the daemon of a machine with the command of the deploy file.
func (m *machine) start() error {
	run, templatePath, err := roleCommand()
	if err != nil {
		return err
	}
	template, err := os.ReadFile(templatePath)
	if err != nil {
		return err
	}
	settings, err := render(string(template), m.fields())
	if err != nil {
		return err
	}
	path := filepath.Join(m.world.dir, m.name+".json")
	if err = os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.world.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	c := exec.Command(run[0], run[1:]...)
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + m.world.dir, "LANG=C", "BASILLIFT_CONFIG=" + path}
	c.Stdout, c.Stderr = log, log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err = c.Start(); err != nil {
		return err
	}
	_ = log.Close()
	exited := make(chan struct{})
	m.mutex.Lock()
	m.process, m.exited, m.stopped = c, exited, false
	m.mutex.Unlock()
	m.world.logf("%s (%s, service %s): daemon started", m.name, m.ip, m.service)
	go func() {
		err := c.Wait()
		m.mutex.Lock()
		if !m.stopped {
			m.world.logf("%s: daemon ended by itself: %v", m.name, err)
		}
		m.mutex.Unlock()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the daemon.
func (m *machine) signal(s syscall.Signal) {
	m.world.logf("%s: daemon gets %s", m.name, s)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		m.stopped = true
	}
	_ = m.process.Process.Signal(s)
}

// kill ends the daemon and waits until it has ended.
func (m *machine) kill() {
	if m.process == nil {
		return
	}
	m.signal(syscall.SIGKILL)
	<-m.exited
}

// ready reports whether the daemon answers its readiness check with 200.
func (m *machine) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := client.Get(fmt.Sprintf("http://%s:%d/v1/readyz", m.ip, portReady))
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// startAll starts all daemons and waits until they are ready, and then until they are in touch.
func (w *world) startAll() error {
	for _, m := range w.machines {
		if err := m.start(); err != nil {
			return err
		}
	}
	for _, m := range w.machines {
		if err := waitFor(15*time.Second, m.ready); err != nil {
			return fmt.Errorf("%s is not ready: %w", m.name, err)
		}
	}
	time.Sleep(boundContact + time.Second)
	w.logf("all daemons are ready and in touch")
	return nil
}

func waitFor(d time.Duration, condition func() bool) error {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return nil
		}
	}
	return fmt.Errorf("not within %s", d)
}

// close ends all processes and servers. KEEP=1 keeps the settings and logs of the daemons.
func (w *world) close() {
	for _, m := range w.machines {
		if m.process != nil {
			m.kill()
		}
		m.server.stop()
	}
	w.store.close()
	if w.hidden > 0 {
		fmt.Fprintf(w.record, "%d more lines left out\n", w.hidden)
	}
	_ = w.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs:", w.dir)
	}
}
