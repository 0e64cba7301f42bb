package blfleet

import "time"

// maxEntryLag is how old the content of an entry may be when it arrives. An entry of the same warm-up whose end seems later than
// that of the one before was on its way for longer.
const maxEntryLag = time.Second

// nextWarmupEnd returns the end of the warm-up after a newer entry. For one warm-up, the earliest end holds that an entry names,
// since entries are late. In the same run, a further warm-up has begun if more of it is left than before, or if it ends clearly
// later. Addresses: a target that becomes cold again in its run would be sent too many requests.
func (t *Target) nextWarmupEnd(newer *Target) time.Time {
	before, after := t.endpoint, newer.endpoint
	if !before.StartedAt().Equal(after.StartedAt()) {
		return newer.warmupEnd
	}
	began := after.Sequence() > before.Sequence() && after.WarmupRemaining() > 0 && after.WarmupRemaining() >= before.WarmupRemaining()
	if began || newer.warmupEnd.After(t.warmupEnd.Add(maxEntryLag)) && after.WarmupRemaining() > 0 || newer.warmupEnd.Before(t.warmupEnd) {
		return newer.warmupEnd
	}
	return t.warmupEnd
}
