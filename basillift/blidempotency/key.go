package blidempotency

import (
	"encoding/hex"
	"strings"
	"time"

	"basillift.dev/basillift"
	"basillift.dev/basillift/common/blrendezvous"
)

// Key identifies one request of one customer to one service.
type Key struct {
	id      string
	hash    uint64
	created time.Time
}

// NewKey returns the key of a request with the given Idempotency-Key header. A UUIDv7
// is case-insensitive and contains its creation time; any other value is opaque.
func NewKey(customer, service, header string) Key {
	created, ok := uuidTime(header)
	if ok {
		header = strings.ToLower(header)
	}
	return Key{
		id:      customer + "\x00" + service + "\x00" + header,
		hash:    blrendezvous.Key(customer, service, header),
		created: created,
	}
}

// Created is the creation time of the key, or the zero time for an opaque key.
func (k Key) Created() time.Time { return k.created }

// Opaque reports whether the key contains no creation time.
func (k Key) Opaque() bool { return k.created.IsZero() }

// uuidTime parses the creation time of a UUIDv7 in its canonical text form (RFC 9562).
func uuidTime(text string) (time.Time, bool) {
	if len(text) != 36 || text[8] != '-' || text[13] != '-' || text[18] != '-' || text[23] != '-' {
		return time.Time{}, false
	}
	var raw [16]byte
	plain := text[:8] + text[9:13] + text[14:18] + text[19:23] + text[24:]
	if _, err := hex.Decode(raw[:], []byte(plain)); err != nil {
		return time.Time{}, false
	}
	if raw[6]>>4 != 7 || raw[8]>>6 != 2 {
		return time.Time{}, false
	}
	var ms int64
	for _, b := range raw[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms), true
}

// ownersPerKey is the number of owners of a key, and quorum is the number of grants
// that a call needs before it runs.
const (
	ownersPerKey = 3
	quorum       = 2
)

// Owners returns the 3 members that own a key, ordered by rendezvous weight. The
// members must be all known ones, alive or dead. The package comment explains what
// happens if two daemons pass different members.
func Owners(k Key, members []basillift.VMID) []basillift.VMID {
	return blrendezvous.Top(k.hash, members, ownersPerKey)
}
