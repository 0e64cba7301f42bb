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

// MaxFullBytes is the maximum size of a decompressed full transfer. 32 MB hold a
// million customers and keep a daemon within its memory limit of 256 MB.
const MaxFullBytes = 32 << 20

// fullWindowBytes is the zstd window size for full transfers. The default window
// of the compression level uses 14 MB more memory and saves no bytes at 100,000
// customers.
const fullWindowBytes = 1 << 20

// EncodeDelta returns the compact JSON form of a delta. Customers are grouped
// by plan, so that the name of a plan is not repeated for each customer.
func EncodeDelta(d Delta) ([]byte, error) {
	data, err := json.Marshal(DeltaMessage{
		From:      d.from.String(),
		To:        d.to.String(),
		Digest:    formatDigest(d.digest),
		Customers: DeltaMessageCustomers(groupByPlan(len(d.customers), maps.All(d.customers))),
		Removed:   d.removedCustomers,
		Plans:     planMessages(d.plans),
		Dropped:   d.removedPlans,
		Services:  d.addedServices,
		Retired:   d.removedServices,
	})
	if err != nil {
		return nil, fmt.Errorf("encode delta: %w", err)
	}
	return data, nil
}

// DecodeDelta decodes the output of EncodeDelta. It returns ErrMalformed or
// ErrDuplicate for an invalid message.
func DecodeDelta(data []byte) (Delta, error) {
	var m DeltaMessage
	if err := decodeStrict(data, &m); err != nil {
		return Delta{}, fmt.Errorf("decode delta: %w", err)
	}
	d, err := m.delta()
	if err != nil {
		return Delta{}, fmt.Errorf("decode delta: %w", err)
	}
	return d, nil
}

func (m DeltaMessage) delta() (Delta, error) {
	from, to, digest, err := parseHeader(m.From, m.To, m.Digest)
	if err != nil {
		return Delta{}, fmt.Errorf("parse header: %w", err)
	}
	customers, err := planByCustomer(m.Customers)
	if err != nil {
		return Delta{}, fmt.Errorf("read customers: %w", err)
	}
	plans, err := parsePlans(m.Plans)
	if err != nil {
		return Delta{}, fmt.Errorf("read plans: %w", err)
	}
	return Delta{
		from: from, to: to, digest: digest, customers: customers, removedCustomers: m.Removed,
		plans: plans, removedPlans: m.Dropped, addedServices: m.Services, removedServices: m.Retired,
	}, nil
}

// fullCache holds the encoded form of a snapshot, because many daemons that
// restart together request it at the same time.
type fullCache struct {
	once sync.Once
	data []byte
	err  error
}

// EncodeFull returns the zstd-compressed JSON form of a whole snapshot. It is
// computed once for each snapshot. The caller must not modify it.
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
		Customers: FullMessageCustomers(groupByPlan(s.customers, s.All())),
	})
	if err != nil {
		return nil, fmt.Errorf("marshal: %w", err)
	}
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1),
		zstd.WithEncoderLevel(zstd.SpeedBetterCompression), zstd.WithWindowSize(fullWindowBytes))
	if err != nil {
		return nil, fmt.Errorf("make encoder: %w", err)
	}
	return encoder.EncodeAll(data, nil), nil
}

// DecodeFull decodes the output of EncodeFull and verifies its digest and
// references. An error wraps ErrMalformed, ErrDuplicate, ErrReference, ErrBase or
// ErrDigest.
func DecodeFull(data []byte) (*Snapshot, error) {
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(MaxFullBytes))
	if err != nil {
		return nil, fmt.Errorf("make decoder: %w", err)
	}
	defer decoder.Close()
	plain, err := decoder.DecodeAll(data, nil)
	if err != nil {
		return nil, fmt.Errorf("decompress full transfer: %w: %w", ErrMalformed, err)
	}
	var m FullMessage
	if err := decodeStrict(plain, &m); err != nil {
		return nil, fmt.Errorf("decode full transfer: %w", err)
	}
	s, err := m.snapshot()
	if err != nil {
		return nil, fmt.Errorf("decode full transfer: %w", err)
	}
	return s, nil
}

func (m FullMessage) snapshot() (*Snapshot, error) {
	_, version, digest, err := parseHeader("0.0", m.Version, m.Digest)
	if err != nil {
		return nil, fmt.Errorf("parse header: %w", err)
	}
	customers, err := planByCustomer(m.Customers)
	if err != nil {
		return nil, fmt.Errorf("read customers: %w", err)
	}
	plans, err := parsePlans(m.Plans)
	if err != nil {
		return nil, fmt.Errorf("read plans: %w", err)
	}
	d := Delta{to: version, digest: digest, customers: customers, plans: plans, addedServices: m.Services}
	s, err := emptySnapshot().Apply(d)
	if err != nil {
		return nil, fmt.Errorf("apply: %w", err)
	}
	return s, nil
}

// decodeStrict decodes one JSON value and rejects unknown fields and trailing data.
func decodeStrict(data []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return fmt.Errorf("read JSON: %w: %w", ErrMalformed, err)
	}
	if _, err := decoder.Token(); err != io.EOF { //nolint:errorlint // Token returns io.EOF unwrapped.
		return fmt.Errorf("read JSON: data after the message: %w", ErrMalformed)
	}
	return nil
}

func parseHeader(fromText, toText, digestText string) (from, to basillift.Version, digest uint64, err error) {
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

func groupByPlan(count int, customers func(yield func(string, string) bool)) map[string][]string {
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

func planByCustomer(groups map[string][]string) (map[string]string, error) {
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
