package blforwarder

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
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
	// maxSuspicionAge is the highest age that is accepted. Suspicions expire sooner.
	maxSuspicionAge = time.Hour
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
			Fingerprint: s.Fingerprint().String(), Crashes: s.Crashes(), AgeMillis: now.Sub(s.ChangedAt()).Milliseconds(),
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

// digestOf returns a hash of suspicions that are ordered by fingerprint. Their times are not part of it, since they differ
// between daemons.
func digestOf(all []blquarantine.Suspicion) string {
	var d xxhash.Digest
	d.Reset()
	for _, s := range all {
		_, _ = d.WriteString(s.Fingerprint().String() + " " + strconv.Itoa(s.Crashes()) + "\n")
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
			f.log.Event(bllog.RequestQuarantined()).Str("fingerprint", s.Fingerprint().String()).Int("crashes", s.Crashes()).Send()
		}
	}
}
