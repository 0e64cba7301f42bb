package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"basillift.dev/platform"
)

// storeStandIn serves one fixed listing in the format of the platform's metadata store. It has no changes.
type storeStandIn struct{ listing []byte }

// storeItem is an entry of a listing. Its value is encoded in base64.
type storeItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int    `json:"revision"`
}

func startStore(t *testing.T, values map[string]string) string {
	t.Helper()
	var items []storeItem
	for key, value := range values {
		items = append(items, storeItem{Key: key, Value: []byte(value), Revision: 1})
	}
	listing, err := json.Marshal(map[string]any{"items": items, "hasMore": false, "asOf": 1})
	is.New(t).NoErr(err)
	server := httptest.NewServer(&storeStandIn{listing: listing})
	t.Cleanup(server.Close)
	return server.URL
}

// ServeHTTP implements http.Handler.
func (s *storeStandIn) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !strings.HasSuffix(r.URL.Path, "watch") {
		_, _ = w.Write(s.listing)
		return
	}
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	select {
	case <-time.After(time.Duration(wait) * time.Millisecond):
	case <-r.Context().Done():
	}
	_, _ = io.WriteString(w, `{"events":[],"asOf":1}`)
}

// startTarget serves a target that reads each body and answers with its size. It returns the address.
func startTarget(t *testing.T, ip string) string {
	t.Helper()
	l, err := net.Listen("tcp", ip+":0")
	is.New(t).NoErr(err)
	names := platform.HeaderNames()
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, err := io.Copy(io.Discard, r.Body)
		if err != nil {
			return
		}
		w.Header().Set(names.RequestID(), r.Header.Get(names.RequestID()))
		w.Header().Set(names.Seal(), "s")
		_, _ = fmt.Fprintf(w, "%d", n)
	})}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}
