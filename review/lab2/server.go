package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// arrival is a request that a server has begun to run.
type arrival struct {
	at        time.Time
	server    string
	requestID string
	caller    string
	method    string
	path      string
	run       int
}

// server is a stand-in for an application server.
type server struct {
	world   *world
	id      string
	service string
	zone    string
	address string
	slots   int
	work    time.Duration
	// clock returns the time of day of the server's machine.
	clock func() time.Time

	mutex     sync.Mutex
	state     string
	seq       int
	born      int64
	run       int
	coldUntil time.Time
	lastEntry string
	http      *http.Server
	stopBeats context.CancelFunc
	running   chan struct{}
	arrivals  []arrival
}

// entry is what a server says of itself in the store.
type entry struct {
	Service  string `json:"service"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Version  string `json:"version,omitempty"`
	Slots    int    `json:"slots"`
	State    string `json:"state"`
	ColdLeft string `json:"coldLeft"`
	Seq      int    `json:"seq"`
	Born     int64  `json:"born"`
}

// start starts the server, or starts it again under its id.
func (s *server) start() error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.mutex.Lock()
	s.run++
	s.state, s.seq, s.born, s.lastEntry = "ready", 0, s.clock().UnixMilli(), ""
	s.running = make(chan struct{}, s.slots)
	s.http = &http.Server{Handler: s.handler(s.run, s.running)}
	s.stopBeats = cancel
	h := s.http
	s.mutex.Unlock()
	go func() { _ = h.Serve(l) }()
	s.beat()
	go s.beats(ctx)
	return nil
}

// crash ends the server at once, without a word. All its connections are closed.
func (s *server) crash() {
	s.mutex.Lock()
	h, stop := s.http, s.stopBeats
	s.http = nil
	s.mutex.Unlock()
	if h != nil {
		stop()
		_ = h.Close()
	}
}

func (s *server) beats(ctx context.Context) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.beat()
		}
	}
}

// setState changes the state and reports it. It returns when the store has accepted that.
func (s *server) setState(state string) time.Time {
	s.mutex.Lock()
	s.state = state
	s.mutex.Unlock()
	return s.beat()
}

// beat writes the entry. The entry in the store changes only if more than seq changes.
func (s *server) beat() time.Time {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.seq++
	cold := max(0, time.Until(s.coldUntil))
	e := entry{
		Service: s.service, Address: s.address, Zone: s.zone, Version: "v1", Slots: s.slots, State: s.state,
		ColdLeft: strconv.Itoa(int(cold.Milliseconds())) + "ms", Seq: s.seq, Born: s.born,
	}
	key := "servers/" + s.id
	if held, known := s.world.store.value(key); known {
		var before entry
		if json.Unmarshal(held, &before) == nil {
			before.Seq = e.Seq
			if before == e {
				return time.Now()
			}
		}
	}
	value, _ := json.Marshal(e)
	at := s.world.store.put(key, value)
	s.world.note("store accepts %s %s", key, value)
	return at
}

func (s *server) handler(run int, running chan struct{}) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Basillift-Instance-Id", s.id)
		if r.URL.Path == healthPath {
			s.serveHealth(w)
			return
		}
		id := r.Header.Get("X-Basillift-Request-Id")
		if id != "" {
			w.Header().Set("X-Basillift-Request-Id", id)
		}
		if wanted := r.Header.Get("X-Basillift-Target-Instance"); wanted != "" && wanted != s.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if id == "" {
			w.Header().Set("X-Basillift-Not-Executed", "1")
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		deadline := time.Minute
		if millis, err := strconv.ParseFloat(r.Header.Get("X-Basillift-Deadline-Ms"), 64); err == nil {
			deadline = time.Duration(millis * float64(time.Millisecond))
		}
		ctx, cancel := context.WithTimeout(r.Context(), deadline)
		defer cancel()
		select {
		case running <- struct{}{}:
			defer func() { <-running }()
		case <-ctx.Done():
			w.Header().Set("X-Basillift-Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		s.mutex.Lock()
		s.arrivals = append(s.arrivals, arrival{time.Now(), s.id, id, r.Header.Get("X-Basillift-Caller-Service"), r.Method, r.URL.Path, run})
		s.mutex.Unlock()
		s.world.note("server %s runs %s %s %s", s.id, id, r.Method, r.URL.Path)
		_, _ = io.Copy(io.Discard, r.Body)
		work := time.Duration((0.7 + 0.6*rand.Float64()) * float64(s.work))
		select {
		case <-time.After(work):
		case <-ctx.Done():
			w.WriteHeader(http.StatusGatewayTimeout)
			return
		}
		w.Header().Set("X-Basillift-Server-Seal", "seal-"+s.id+"-"+id)
		_, _ = fmt.Fprintf(w, "%s ran %s\n", s.id, id)
	})
}

// serveHealth answers a health check.
func (s *server) serveHealth(w http.ResponseWriter) {
	s.mutex.Lock()
	state, cold := s.state, time.Until(s.coldUntil)
	s.mutex.Unlock()
	if cold > 0 {
		w.Header().Set("X-Basillift-Cold-Ms", strconv.Itoa(int(cold.Milliseconds())))
	}
	if state != "ready" {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// allArrivals returns the requests that the server has begun to run.
func (s *server) allArrivals() []arrival {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]arrival(nil), s.arrivals...)
}
