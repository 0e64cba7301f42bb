package blconfig

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"sync"

	"github.com/klauspost/compress/zstd"

	"basillift.dev/basillift"
)

// MaxFull bounds a decoded full transfer. 32 MB hold a million customers and
// leave a daemon within its 256 MB.
const MaxFull = 32 << 20

// fullWindow is the window of a full transfer's compression. The default of the
// level takes 14 MB more memory and saves no bytes at 100,000 customers.
const fullWindow = 1 << 20

// EncodeDelta returns the compact JSON form of a delta. Customers are grouped
// by plan, so that a plan's name is not repeated for each of them.
func EncodeDelta(d Delta) ([]byte, error) {
	data, err := json.Marshal(DeltaMessage{
		From:      d.from.String(),
		To:        d.to.String(),
		Digest:    formatDigest(d.digest),
		Customers: DeltaMessageCustomers(grouped(len(d.customers), maps.All(d.customers))),
		Removed:   d.removed,
		Plans:     planMessages(d.plans),
		Dropped:   d.dropped,
		Services:  d.services,
		Retired:   d.retired,
	})
	if err != nil {
		return nil, fmt.Errorf("encode delta: %w", err)
	}
	return data, nil
}

// DecodeDelta reads the form that EncodeDelta writes. Any defect is an ErrMalformed or ErrDuplicate.
func DecodeDelta(data []byte) (Delta, error) {
	var m DeltaMessage
	if err := decode(data, &m); err != nil {
		return Delta{}, fmt.Errorf("decode delta: %w", err)
	}
	d, err := m.delta()
	if err != nil {
		return Delta{}, fmt.Errorf("decode delta: %w", err)
	}
	return d, nil
}

func (m DeltaMessage) delta() (Delta, error) {
	from, to, digest, err := parseHead(m.From, m.To, m.Digest)
	if err != nil {
		return Delta{}, fmt.Errorf("parse head: %w", err)
	}
	customers, err := ungrouped(m.Customers)
	if err != nil {
		return Delta{}, fmt.Errorf("read customers: %w", err)
	}
	plans, err := parsePlans(m.Plans)
	if err != nil {
		return Delta{}, fmt.Errorf("read plans: %w", err)
	}
	return Delta{
		from: from, to: to, digest: digest, customers: customers, removed: m.Removed,
		plans: plans, dropped: m.Dropped, services: m.Services, retired: m.Retired,
	}, nil
}

// fullCache keeps the encoded form of a snapshot, which a herd of restarted
// daemons asks for at the same time.
type fullCache struct {
	once sync.Once
	data []byte
	err  error
}

// EncodeFull returns the compressed form of a whole snapshot. It is computed once
// for each snapshot; the caller must not change it.
func EncodeFull(s *Snapshot) ([]byte, error) {
	s.full.once.Do(func() { s.full.data, s.full.err = encodeFull(s) })
	if s.full.err != nil {
		return nil, fmt.Errorf("encode version %s: %w", s.version, s.full.err)
	}
	return s.full.data, nil
}

func encodeFull(s *Snapshot) ([]byte, error) {
	data, err := json.Marshal(FullMessage{
		Version:   s.version.String(),
		Digest:    formatDigest(s.digest),
		Services:  s.services,
		Plans:     planMessages(s.Plans()),
		Customers: FullMessageCustomers(grouped(s.customers, s.All())),
	})
	if err != nil {
		return nil, fmt.Errorf("marshal: %w", err)
	}
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1),
		zstd.WithEncoderLevel(zstd.SpeedBetterCompression), zstd.WithWindowSize(fullWindow))
	if err != nil {
		return nil, fmt.Errorf("make encoder: %w", err)
	}
	return encoder.EncodeAll(data, nil), nil
}

// DecodeFull reads the form that EncodeFull writes and verifies its digest and references.
func DecodeFull(data []byte) (*Snapshot, error) {
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(MaxFull))
	if err != nil {
		return nil, fmt.Errorf("make decoder: %w", err)
	}
	defer decoder.Close()
	plain, err := decoder.DecodeAll(data, nil)
	if err != nil {
		return nil, fmt.Errorf("decompress full transfer: %w: %w", ErrMalformed, err)
	}
	var m FullMessage
	if err := decode(plain, &m); err != nil {
		return nil, fmt.Errorf("decode full transfer: %w", err)
	}
	s, err := m.snapshot()
	if err != nil {
		return nil, fmt.Errorf("decode full transfer: %w", err)
	}
	return s, nil
}

func (m FullMessage) snapshot() (*Snapshot, error) {
	_, version, digest, err := parseHead("0.0", m.Version, m.Digest)
	if err != nil {
		return nil, fmt.Errorf("parse head: %w", err)
	}
	customers, err := ungrouped(m.Customers)
	if err != nil {
		return nil, fmt.Errorf("read customers: %w", err)
	}
	plans, err := parsePlans(m.Plans)
	if err != nil {
		return nil, fmt.Errorf("read plans: %w", err)
	}
	d := Delta{to: version, digest: digest, customers: customers, plans: plans, services: m.Services}
	s, err := empty().Apply(d)
	if err != nil {
		return nil, fmt.Errorf("apply: %w", err)
	}
	return s, nil
}

// decode refuses unknown fields and trailing data.
func decode(data []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return fmt.Errorf("read JSON: %w: %w", ErrMalformed, err)
	}
	if _, err := decoder.Token(); err != io.EOF { //nolint:errorlint // Token returns io.EOF itself.
		return fmt.Errorf("read JSON: data after the message: %w", ErrMalformed)
	}
	return nil
}

func parseHead(fromText, toText, digestText string) (from, to basillift.Version, digest uint64, err error) {
	if from, err = basillift.ParseVersion(fromText); err != nil {
		return from, to, 0, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if to, err = basillift.ParseVersion(toText); err != nil {
		return from, to, 0, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if digest, err = strconv.ParseUint(digestText, 16, 64); err != nil {
		return from, to, 0, fmt.Errorf("digest %q: %w", digestText, ErrMalformed)
	}
	return from, to, digest, nil
}

func formatDigest(digest uint64) string { return strconv.FormatUint(digest, 16) }

func grouped(count int, customers func(yield func(string, string) bool)) map[string][]string {
	if count == 0 {
		return nil
	}
	groups := make(map[string][]string)
	for c, p := range customers {
		groups[p] = append(groups[p], c)
	}
	for _, g := range groups {
		slices.Sort(g)
	}
	return groups
}

func ungrouped(groups map[string][]string) (map[string]string, error) {
	customers := make(map[string]string)
	for p, g := range groups {
		for _, c := range g {
			if _, found := customers[c]; found {
				return nil, fmt.Errorf("customer %q: %w", c, ErrDuplicate)
			}
			customers[c] = p
		}
	}
	return customers, nil
}

func planMessages(plans []basillift.Plan) []PlanMessage {
	messages := make([]PlanMessage, 0, len(plans))
	for _, p := range plans {
		m := PlanMessage{Name: p.Name(), Services: p.Services(), Rate: p.Rate(), Concurrency: p.Concurrency()}
		if p.Class() != basillift.ClassNormal {
			m.Class = string(p.Class())
		}
		messages = append(messages, m)
	}
	return messages
}

func parsePlans(messages []PlanMessage) ([]basillift.Plan, error) {
	plans := make([]basillift.Plan, 0, len(messages))
	seen := make(map[string]bool, len(messages))
	for _, m := range messages {
		if seen[m.Name] {
			return nil, fmt.Errorf("plan %q: %w", m.Name, ErrDuplicate)
		}
		seen[m.Name] = true
		class := basillift.Class(m.Class)
		switch class {
		case "", basillift.ClassUrgent, basillift.ClassNormal, basillift.ClassBulk:
		default:
			return nil, fmt.Errorf("plan %q: class %q: %w", m.Name, m.Class, ErrMalformed)
		}
		if m.Rate < 0 || m.Concurrency < 0 {
			return nil, fmt.Errorf("plan %q: negative limit: %w", m.Name, ErrMalformed)
		}
		plans = append(plans, basillift.NewPlan(m.Name, m.Services, m.Rate, m.Concurrency, class))
	}
	return plans, nil
}
