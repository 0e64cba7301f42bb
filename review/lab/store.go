package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// answerDelay is how long the store takes for an answer.
const answerDelay = 4 * time.Millisecond

// item is a key of the store.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created,omitempty"`
	Lease     uint64 `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// store is the platform's metadata store: range, watch and key as PROTOCOL.md tells them.
type store struct {
	world *world
	ip    string
	http  *http.Server

	mutex    sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	changed  chan struct{}
}

func newStore(w *world, ip string) (*store, error) {
	s := &store{world: w, ip: ip, revision: 400, items: map[string]item{}, changed: make(chan struct{})}
	l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, portStore))
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/kv-key", s.key)
	mux.HandleFunc("/v1/kv-range", s.list)
	mux.HandleFunc("/v1/kv-watch", s.watch)
	s.http = &http.Server{Handler: mux}
	go func() { _ = s.http.Serve(l) }()
	return s, nil
}

func (s *store) close() { _ = s.http.Close() }

// put writes a key; a nil value removes it. It returns when the write is acknowledged.
func (s *store) put(key string, value []byte) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	it := item{Key: key, Value: value, Revision: s.revision, Created: s.revision}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	if value == nil {
		it.Tombstone, it.Created = true, 0
		delete(s.items, key)
	} else {
		s.items[key] = it
	}
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
	s.world.logf("store: %s at revision %d: %s", key, s.revision, value)
}

func reply(w http.ResponseWriter, body any) {
	time.Sleep(answerDelay)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) key(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	it, ok := s.items[r.URL.Query().Get("key")]
	s.mutex.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, it)
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mutex.Lock()
	found := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, it)
		}
	}
	asOf := s.revision
	s.mutex.Unlock()
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	reply(w, map[string]any{"items": found, "hasMore": false, "asOf": asOf})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for waiting := true; ; {
		s.mutex.Lock()
		events := []item{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, query.Get("prefix")) {
				events = append(events, it)
			}
		}
		asOf, changed := s.revision, s.changed
		s.mutex.Unlock()
		if len(events) > 0 || !waiting {
			reply(w, map[string]any{"events": events, "asOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

// route is a route of the operator's configuration.
type route struct {
	name, host, prefix, kind, timeout, goal string
	priority, attempts                      int
	service                                 string
}

// limits of the operator's configuration.
type limits struct{ header, body int }

var usualLimits = limits{header: 16384, body: 67108864}

// configure writes a configuration as the operator does.
func (s *store) configure(version int, routes []route, services []string, l limits) {
	rows := [][]any{}
	for _, r := range routes {
		rows = append(rows, []any{r.name, r.host, r.prefix, r.kind, r.timeout, r.goal, r.priority, nil, r.attempts, r.service})
	}
	serviceRows := [][]any{}
	for _, name := range services {
		serviceRows = append(serviceRows, []any{name, "/healthz", 130, "h1", false})
	}
	value, _ := json.Marshal(map[string]any{
		"version":  fmt.Sprintf("%08x", version),
		"routes":   map[string]any{"columns": []string{"name", "host", "prefix", "kind", "timeout", "goal", "priority", "split", "attempts", "service"}, "rows": rows},
		"services": map[string]any{"columns": []string{"name", "healthPath", "maxConns", "protocol", "tls"}, "rows": serviceRows},
		"limits":   map[string]any{"maxHeaderBytes": l.header, "maxBodyBytes": l.body, "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
	})
	s.put("op/config", value)
}
