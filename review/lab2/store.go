package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeDelay is how long the store takes for an answer, as on the sheet of the sites.
const storeDelay = 4 * time.Millisecond

// change is one change of the store: an item as it was written, or a removed key.
type change struct {
	Key       string `json:"key"`
	Value     string `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// historyTime is how long the store keeps its history.
const historyTime = 20 * time.Second

// store is a stand-in for the platform's metadata store.
type store struct {
	mutex    sync.Mutex
	revision uint64
	items    map[string]change
	history  []change
	// times are the times of the changes in history, and dropped is the revision of the last one that is no longer kept.
	times   []time.Time
	dropped uint64
	changed chan struct{}
	servers []*http.Server
	// closedTo holds the addresses of the store at which it answers nothing.
	closedTo map[string]chan struct{}
}

func newStore() *store {
	return &store{revision: 10, items: make(map[string]change), changed: make(chan struct{}), closedTo: make(map[string]chan struct{})}
}

// serve opens an address of the store. Each machine has one of its own, so that the store can turn single machines away.
func (s *store) serve(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", s.serveKey)
	mux.HandleFunc("GET /v1/kv-range", s.serveRange)
	mux.HandleFunc("GET /v1/kv-watch", s.serveWatch)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.awaitOpen(address, r)
		mux.ServeHTTP(&gate{ResponseWriter: w, store: s, address: address, request: r}, r)
	})}
	s.mutex.Lock()
	s.servers = append(s.servers, server)
	s.mutex.Unlock()
	go func() { _ = server.Serve(l) }()
	return nil
}

// gate holds back what the store writes at an address at which it answers nothing.
type gate struct {
	http.ResponseWriter
	store   *store
	address string
	request *http.Request
}

// Write implements io.Writer.
func (g *gate) Write(p []byte) (int, error) {
	g.store.awaitOpen(g.address, g.request)
	return g.ResponseWriter.Write(p)
}

// awaitOpen returns at once unless the store answers nothing at the address. Then the answer is lost: the connection is closed once
// the store answers again.
func (s *store) awaitOpen(address string, r *http.Request) {
	s.mutex.Lock()
	opened := s.closedTo[address]
	s.mutex.Unlock()
	if opened == nil {
		return
	}
	select {
	case <-opened:
	case <-r.Context().Done():
	}
	panic(http.ErrAbortHandler)
}

// setClosed makes the store answer nothing at an address, or answer again.
func (s *store) setClosed(address string, closed bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if closed {
		s.closedTo[address] = make(chan struct{})
		return
	}
	close(s.closedTo[address])
	delete(s.closedTo, address)
}

func (s *store) close() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, server := range s.servers {
		_ = server.Close()
	}
}

// put writes a key and returns when the store has accepted it.
func (s *store) put(key string, value []byte) time.Time {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	created := s.revision
	if before, known := s.items[key]; known {
		created = before.Created
	}
	c := change{Key: key, Value: base64.StdEncoding.EncodeToString(value), Revision: s.revision, Created: created}
	s.items[key] = c
	s.add(c)
	return time.Now()
}

// remove removes a key, if it exists.
func (s *store) remove(key string) time.Time {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if _, known := s.items[key]; known {
		s.revision++
		delete(s.items, key)
		s.add(change{Key: key, Revision: s.revision, Tombstone: true})
	}
	return time.Now()
}

// add adds a change to the history and drops those that are too old.
func (s *store) add(c change) {
	now := time.Now()
	s.history, s.times = append(s.history, c), append(s.times, now)
	s.dropOld(now)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) dropOld(now time.Time) {
	for len(s.times) > 0 && now.Sub(s.times[0]) > historyTime {
		s.dropped = s.history[0].Revision
		s.history, s.times = s.history[1:], s.times[1:]
	}
}

// value returns the value of a key.
func (s *store) value(key string) ([]byte, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	c, known := s.items[key]
	if !known {
		return nil, false
	}
	value, err := base64.StdEncoding.DecodeString(c.Value)
	return value, err == nil
}

func writeJSON(w http.ResponseWriter, v any) {
	time.Sleep(storeDelay)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	c, known := s.items[r.URL.Query().Get("key")]
	asOf := s.revision
	s.mutex.Unlock()
	if !known {
		http.NotFound(w, r)
		return
	}
	writeJSON(w, map[string]any{"key": c.Key, "value": c.Value, "revision": c.Revision, "created": c.Created, "lease": 0, "asOf": asOf})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mutex.Lock()
	items := []change{}
	for key, c := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, c)
		}
	}
	asOf := s.revision
	s.mutex.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	writeJSON(w, map[string]any{"items": items, "hasMore": false, "asOf": asOf})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	end := time.After(time.Duration(min(wait, 30_000)) * time.Millisecond)
	for {
		s.mutex.Lock()
		s.dropOld(time.Now())
		if after < s.dropped {
			s.mutex.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []change{}
		for _, c := range s.history {
			if c.Revision > after && strings.HasPrefix(c.Key, q.Get("prefix")) {
				events = append(events, c)
			}
		}
		asOf, changed := s.revision, s.changed
		s.mutex.Unlock()
		if len(events) > 0 {
			writeJSON(w, map[string]any{"events": events, "asOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-end:
			writeJSON(w, map[string]any{"events": events, "asOf": asOf})
			return
		}
	}
}
