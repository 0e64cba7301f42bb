package labbench

import (
	"fmt"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/klauspost/compress/zstd"
	"github.com/rotisserie/eris"

	"basillift.dev/basillift/blconfig"
	"basillift.dev/basillift/bllist"
)

var errNoSnapshot = eris.New("daemon has no snapshot")

// changeKind is a kind of change to the lists.
type changeKind string

const (
	changeOne   changeKind = "one"
	changePlan  changeKind = "plan"
	changeTenth changeKind = "tenth"
	changeBurst changeKind = "burst"
)

func changeKinds() []changeKind { return []changeKind{changeOne, changePlan, changeTenth, changeBurst} }

// editsPerBurst is the number of one-customer changes that a burst writes without waiting.
const editsPerBurst = 50

// description describes a change of this kind, for tables.
func (k changeKind) description() string {
	switch k {
	case changeOne:
		return "one customer's plan"
	case changePlan:
		return "one plan's services"
	case changeTenth:
		return "10% of the customers"
	default:
		return fmt.Sprintf("burst of %d one-customer changes", editsPerBurst)
	}
}

// makeChange changes the population and returns the writes of the change. Each element holds
// the writes of one edit.
func (p *population) makeChange(k changeKind) ([][]bllist.Entry, error) {
	edits := 1
	if k == changeBurst {
		edits = editsPerBurst
	}
	var list [][]bllist.Entry
	for range edits {
		switch k {
		case changePlan:
			p.replaceServices()
		case changeTenth:
			p.moveCustomers(len(p.customers) / 10)
		default:
			p.moveCustomers(1)
		}
		entries, err := p.changedEntries()
		if err != nil {
			return nil, err
		}
		list = append(list, entries)
	}
	return list, nil
}

// latencies is a distribution with a resolution of 1 µs. It holds up to 120 s with three
// significant digits.
type latencies struct{ histogram *hdrhistogram.Histogram }

func newLatencies() *latencies {
	return &latencies{histogram: hdrhistogram.New(1, 120_000_000, 3)}
}

func (l *latencies) add(microseconds int64) error {
	if err := l.histogram.RecordValue(max(1, microseconds)); err != nil {
		return fmt.Errorf("record latency: %w", err)
	}
	return nil
}

func (l *latencies) milliseconds(percentile float64) float64 {
	return float64(l.histogram.ValueAtQuantile(percentile)) / 1000
}

func (l *latencies) maxMilliseconds() float64 { return float64(l.histogram.Max()) / 1000 }

// deltaStream compresses the deltas of successive versions in one stream, like a connection
// between two daemons but without the JSON-RPC frame. The received bytes of a change are
// compared with this size.
type deltaStream struct {
	encoder      *zstd.Encoder
	writtenBytes int
	previous     *blconfig.Snapshot
}

func newDeltaStream(first *blconfig.Snapshot) (*deltaStream, error) {
	d := &deltaStream{previous: first}
	// The window size is that of blrpc's streams.
	encoder, err := zstd.NewWriter(d, zstd.WithWindowSize(64<<10), zstd.WithLowerEncoderMem(true),
		zstd.WithEncoderConcurrency(1), zstd.WithEncoderCRC(false), zstd.WithEncoderLevel(zstd.SpeedFastest))
	if err != nil {
		return nil, fmt.Errorf("make encoder: %w", err)
	}
	d.encoder = encoder
	return d, nil
}

// Write counts the compressed bytes and discards them.
func (d *deltaStream) Write(b []byte) (int, error) {
	d.writtenBytes += len(b)
	return len(b), nil
}

// compressNext compresses the delta from the previous version to the next one and returns its
// compressed size in bytes.
func (d *deltaStream) compressNext(next *blconfig.Snapshot) (int, error) {
	data, err := blconfig.EncodeDelta(blconfig.Diff(d.previous, next))
	if err != nil {
		return 0, fmt.Errorf("encode delta: %w", err)
	}
	d.previous = next
	before := d.writtenBytes
	if _, err := d.encoder.Write(data); err != nil {
		return 0, fmt.Errorf("compress delta: %w", err)
	}
	if err := d.encoder.Flush(); err != nil {
		return 0, fmt.Errorf("flush delta: %w", err)
	}
	return d.writtenBytes - before, nil
}
