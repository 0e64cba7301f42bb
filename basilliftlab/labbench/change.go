package labbench

import (
	"fmt"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/klauspost/compress/zstd"
	"github.com/rotisserie/eris"

	"basillift.dev/basillift/blconfig"
	"basillift.dev/basillift/bllist"
)

var errNoSnapshot = eris.New("no snapshot in force")

// kind is a kind of change.
type kind string

// The kinds of changes.
const (
	changeOne   kind = "one"
	changePlan  kind = "plan"
	changeTenth kind = "tenth"
	changeBurst kind = "burst"
)

func kinds() []kind { return []kind{changeOne, changePlan, changeTenth, changeBurst} }

// burstSize is the number of one-customer changes that a burst writes without waiting.
const burstSize = 50

// Meaning says what a change of this kind is, for tables.
func (k kind) meaning() string {
	switch k {
	case changeOne:
		return "one customer's plan"
	case changePlan:
		return "one plan's services"
	case changeTenth:
		return "10% of the customers"
	default:
		return fmt.Sprintf("burst of %d one-customer changes", burstSize)
	}
}

// writes returns the writes of one change of this kind; each element is one edit.
func (p *population) writes(k kind) ([][]bllist.Entry, error) {
	edits := 1
	if k == changeBurst {
		edits = burstSize
	}
	var list [][]bllist.Entry
	for range edits {
		switch k {
		case changePlan:
			p.replan()
		case changeTenth:
			p.move(len(p.customers) / 10)
		default:
			p.move(1)
		}
		entries, err := p.entries()
		if err != nil {
			return nil, err
		}
		list = append(list, entries)
	}
	return list, nil
}

// latencies is a distribution with a resolution of 1 µs.
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

func (l *latencies) milliseconds(quantile float64) float64 {
	return float64(l.histogram.ValueAtQuantile(quantile)) / 1000
}

func (l *latencies) worst() float64 { return float64(l.histogram.Max()) / 1000 }

// deltaStream compresses the deltas of successive versions on one stream like that between
// two daemons, without the JSON-RPC frame. It gives the size that control bytes are compared with.
type deltaStream struct {
	encoder  *zstd.Encoder
	written  int
	previous *blconfig.Snapshot
}

func newDeltaStream(first *blconfig.Snapshot) (*deltaStream, error) {
	d := &deltaStream{previous: first}
	// The window is that of blrpc's streams.
	encoder, err := zstd.NewWriter(d, zstd.WithWindowSize(64<<10), zstd.WithLowerEncoderMem(true),
		zstd.WithEncoderConcurrency(1), zstd.WithEncoderCRC(false), zstd.WithEncoderLevel(zstd.SpeedFastest))
	if err != nil {
		return nil, fmt.Errorf("make encoder: %w", err)
	}
	d.encoder = encoder
	return d, nil
}

// Write counts compressed bytes.
func (d *deltaStream) Write(b []byte) (int, error) {
	d.written += len(b)
	return len(b), nil
}

// add returns the compressed size of the delta to the next version.
func (d *deltaStream) add(next *blconfig.Snapshot) (int, error) {
	data, err := blconfig.EncodeDelta(blconfig.Diff(d.previous, next))
	if err != nil {
		return 0, fmt.Errorf("encode delta: %w", err)
	}
	d.previous = next
	before := d.written
	if _, err := d.encoder.Write(data); err != nil {
		return 0, fmt.Errorf("compress delta: %w", err)
	}
	if err := d.encoder.Flush(); err != nil {
		return 0, fmt.Errorf("flush delta: %w", err)
	}
	return d.written - before, nil
}
