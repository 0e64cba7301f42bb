package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// The headers of PROTOCOL.md.
const (
	headerID       = "X-Basillift-Request-Id"
	headerDeadline = "X-Basillift-Deadline-Ms"
	headerInstance = "X-Basillift-Target-Instance"
	headerCaller   = "X-Basillift-Caller-Service"
	headerSeal     = "X-Basillift-Server-Seal"
	headerNotRun   = "X-Basillift-Not-Executed"
	headerOwnID    = "X-Basillift-Instance-Id"
)

// execution is one run of a request at a server.
type execution struct {
	id, server, service, caller, path string
	body                              int
	began, ended                      time.Time
	dropped                           bool
}

// plan says how long a server works on a request and how large its answer is. It is chosen by the path.
type plan struct {
	work   time.Duration
	answer int
	// crash ends the server when it begins to run the request; nil for no crash.
	crash func(s *server, id string)
}

// server is one application server.
type server struct {
	world *world
	on    *machine
	id    string
	slots int
	born  int64
	http  *http.Server

	mutex   sync.Mutex
	running int
	seq     int
	plans   map[string]plan
	// grey is the share of requests that the server fails, with a 503 of its own, after it has run them.
	grey float64
	runs []*execution
}

func newServer(w *world, m *machine, id string, slots int) (*server, error) {
	s := &server{world: w, on: m, id: id, slots: slots, born: time.Now().UnixMilli(), plans: map[string]plan{}}
	l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", m.ip, portApp))
	if err != nil {
		return nil, err
	}
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve), IdleTimeout: 10 * time.Second}
	go func() { _ = s.http.Serve(l) }()
	s.publish("ready")
	return s, nil
}

func (s *server) stop() { _ = s.http.Close() }

// entry is what the server writes of itself into the store.
func (s *server) entry(service, state string) []byte {
	s.mutex.Lock()
	s.seq++
	seq := s.seq
	s.mutex.Unlock()
	value, _ := json.Marshal(map[string]any{
		"service": service, "address": fmt.Sprintf("%s:%d", s.on.ip, portApp), "zone": s.on.zone, "version": "v1",
		"slots": s.slots, "state": state, "coldLeft": "0ms", "seq": seq, "born": s.born,
	})
	return value
}

func (s *server) publish(state string) {
	s.world.store.put("servers/"+s.id, s.entry(s.on.service, state))
}

// setGrey sets the share of requests that the server fails after it has run them.
func (s *server) setGrey(share float64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.grey = share
}

// setPlan sets the work for a path.
func (s *server) setPlan(path string, p plan) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.plans[path] = p
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(headerOwnID, s.id)
	if r.URL.Path == "/healthz" {
		return
	}
	id := r.Header.Get(headerID)
	w.Header().Set(headerID, id)
	if expected := r.Header.Get(headerInstance); expected != "" && expected != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	refuse := func(status int) {
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(status)
	}
	if id == "" {
		refuse(http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	full := s.running >= s.slots
	if !full {
		s.running++
	}
	p := s.plans[r.URL.Path]
	s.mutex.Unlock()
	if full {
		refuse(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		s.mutex.Lock()
		s.running--
		s.mutex.Unlock()
	}()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		s.world.logf("server %s: body of request %s is incomplete; not run", s.id, id)
		return
	}
	e := &execution{id: id, server: s.id, service: s.on.service, caller: r.Header.Get(headerCaller), path: r.URL.Path, body: len(body), began: time.Now()}
	s.mutex.Lock()
	s.runs = append(s.runs, e)
	s.mutex.Unlock()
	s.world.logf("server %s (%s): runs request %s %s, caller service %q, %d bytes", s.id, s.on.service, id, r.URL.Path, e.caller, e.body)
	if p.crash != nil {
		p.crash(s, id)
		return
	}
	work := p.work
	if text := r.Header.Get(headerDeadline); text != "" {
		if ms, err := strconv.Atoi(text); err == nil {
			work = min(work, time.Duration(ms)*time.Millisecond)
		}
	}
	timer := time.NewTimer(work)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
	}
	s.mutex.Lock()
	e.ended, e.dropped = time.Now(), r.Context().Err() != nil
	s.mutex.Unlock()
	if e.dropped {
		s.world.logf("server %s: the connection of request %s is closed; work dropped", s.id, id)
		return
	}
	s.world.logf("server %s: request %s is done", s.id, id)
	s.mutex.Lock()
	fails := rand.Float64() < s.grey
	s.mutex.Unlock()
	if fails {
		s.world.logf("server %s: answers request %s with a failure of its own, 503", s.id, id)
		w.Header().Set(headerSeal, "failure")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	answer := answerBody(id, p.answer)
	w.Header().Set(headerSeal, fmt.Sprintf("%x.%d", sha256.Sum256(answer), len(answer)))
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = w.Write(answer)
}

// answerBody is the body that a server sends for a request: lines that name the request and their offset.
func answerBody(id string, size int) []byte {
	var b bytes.Buffer
	for b.Len() < size || b.Len() == 0 {
		fmt.Fprintf(&b, "%s %010d\n", id, b.Len())
	}
	return b.Bytes()
}

// executions returns the runs of a request at all servers.
func (w *world) executions(id string) []execution {
	var all []execution
	for _, m := range w.machines {
		w.mutex.Lock()
		s := m.server
		w.mutex.Unlock()
		s.mutex.Lock()
		for _, e := range s.runs {
			if e.id == id {
				all = append(all, *e)
			}
		}
		s.mutex.Unlock()
	}
	return all
}
