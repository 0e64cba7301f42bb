package blnode

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"basillift.dev/basillift"
	"basillift.dev/basillift/blmember"
	"basillift.dev/basillift/blrpc"
)

func formatDigest(d uint64) string { return strconv.FormatUint(d, 16) }

func parseDigest(text string) (uint64, error) {
	d, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0, fmt.Errorf("parse digest: %w", err)
	}
	return d, nil
}

func encodeMember(m basillift.Member) blrpc.Record {
	return blrpc.Record{
		Name: string(m.ID()), Incarnation: m.Incarnation(), Sequence: m.Sequence(),
		Control: m.Addresses().Control(), Mesh: m.Addresses().Mesh(), Admin: m.Addresses().Admin(),
		Domain: string(m.Place().FailureDomain()), Region: string(m.Place().Region()),
		Service: m.Service(), State: string(m.State()), Slots: m.Slots(),
	}
}

// decodeMember returns false for a record with an unknown target state, or without a name,
// a control address or a failure domain: other daemons need these to reach the member and
// to place it.
func decodeMember(r blrpc.Record) (basillift.Member, bool) {
	state := basillift.TargetState(r.State)
	switch state {
	case basillift.TargetStarting, basillift.TargetReady, basillift.TargetShedding,
		basillift.TargetDraining, basillift.TargetGone:
	default:
		return basillift.Member{}, false
	}
	if r.Name == "" || r.Control == "" || r.Domain == "" {
		return basillift.Member{}, false
	}
	m := basillift.NewMember(basillift.VMID(r.Name), r.Incarnation,
		basillift.NewAddresses(r.Control, r.Mesh, r.Admin),
		basillift.NewPlace(basillift.FailureDomain(r.Domain), basillift.Region(r.Region)), r.Service, r.Slots)
	return m.WithState(state).WithOrder(r.Incarnation, r.Sequence), true
}

func encodeMembers(members []basillift.Member) []blrpc.Record {
	records := make([]blrpc.Record, 0, len(members))
	for _, m := range members {
		records = append(records, encodeMember(m))
	}
	return records
}

func decodeMembers(records []blrpc.Record) []basillift.Member {
	members := make([]basillift.Member, 0, len(records))
	for _, r := range records {
		if m, ok := decodeMember(r); ok {
			members = append(members, m)
		}
	}
	return members
}

func encodeAssertions(assertions []blmember.Assertion) []blrpc.Claim {
	encoded := make([]blrpc.Claim, 0, len(assertions))
	for _, a := range assertions {
		encoded = append(encoded, blrpc.Claim{
			Kind: string(a.Kind()), Name: string(a.ID()), Domain: string(a.Domain()),
			Incarnation: a.Incarnation(), Revision: a.Revision(),
		})
	}
	return encoded
}

func decodeAssertions(encoded []blrpc.Claim) []blmember.Assertion {
	assertions := make([]blmember.Assertion, 0, len(encoded))
	for _, c := range encoded {
		if c.Domain != "" {
			assertions = append(assertions, blmember.NewDomainAssertion(blmember.AssertionKind(c.Kind), basillift.FailureDomain(c.Domain), c.Revision))
			continue
		}
		assertions = append(assertions, blmember.NewAssertion(blmember.AssertionKind(c.Kind), basillift.VMID(c.Name), c.Incarnation, c.Revision))
	}
	return assertions
}

func encodeExchange(fd basillift.FailureDomain, records []basillift.Member, assertions []blmember.Assertion) blrpc.Exchange {
	return blrpc.Exchange{Domain: string(fd), Records: encodeMembers(records), Claims: encodeAssertions(assertions)}
}

// encodeDigests sorts the digests by failure domain, so that an unchanged list compresses
// to a few bytes.
func encodeDigests(digests blmember.Digests) []blrpc.Digest {
	encoded := make([]blrpc.Digest, 0, len(digests))
	for fd, d := range digests {
		encoded = append(encoded, blrpc.Digest{Domain: string(fd), Digest: formatDigest(d)})
	}
	slices.SortFunc(encoded, func(a, b blrpc.Digest) int { return strings.Compare(a.Domain, b.Domain) })
	return encoded
}

func decodeDigests(encoded []blrpc.Digest) blmember.Digests {
	digests := make(blmember.Digests, len(encoded))
	for _, d := range encoded {
		if value, err := parseDigest(d.Digest); err == nil {
			digests[basillift.FailureDomain(d.Domain)] = value
		}
	}
	return digests
}
