package labload

import (
	"encoding/binary"
	"fmt"
	"math/rand"
	"time"
)

// NewKey returns a UUIDv7 (RFC 9562): 48 bits of Unix milliseconds, then random
// bits. The random bits come from a seeded generator, so that a run is reproducible.
func NewKey(now time.Time, random *rand.Rand) string {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:8], uint64(now.UnixMilli())<<16|uint64(random.Intn(1<<12)))
	binary.BigEndian.PutUint64(b[8:], random.Uint64())
	b[6] = b[6]&0x0f | 0x70
	b[8] = b[8]&0x3f | 0x80
	return fmt.Sprintf("%x-%x-%x-%x-%x", b[:4], b[4:6], b[6:8], b[8:10], b[10:])
}
