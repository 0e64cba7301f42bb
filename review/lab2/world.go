package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
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

// The bounds of the small sites.
const (
	heartbeat  = 1500 * time.Millisecond
	drain      = 2 * time.Second
	grace      = 6 * time.Second
	apply      = 2 * time.Second
	healthPath = "/healthz"
)

var (
	runPattern         = regexp.MustCompile(`(?m)^run = "([^"]+)"`)
	templatePattern    = regexp.MustCompile(`(?m)^template = "([^"]+)"`)
	placeholderPattern = regexp.MustCompile(`\{\{([A-Za-z0-9.]+)(\|json)?\}\}`)
)

// world is a small deployment on loopback addresses.
type world struct {
	root    string
	folder  string
	record  *os.File
	started time.Time
	store   *store
	servers []*server
	daemons []*daemon
	loads   []*load
	network string
	port    int
	mutex   sync.Mutex
}

// daemon is a process of the project's daemon.
type daemon struct {
	name, ip, zone, service       string
	inbound, outbound, ready, app string
	// store is the address at which this machine reaches the store.
	store    string
	settings string
	process  *exec.Cmd
	log      *os.File
}

// newWorld opens the store. record is the file to which everything is written.
func newWorld(root, record string) (*world, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	w := &world{root: root, folder: folder, record: f, started: time.Now()}
	for range 50 {
		w.network = fmt.Sprintf("127.%d.%d", 30+rand.IntN(200), rand.IntN(250))
		w.port = 12_000 + 20*rand.IntN(900)
		if w.portsAreFree() {
			w.store = newStore()
			return w, nil
		}
	}
	return nil, errors.New("no free ports")
}

// portsAreFree reports whether the ports of the first machine are free.
func (w *world) portsAreFree() bool {
	for i := range 10 {
		l, err := net.Listen("tcp", w.address(1, i))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

func (w *world) address(machine, offset int) string {
	return fmt.Sprintf("%s.%d:%d", w.network, machine, w.port+offset)
}

// note writes one line to the record.
func (w *world) note(format string, arguments ...any) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.3f s  %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, arguments...))
}

// say writes one line to the record and to standard output.
func (w *world) say(format string, arguments ...any) {
	w.note(format, arguments...)
	fmt.Printf(format+"\n", arguments...)
}

// addMachine adds a machine with its server, which is not started, and its daemon, which is.
func (w *world) addMachine(zone, service string, work time.Duration) (*server, *daemon, error) {
	n := len(w.daemons) + 1
	s := &server{
		world: w, id: fmt.Sprintf("i-%08x", rand.Uint32()), service: service, zone: zone, address: w.address(n, 1), slots: 9, work: work, clock: time.Now,
	}
	d := &daemon{
		name: fmt.Sprintf("sidecar-%s-%d", zone, n), ip: fmt.Sprintf("%s.%d", w.network, n), zone: zone, service: service,
		inbound: w.address(n, 0), outbound: w.address(n, 4), ready: w.address(n, 2), app: s.address,
	}
	w.servers, w.daemons = append(w.servers, s), append(w.daemons, d)
	d.store = w.address(n, 9)
	if err := w.store.serve(d.store); err != nil {
		return nil, nil, err
	}
	return s, d, w.startDaemon(d)
}

// startDaemon renders the template of the settings and starts the process as the deploy file says.
func (w *world) startDaemon(d *daemon) error {
	deploy, err := os.ReadFile(filepath.Join(w.root, "deploy/system.toml"))
	if err != nil {
		return err
	}
	run, template := runPattern.FindSubmatch(deploy), templatePattern.FindSubmatch(deploy)
	if run == nil || template == nil {
		return errors.New("deploy file without run or template")
	}
	text, err := os.ReadFile(filepath.Join(w.root, string(template[1])))
	if err != nil {
		return err
	}
	d.settings = filepath.Join(w.folder, d.name+".conf")
	if err = os.WriteFile(d.settings, w.render(text, d), 0o600); err != nil {
		return err
	}
	if d.log, err = os.OpenFile(filepath.Join(w.folder, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return err
	}
	words := strings.Fields(string(run[1]))
	d.process = exec.Command(filepath.Join(w.root, words[0]), words[1:]...)
	d.process.Dir, d.process.Stdout, d.process.Stderr = w.root, d.log, d.log
	d.process.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "BASILLIFT_CONFIG=" + d.settings, "BASILLIFT_MEMORY=284", "BASILLIFT_DESCRIPTORS=4100",
	}
	w.note("start %s", d.name)
	return d.process.Start()
}

// render fills in the template of the settings. Only plain placeholders are known.
func (w *world) render(template []byte, d *daemon) []byte {
	values := map[string]any{
		"node": d.name, "zone": d.zone, "region": "region", "service": d.service, "ip": d.ip, "app": d.app,
		"listenAddrs.outbound": d.outbound, "listenAddrs.inbound": d.inbound, "listenAddrs.ready": d.ready,
		"peerPorts.0": w.port + 5, "peerPorts.1": w.port + 8, "platform.address": d.store,
		"bounds.drain": fmt.Sprintf("%dms", drain.Milliseconds()), "bounds.grace": "6s", "bounds.retryRatio": 0.2, "bounds.retryAllowance": 64, "limits.linkMbps": 1000.0,
	}
	return placeholderPattern.ReplaceAllFunc(template, func(found []byte) []byte {
		parts := placeholderPattern.FindSubmatch(found)
		value := values[string(parts[1])]
		if len(parts[2]) > 0 {
			encoded, _ := json.Marshal(value)
			return encoded
		}
		return []byte(fmt.Sprint(value))
	})
}

// awaitReady waits until all daemons say that they are ready.
func (w *world) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	for _, d := range w.daemons {
		for end := time.Now().Add(10 * time.Second); ; time.Sleep(50 * time.Millisecond) {
			response, err := client.Get("http://" + d.ready + "/v1/readyz")
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("daemon %s is not ready", d.name)
			}
		}
	}
	return nil
}

// ended returns the daemons that are not running any more.
func (w *world) ended() []string {
	var names []string
	for _, d := range w.daemons {
		if d.process != nil && d.process.Process != nil && d.process.Process.Signal(syscall.Signal(0)) != nil {
			names = append(names, d.name)
		}
	}
	return names
}

// close ends all processes that were started.
func (w *world) close() {
	for _, d := range w.daemons {
		if d.process != nil && d.process.Process != nil {
			_ = d.process.Process.Kill()
			_ = d.process.Wait()
		}
	}
	for _, s := range w.servers {
		s.crash()
	}
	if w.store != nil {
		w.store.close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.folder)
	} else {
		fmt.Println("logs in", w.folder)
	}
	_ = w.record.Close()
}

// weighted is one part of a split route.
type weighted struct {
	Service string `json:"service"`
	Weight  int64  `json:"weight"`
}

// route is one route of the configuration.
type route struct {
	name, host, prefix, timeout, service string
	split                                []weighted
}

// putConfig writes a configuration and returns when the store has accepted it.
func (w *world) putConfig(version int, services []string, cold bool, routes ...route) time.Time {
	columns := []string{"name", "host", "prefix", "kind", "timeout", "goal", "priority", "split", "attempts", "service"}
	var rows, serviceRows [][]any
	for _, r := range routes {
		row := []any{r.name, r.host, r.prefix, "idempotent", r.timeout, "300ms", 2, nil, 2, nil}
		if len(r.split) > 0 {
			row[7] = r.split
		} else {
			row[9] = r.service
		}
		rows = append(rows, row)
	}
	serviceColumns := []string{"name", "healthPath", "maxConns", "protocol", "tls"}
	if cold {
		serviceColumns = append(serviceColumns, "warmup", "coldPerS")
	}
	for _, s := range services {
		row := []any{s, healthPath, 130, "h1", false}
		if cold {
			row = append(row, "3000ms", 11)
		}
		serviceRows = append(serviceRows, row)
	}
	value, _ := json.Marshal(map[string]any{
		"version": fmt.Sprintf("%08x", version),
		"routes":  map[string]any{"columns": columns, "rows": rows}, "services": map[string]any{"columns": serviceColumns, "rows": serviceRows},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
	})
	at := w.store.put("op/config", value)
	w.note("store accepts op/config, %d bytes: %.300s", len(value), value)
	return at
}
