package blforwarder

import (
	"context"
	"fmt"
	"math/rand"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"basillift.dev/basillift/blquarantine"
)

const (
	// suspicionTimeout bounds the delivery of suspicions to one daemon.
	suspicionTimeout = 500 * time.Millisecond
	// suspicionRetryInterval is the pause between two deliveries to a daemon that could not be reached. A daemon counts as
	// connected 3 s after the end of a partition and has to know all suspicions by then.
	suspicionRetryInterval = 500 * time.Millisecond
	// resyncPeriod is how long a daemon that has started, or was cut off, asks others for suspicions although it knows none.
	resyncPeriod = 3 * time.Second
	// resyncPeers is how many random daemons each resync asks. Crashes that were announced while a daemon could not be
	// reached, by one that is gone now, spread in this way.
	resyncPeers = 2
	// maxDeliveries is how many daemons suspicions are sent to at the same time.
	maxDeliveries = 128
)

// suspicionAnnouncer spreads suspicions: each change goes to all daemons at once, again and again to those that cannot be
// reached. Besides, each daemon that knows quarantines compares them with those of random others, so that a daemon learns what
// it missed from any daemon.
type suspicionAnnouncer struct {
	forwarder *Forwarder
	rnd       *rand.Rand
	wake      chan struct{}
	mutex     sync.Mutex
	// undelivered holds the suspicions that daemons have not received yet, by the daemon's address.
	undelivered map[string][]blquarantine.Suspicion
	resyncUntil time.Time
}

func newSuspicionAnnouncer(f *Forwarder, rnd *rand.Rand) *suspicionAnnouncer {
	return &suspicionAnnouncer{forwarder: f, rnd: rnd, wake: make(chan struct{}, 1), undelivered: make(map[string][]blquarantine.Suspicion)}
}

// neighbors returns the addresses of all other daemons, in order.
func (s *suspicionAnnouncer) neighbors() []string {
	var addresses []string
	for _, n := range s.forwarder.fleet.Neighbors(s.forwarder.settings.domain) {
		if n.Address() != s.forwarder.settings.meshAddress {
			addresses = append(addresses, n.Address())
		}
	}
	slices.Sort(addresses)
	return addresses
}

// announce sends suspicions to all other daemons soon.
func (s *suspicionAnnouncer) announce(changed []blquarantine.Suspicion) {
	addresses := s.neighbors()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, address := range addresses {
		s.keepUndelivered(address, changed)
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// keepUndelivered must be called with the mutex held.
func (s *suspicionAnnouncer) keepUndelivered(address string, changed []blquarantine.Suspicion) {
	all := append(slices.Clone(s.undelivered[address]), changed...)
	s.undelivered[address] = all[max(0, len(all)-maxSuspicionsSent):]
}

// resync makes the daemon ask others for suspicions for some time.
func (s *suspicionAnnouncer) resync(now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.resyncUntil = now.Add(resyncPeriod)
}

// loop delivers suspicions until ctx ends.
func (s *suspicionAnnouncer) loop(ctx context.Context) {
	ticker := time.NewTicker(suspicionRetryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
			s.deliver(ctx, s.takeUndelivered(), nil)
		case now := <-ticker.C:
			s.deliver(ctx, s.takeUndelivered(), s.resyncTargets(now))
		}
	}
}

// takeUndelivered removes and returns the suspicions that daemons have not received. Daemons that are gone receive none.
func (s *suspicionAnnouncer) takeUndelivered() map[string][]blquarantine.Suspicion {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.undelivered) == 0 {
		return nil
	}
	taken := make(map[string][]blquarantine.Suspicion, len(s.undelivered))
	for _, address := range s.neighbors() {
		if undelivered, ok := s.undelivered[address]; ok {
			taken[address] = undelivered
		}
	}
	clear(s.undelivered)
	return taken
}

// resyncTargets returns the daemons to compare suspicions with now.
func (s *suspicionAnnouncer) resyncTargets(now time.Time) []string {
	s.mutex.Lock()
	asks := now.Before(s.resyncUntil)
	s.mutex.Unlock()
	if !asks && len(s.forwarder.quarantine.quarantines(now)) == 0 {
		return nil
	}
	addresses := s.neighbors()
	s.rnd.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(len(addresses), resyncPeers)]
}

// deliver sends suspicions to daemons and compares quarantines with others, up to maxDeliveries at the same time. It returns
// when all deliveries have ended.
func (s *suspicionAnnouncer) deliver(ctx context.Context, undelivered map[string][]blquarantine.Suspicion, resyncTargets []string) {
	var deliveries sync.WaitGroup
	running := make(chan struct{}, maxDeliveries)
	start := func(delivery func()) {
		running <- struct{}{}
		deliveries.Go(func() {
			delivery()
			<-running
		})
	}
	for _, address := range resyncTargets {
		// After a failure the next resync compares with other daemons.
		start(func() { _ = s.send(ctx, address, nil) })
	}
	for address, changed := range undelivered {
		start(func() {
			if err := s.send(ctx, address, changed); err != nil {
				s.returnUndelivered(address, changed)
			}
		})
	}
	deliveries.Wait()
}

// returnUndelivered keeps suspicions for the next delivery to a daemon.
func (s *suspicionAnnouncer) returnUndelivered(address string, changed []blquarantine.Suspicion) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	newer := s.undelivered[address]
	s.undelivered[address] = nil
	s.keepUndelivered(address, append(slices.Clone(changed), newer...))
}

// send sends suspicions to a daemon and adopts those of its answer. If the daemon lacks quarantines that are known here, they
// are sent soon.
func (s *suspicionAnnouncer) send(ctx context.Context, address string, changed []blquarantine.Suspicion) error {
	now := time.Now()
	known := s.forwarder.quarantine.quarantines(now)
	body, err := formatSuspicions(now, changed)
	if err != nil {
		return err
	}
	header := "POST / HTTP/1.1\r\nHost: " + address + "\r\n" + headerSuspicions + ": " + digestOf(known) + "\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n"
	e := s.forwarder.newExchange(address, &request{method: http.MethodPost, body: body}, []byte(header), now.Add(suspicionTimeout))
	received, err := e.run(ctx, now)
	if err != nil {
		return fmt.Errorf("send suspicions to daemon %s: %w", address, err)
	}
	response, err := received.readAll()
	if err != nil {
		return fmt.Errorf("read suspicions of daemon %s: %w", address, err)
	}
	if received.status != http.StatusOK || len(response) == 0 {
		return nil
	}
	now = time.Now()
	remote, err := parseSuspicions(now, response)
	if err != nil {
		return fmt.Errorf("answer of daemon %s: %w", address, err)
	}
	s.forwarder.adoptSuspicions(now, remote...)
	s.keepMissing(address, known, remote)
	return nil
}

// keepMissing keeps for a daemon the quarantines that it lacks.
func (s *suspicionAnnouncer) keepMissing(address string, known, remote []blquarantine.Suspicion) {
	crashes := make(map[blquarantine.Fingerprint]int, len(remote))
	for _, each := range remote {
		crashes[each.Fingerprint()] = each.Crashes()
	}
	missing := slices.DeleteFunc(slices.Clone(known), func(each blquarantine.Suspicion) bool {
		remoteCrashes, present := crashes[each.Fingerprint()]
		return present && remoteCrashes >= each.Crashes()
	})
	if len(missing) == 0 || len(remote) >= maxSuspicionsSent {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.keepUndelivered(address, missing)
}
