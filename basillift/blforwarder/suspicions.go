package blforwarder

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"math/rand"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"basillift.dev/basillift"
	"basillift.dev/basillift/bllog"
	"basillift.dev/basillift/blquarantine"
)

const (
	// headerSuspicion carries the suspicion against a request to the target's daemon, and back in the answer.
	headerSuspicion = "Basillift-Suspicion"
	// headerSuspicions marks a message about suspicions against any requests. Its value is the digest of all quarantines that
	// the sender knows.
	headerSuspicions = "Basillift-Suspicions"
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
	// maxSuspicionAge is the highest age that is accepted. Suspicions expire sooner.
	maxSuspicionAge = time.Hour
	// maxDeliveries is how many daemons suspicions are sent to at the same time.
	maxDeliveries = 128
	// maxSuspicionsSent bounds the suspicions of one message.
	maxSuspicionsSent = 256
)

var errMalformedSuspicions = eris.New("malformed suspicions")

// formatSuspicion encodes a suspicion for headerSuspicion: the crashes, and the age in microseconds.
func formatSuspicion(now time.Time, s blquarantine.Suspicion) string {
	return strconv.Itoa(s.Crashes()) + " " + formatMicroseconds(now.Sub(s.ChangedAt()))
}

// parseSuspicion is the inverse of formatSuspicion for the request with a fingerprint.
func parseSuspicion(now time.Time, text string, fingerprint func() blquarantine.Fingerprint) (s blquarantine.Suspicion, valid bool) {
	crashesText, ageText, _ := strings.Cut(text, " ")
	crashes, err := strconv.Atoi(crashesText)
	if err != nil || crashes < 1 {
		return s, false
	}
	age, err := strconv.ParseInt(ageText, 10, 64)
	if err != nil || age < 0 || age > maxSuspicionAge.Microseconds() {
		return s, false
	}
	return blquarantine.NewSuspicion(fingerprint(), crashes, now.Add(-time.Duration(age)*time.Microsecond)), true
}

// suspicionMessage is the body of a message about suspicions, and of the answer to it.
type suspicionMessage struct {
	Suspicions []suspicionRecord `json:"suspicions"`
}

// suspicionRecord is one suspicion. Clocks of daemons differ, so it has the age of the last change in ms.
type suspicionRecord struct {
	Fingerprint string `json:"fingerprint"`
	Crashes     int    `json:"crashes"`
	AgeMillis   int64  `json:"age"`
}

// formatSuspicions encodes suspicions, those with the most crashes and the latest ones first.
func formatSuspicions(now time.Time, all []blquarantine.Suspicion) ([]byte, error) {
	all = slices.Clone(all)
	slices.SortFunc(all, func(a, b blquarantine.Suspicion) int {
		return cmp.Or(cmp.Compare(b.Crashes(), a.Crashes()), b.ChangedAt().Compare(a.ChangedAt()))
	})
	var m suspicionMessage
	for _, s := range all[:min(len(all), maxSuspicionsSent)] {
		m.Suspicions = append(m.Suspicions, suspicionRecord{
			Fingerprint: formatFingerprint(s.Fingerprint()), Crashes: s.Crashes(), AgeMillis: now.Sub(s.ChangedAt()).Milliseconds(),
		})
	}
	body, err := json.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode suspicions: %w", err)
	}
	return body, nil
}

// parseSuspicions is the inverse of formatSuspicions. An empty body has none.
func parseSuspicions(now time.Time, body []byte) ([]blquarantine.Suspicion, error) {
	if len(body) == 0 {
		return nil, nil
	}
	var m suspicionMessage
	if err := json.Unmarshal(body, &m); err != nil {
		return nil, fmt.Errorf("decode suspicions: %w: %w", errMalformedSuspicions, err)
	}
	all := make([]blquarantine.Suspicion, 0, len(m.Suspicions))
	for _, record := range m.Suspicions {
		fp, err := strconv.ParseUint(record.Fingerprint, 16, 64)
		if err != nil || record.Crashes < 0 || record.AgeMillis < 0 || record.AgeMillis > maxSuspicionAge.Milliseconds() {
			return nil, fmt.Errorf("suspicion of %q: %w", record.Fingerprint, errMalformedSuspicions)
		}
		changedAt := now.Add(-time.Duration(record.AgeMillis) * time.Millisecond)
		all = append(all, blquarantine.NewSuspicion(blquarantine.Fingerprint(fp), record.Crashes, changedAt))
	}
	return all, nil
}

func formatFingerprint(fp blquarantine.Fingerprint) string { return strconv.FormatUint(uint64(fp), 16) }

// digestOf returns a hash of suspicions that are ordered by fingerprint. Their times are not part of it, since they differ
// between daemons.
func digestOf(all []blquarantine.Suspicion) string {
	var d xxhash.Digest
	d.Reset()
	for _, s := range all {
		_, _ = d.WriteString(formatFingerprint(s.Fingerprint()) + " " + strconv.Itoa(s.Crashes()) + "\n")
	}
	return strconv.FormatUint(d.Sum64(), 16)
}

// answerSuspicions answers a message of another daemon. The answer holds all quarantines known here if the digests differ.
func (t *targetSide) answerSuspicions(now time.Time, r *request, digest string) *answer {
	f := t.forwarder
	remote, err := parseSuspicions(now, r.body)
	if err != nil || r.stream != nil {
		return rejectedAnswer(http.StatusBadRequest, basillift.ReasonBadRequest)
	}
	f.adoptSuspicions(now, remote...)
	a := &answer{status: http.StatusOK, outcome: basillift.OutcomeDone}
	all := f.quarantine.quarantines(now)
	if digestOf(all) == digest {
		return a
	}
	if a.body, err = formatSuspicions(now, all); err != nil {
		return rejectedAnswer(http.StatusInternalServerError, basillift.ReasonNone)
	}
	return a
}

// adoptSuspicions adds suspicions that another daemon has sent.
func (f *Forwarder) adoptSuspicions(now time.Time, remote ...blquarantine.Suspicion) {
	f.logQuarantined(f.quarantine.merge(now, remote...))
}

// announceSuspicions tells all daemons of suspicions that have changed here.
func (f *Forwarder) announceSuspicions(changed []blquarantine.Suspicion) {
	if len(changed) == 0 {
		return
	}
	f.logQuarantined(changed)
	f.announcer.announce(changed)
}

func (f *Forwarder) logQuarantined(changed []blquarantine.Suspicion) {
	for _, s := range changed {
		if s.Quarantined() && f.log != nil {
			f.log.Event(bllog.RequestQuarantined()).Str("fingerprint", formatFingerprint(s.Fingerprint())).Int("crashes", s.Crashes()).Send()
		}
	}
}

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
	e := &exchange{
		pool: s.forwarder.pools.Of(address), request: &request{method: http.MethodPost, body: body}, header: []byte(header),
		deadline: now.Add(suspicionTimeout),
	}
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
