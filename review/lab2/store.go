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

// store is a stand-in for the platform's metadata store. It keeps its whole history.
type store struct {
	mutex    sync.Mutex
	revision uint64
	items    map[string]change
	history  []change
	changed  chan struct{}
	server   *http.Server
}

func newStore(address string) (*store, error) {
	s := &store{revision: 10, items: make(map[string]change), changed: make(chan struct{})}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", s.serveKey)
	mux.HandleFunc("GET /v1/kv-range", s.serveRange)
	mux.HandleFunc("GET /v1/kv-watch", s.serveWatch)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

func (s *store) close() { _ = s.server.Close() }

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

func (s *store) add(c change) {
	s.history = append(s.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
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
