package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	hostShop    = "shop.example"
	hostGallery = "gallery.example"
)

// kbsMachines adds machines like those of kbs-leather, in small: two catalogue servers, two of reservations and three of
// the gallery, in three failure domains.
func (w *world) kbsMachines() error {
	for _, each := range []struct{ zone, service string }{
		{"tbilisi-a", "catalogue"}, {"tbilisi-b", "catalogue"},
		{"tbilisi-b", "reservations"}, {"tbilisi-c", "reservations"},
		{"tbilisi-a", "gallery"}, {"tbilisi-b", "gallery"}, {"tbilisi-c", "gallery"},
	} {
		if _, err := w.addMachine(each.zone, each.service, 9); err != nil {
			return err
		}
	}
	return nil
}

var kbsServices = []string{"catalogue", "reservations", "gallery"}

func kbsRoutes() []route {
	return []route{
		{"r-browse", hostShop, "/browse/", "idempotent", "1200ms", "300ms", 2, 2, "catalogue"},
		{"r-reserve", hostShop, "/reserve/", "non_idempotent", "1500ms", "400ms", 1, 2, "reservations"},
		{"r-upload", hostGallery, "/photos/", "upload", "1500ms", "400ms", 1, 2, "gallery"},
		{"r-swatch", hostGallery, "/swatches/", "idempotent", "8s", "6s", 1, 2, "gallery"},
	}
}

func (w *world) start() error {
	if err := w.kbsMachines(); err != nil {
		return err
	}
	w.store.configure(7, kbsRoutes(), kbsServices, usualLimits)
	return w.startAll()
}

func (w *world) of(service string) []*machine {
	var all []*machine
	for _, m := range w.machines {
		if m.service == service {
			all = append(all, m)
		}
	}
	return all
}

// caseExpect: clients send a further idempotent request, with Expect: 100-continue, while they receive the answer to the
// first one.
func caseExpect(w *world) (result, error) {
	if err := w.start(); err != nil {
		return result{}, err
	}
	for _, m := range w.of("gallery") {
		m.server.setPlan("/swatches/large", plan{work: 36 * time.Millisecond, answer: 4 << 20})
		m.server.setPlan("/swatches/notes", plan{work: 36 * time.Millisecond, answer: 400})
	}
	const clients = 10
	mixed, failed := 0, 0
	for i := range clients {
		c, err := w.machines[i%len(w.machines)].connect()
		if err != nil {
			return result{}, err
		}
		first := newCall(http.MethodGet, hostGallery, "/swatches/large", 6*time.Second)
		second := newCall(http.MethodPut, hostGallery, "/swatches/notes", 6*time.Second).withBody(200)
		if w.trouble {
			second.with("Expect: 100-continue")
		}
		if err = c.send(first); err != nil {
			return result{}, err
		}
		// The answer has begun when its first bytes are there. The client reads on after the second request is sent.
		if _, err = c.reader.Peek(1); err != nil {
			return result{}, err
		}
		if err = c.send(second); err != nil {
			return result{}, err
		}
		time.Sleep(50 * time.Millisecond)
		a := c.receive(first, 6*time.Second)
		switch {
		case a.status != http.StatusOK || a.err != nil:
			failed++
		case !a.genuine(first):
			mixed++
			at := firstDifference(a.body, answerBody(first.id, 4<<20))
			w.logf("client on %s: id %s: the body is not the server's; at byte %d it holds %q", c.on.name, first.id, at, a.body[at:min(len(a.body), at+48)])
		default:
			b := c.receive(second, 6*time.Second)
			if b.status != http.StatusOK || !b.genuine(second) {
				failed++
			}
		}
		c.close()
	}
	return result{mixed > 0, fmt.Sprintf("MIXED: of %d clients %d got a 200 with the server's seal and a body that isn't the server's, %d got no whole answers", clients, mixed, failed)}, nil
}

func firstDifference(a, b []byte) int {
	for i := range min(len(a), len(b)) {
		if a[i] != b[i] {
			return i
		}
	}
	return min(len(a), len(b))
}

// caseGone: three in ten clients leave while the server works on their idempotent request with a large body.
func caseGone(w *world) (result, error) {
	if err := w.start(); err != nil {
		return result{}, err
	}
	const (
		clients, leaving = 20, 6
		bodyBytes        = 1 << 20
		work             = 2 * time.Second
		leaveAfter       = 800 * time.Millisecond
		allowed          = 500 * time.Millisecond
	)
	for _, m := range w.of("gallery") {
		m.server.setPlan("/swatches/match", plan{work: work, answer: 400})
		m.server.setPlan("/swatches/warm", plan{work: work / 2, answer: 400})
	}
	// One request for each server first, so that the daemons know how long the route takes.
	for _, m := range w.of("gallery") {
		for range 3 {
			if a := m.once(newCall(http.MethodPut, hostGallery, "/swatches/warm", 8*time.Second).withBody(100)); a.status != http.StatusOK {
				return result{}, fmt.Errorf("first request: status %d, %v", a.status, a.err)
			}
		}
	}
	calls := make([]*call, clients)
	left := make([]time.Time, clients)
	var answered sync.Map
	var group sync.WaitGroup
	for i := range clients {
		calls[i] = newCall(http.MethodPut, hostGallery, "/swatches/match", 8*time.Second).withBody(bodyBytes)
		m := w.of("catalogue")[i%2]
		group.Go(func() {
			c, err := m.connect()
			if err != nil {
				return
			}
			defer c.close()
			if c.send(calls[i]) != nil {
				return
			}
			if w.trouble && i < leaving {
				time.Sleep(leaveAfter)
				c.close()
				left[i] = time.Now()
				w.logf("client on %s: leaves, id %s", m.name, calls[i].id)
				return
			}
			if a := c.receive(calls[i], 10*time.Second); a.status == http.StatusOK && a.genuine(calls[i]) {
				answered.Store(i, true)
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
	group.Wait()
	time.Sleep(work)
	lasting, working, served := 0, 0, 0
	for i, k := range calls {
		if _, ok := answered.Load(i); ok {
			served++
		}
		if left[i].IsZero() {
			continue
		}
		for _, e := range w.executions(k.id) {
			if e.began.Add(work).Before(left[i].Add(allowed)) {
				continue
			}
			lasting++
			if e.ended.After(left[i].Add(allowed)) {
				working++
				w.logf("id %s: server %s worked until %.3f s after the client had left", k.id, e.server, e.ended.Sub(left[i]).Seconds())
			}
		}
	}
	text := fmt.Sprintf("GONE: %d of %d clients left; of %d requests of theirs that would have lasted so long, servers worked on %d half a second later; %d of the others were served", leaving, clients, lasting, working, served)
	if !w.trouble {
		text = fmt.Sprintf("GONE: no client left; %d of %d were served", served, clients)
		if served < clients {
			return result{}, fmt.Errorf("%s", text)
		}
	}
	return result{working*4 > lasting, text}, nil
}

// caseLimits: the operator raises maxHeaderBytes. Clients with a kept connection send a header that the new
// configuration allows.
func caseLimits(w *world) (result, error) {
	if err := w.kbsMachines(); err != nil {
		return result{}, err
	}
	raised := limits{header: 32768, body: usualLimits.body}
	before := raised
	if w.trouble {
		before = usualLimits
	}
	w.store.configure(7, kbsRoutes(), kbsServices, before)
	if err := w.startAll(); err != nil {
		return result{}, err
	}
	const clients = 42
	cookie := "Cookie: session=" + strings.Repeat("c", 17000)
	var all []*client
	for i := range clients {
		c, err := w.machines[i%len(w.machines)].connect()
		if err != nil {
			return result{}, err
		}
		defer c.close()
		all = append(all, c)
		k := newCall(http.MethodGet, hostShop, "/browse/1", 1200*time.Millisecond)
		if a := c.do(k); a.status != http.StatusOK {
			return result{}, fmt.Errorf("request before the change: status %d, %v", a.status, a.err)
		}
	}
	if w.trouble {
		w.store.configure(9, kbsRoutes(), kbsServices, raised)
	}
	// Twice the bound, so that the new version alone is in force. Connections stay idle for less than four fifths of 15 s.
	time.Sleep(2 * boundApply)
	denied, served, other := 0, 0, 0
	for _, c := range all {
		a := c.do(newCall(http.MethodGet, hostShop, "/browse/1", 1200*time.Millisecond).with(cookie))
		switch {
		case a.status >= 300 && a.status < 500 && a.status != 408 && a.status != 421 && a.status != 429:
			denied++
		case a.status == http.StatusOK:
			served++
		default:
			other++
		}
	}
	allowed := 5 + 2*clients/500
	return result{denied > allowed, fmt.Sprintf("DENIED: of %d proper requests with a header of 17 KB, %d were ended with a 4xx of the daemons' own (allowed are %d), %d were served, %d ended otherwise", clients, denied, allowed, served, other)}, nil
}

// caseShadow: another writer leaves entries in the store that name a service that does not exist, at addresses of
// servers.
func caseShadow(w *world) (result, error) {
	if err := w.start(); err != nil {
		return result{}, err
	}
	later := route{"r-later", hostGallery, "/prints/", "idempotent", "1200ms", "300ms", 2, 2, "gallery"}
	w.store.configure(9, append(kbsRoutes(), later), kbsServices, usualLimits)
	time.Sleep(boundApply)
	if w.trouble {
		for i, m := range w.of("gallery") {
			value := fmt.Sprintf(`{"service":"old-gallery","address":"%s:%d","zone":"%s","version":"v0","slots":9,"state":"ready","coldLeft":"0ms","seq":3}`, m.ip, portApp, m.zone)
			w.store.put(fmt.Sprintf("servers/foreign-%d", i+1), []byte(value))
		}
	}
	time.Sleep(2*boundContact + boundApply)
	const requests = 60
	first, onLater := 0, 0
	for i := range requests {
		m := w.machines[i%len(w.machines)]
		if a := m.once(newCall(http.MethodGet, hostShop, "/browse/1", 1200*time.Millisecond)); a.status == http.StatusOK {
			first++
		}
		if a := m.once(newCall(http.MethodGet, hostGallery, "/prints/1", 1200*time.Millisecond)); a.status == http.StatusOK {
			onLater++
		}
	}
	return result{onLater*4 < first, fmt.Sprintf("CONFIG: in steady state %d of %d requests on the first route were served, and %d of %d on the route that was added later", first, requests, onLater, requests)}, nil
}

// caseConnection: a client sends a Connection header that names the header of the caller's service.
func caseConnection(w *world) (result, error) {
	if err := w.start(); err != nil {
		return result{}, err
	}
	const requests = 40
	ran, wrong := 0, 0
	for i := range requests {
		m := w.machines[i%len(w.machines)]
		path := map[string]string{"catalogue": "/browse/1", "gallery": "/swatches/1", "reservations": "/reserve/1"}[m.service]
		host := hostShop
		if m.service == "gallery" {
			host = hostGallery
		}
		method := http.MethodGet
		if m.service == "reservations" {
			method = http.MethodPost
		}
		k := newCall(method, host, path, 1200*time.Millisecond).with(headerCaller + ": gallery")
		if w.trouble {
			k.with("Connection: keep-alive, " + headerCaller)
		}
		m.once(k)
		for _, e := range w.executions(k.id) {
			ran++
			if e.caller != m.service {
				wrong++
				w.logf("id %s: server %s ran it with caller service %q, it began on a machine of %q", k.id, e.server, e.caller, m.service)
			}
		}
	}
	return result{wrong > 0, fmt.Sprintf("UNASKED: of %d requests that ran, %d ran with a caller service that isn't that of the machine where they began", ran, wrong)}, nil
}
