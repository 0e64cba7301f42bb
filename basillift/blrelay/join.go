package blrelay

import (
	"math/rand"
	"time"

	"basillift.dev/basillift"
)

const (
	// minJoinPeers is the number of peers holding a version that must answer before a
	// version from the platform is adopted. The platform may return an older version than
	// the one that the mesh holds.
	minJoinPeers = 2
	// joinTimeout ends the wait for peers, so that a daemon without peers starts too.
	joinTimeout = 3 * time.Second
	// joinMinWait is the minimum wait when all known members answered that they hold no
	// version. Daemons that restart at the same time know few other members at first.
	joinMinWait = time.Second
)

// Join tracks the start of a daemon until it may serve requests. The zero value is not usable.
type Join struct {
	started time.Time
	answers map[basillift.VMID]basillift.Version
	members int
	ready   bool
}

// NewJoin returns the state of a daemon that started at the given time and has no answers.
func NewJoin(now time.Time) *Join {
	return &Join{started: now, answers: map[basillift.VMID]basillift.Version{}}
}

// RecordAnswer records the version that a peer reports to hold.
func (j *Join) RecordAnswer(peer basillift.VMID, v basillift.Version) {
	if !j.ready {
		j.answers[peer] = v
	}
}

// RemoveAnswer removes the answer of a peer that is no longer reachable.
func (j *Join) RemoveAnswer(peer basillift.VMID) { delete(j.answers, peer) }

// SetMemberCount sets the number of other members known to be alive.
func (j *Join) SetMemberCount(members int) { j.members = members }

// PeersAnswered reports whether enough peers answered or the wait for them has timed out. Peers
// that hold no version only count when all known members answered. They may be starting
// too, while other members that did not answer hold a newer version than the platform.
func (j *Join) PeersAnswered(now time.Time) bool {
	if j.ready || now.Sub(j.started) >= joinTimeout {
		return true
	}
	holding := 0
	for _, v := range j.answers {
		if !v.IsZero() {
			holding++
		}
	}
	if holding >= minJoinPeers {
		return true
	}
	return len(j.answers) >= max(j.members, minJoinPeers) && now.Sub(j.started) >= joinMinWait
}

// MayAdoptFromPlatform reports whether enough peers answered and no reachable one holds a
// newer version than v, which the platform returned.
func (j *Join) MayAdoptFromPlatform(now time.Time, v basillift.Version) bool {
	return j.ready || j.PeersAnswered(now) && v.Compare(j.newestAnswer()) >= 0
}

// Ready reports whether the daemon may serve requests, that is, whether it holds a version
// that is not older than that of any reachable peer. Once true, it stays true.
func (j *Join) Ready(now time.Time, held basillift.Version) bool {
	if j.ready {
		return true
	}
	if held.IsZero() || !j.MayAdoptFromPlatform(now, held) {
		return false
	}
	j.ready = true
	j.answers = nil
	return true
}

func (j *Join) newestAnswer() basillift.Version {
	var newest basillift.Version
	for _, v := range j.answers {
		newest = newer(newest, v)
	}
	return newest
}

const (
	// maxTransfers is the maximum number of full transfers that a daemon serves concurrently.
	maxTransfers = 4
	// transferRetryDelay is the minimum delay before a refused requester retries. Random
	// jitter of up to the same length is added.
	transferRetryDelay = 100 * time.Millisecond
)

// Transfers limits the full transfers that a daemon serves concurrently. It is not safe for
// concurrent use.
type Transfers struct {
	running int
	random  *rand.Rand
}

// NewTransfers returns a limiter with no running transfers; random is the source of the jitter.
func NewTransfers(random *rand.Rand) *Transfers { return &Transfers{random: random} }

// Begin starts a transfer. At the limit it returns false and the delay after which the
// requester may retry.
func (t *Transfers) Begin() (time.Duration, bool) {
	if t.running >= maxTransfers {
		return transferRetryDelay + time.Duration(t.random.Int63n(int64(transferRetryDelay))), false
	}
	t.running++
	return 0, true
}

// End ends a transfer for which Begin returned true.
func (t *Transfers) End() { t.running-- }
