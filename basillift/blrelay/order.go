package blrelay

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"basillift.dev/basillift"
)

const (
	// fanOut is the number of children of a tree node. With 8, the tree of a failure domain
	// of 171 daemons has depth 3, and a daemon has at most 9 tree connections.
	fanOut = 8
	// readerCount is the number of members of a failure domain that read the platform. With
	// 2, reading continues when one of them fails.
	readerCount = 2
)

// Order is the immutable order of the members that take part in distribution.
type Order struct {
	names     []basillift.FailureDomain
	domains   map[basillift.FailureDomain][]basillift.VMID
	positions map[basillift.VMID]position
}

type position struct {
	domain basillift.FailureDomain
	index  int
}

type hashedVM struct {
	id   basillift.VMID
	hash uint64
}

// NewOrder returns the order of the given members. The caller excludes dead and gone ones.
func NewOrder(members []basillift.Member) *Order {
	byDomain := map[basillift.FailureDomain][]hashedVM{}
	for _, m := range members {
		fd := m.Place().FailureDomain()
		byDomain[fd] = append(byDomain[fd], hashedVM{id: m.ID(), hash: xxhash.Sum64String(string(m.ID()))})
	}
	o := &Order{
		domains:   make(map[basillift.FailureDomain][]basillift.VMID, len(byDomain)),
		positions: make(map[basillift.VMID]position, len(members)),
	}
	for fd, entries := range byDomain {
		o.names = append(o.names, fd)
		o.addDomain(fd, entries)
	}
	slices.Sort(o.names)
	return o
}

func (o *Order) addDomain(fd basillift.FailureDomain, entries []hashedVM) {
	slices.SortFunc(entries, func(a, b hashedVM) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.id, b.id))
	})
	ids := make([]basillift.VMID, len(entries))
	for i, e := range entries {
		ids[i] = e.id
		o.positions[e.id] = position{domain: fd, index: i}
	}
	o.domains[fd] = ids
}

// Domains returns the failure domains that have members, sorted.
func (o *Order) Domains() []basillift.FailureDomain { return o.names }

// Domain returns the members of a failure domain in order. The caller must not change them.
func (o *Order) Domain(fd basillift.FailureDomain) []basillift.VMID { return o.domains[fd] }

// Len returns the number of members.
func (o *Order) Len() int { return len(o.positions) }

// Contains reports whether the order contains the member.
func (o *Order) Contains(id basillift.VMID) bool {
	_, found := o.positions[id]
	return found
}

// Readers returns the members of a failure domain that read the platform. The caller must not
// change them.
func (o *Order) Readers(fd basillift.FailureDomain) []basillift.VMID {
	ids := o.domains[fd]
	return ids[:min(readerCount, len(ids))]
}

// IsReader reports whether the member reads the platform.
func (o *Order) IsReader(id basillift.VMID) bool {
	p, found := o.positions[id]
	return found && p.index < readerCount
}

// IsHead reports whether the member is the head, the first member, of its failure domain.
func (o *Order) IsHead(id basillift.VMID) bool {
	p, found := o.positions[id]
	return found && p.index == 0
}

// Heads returns the heads of all failure domains except the given one, sorted by failure domain.
func (o *Order) Heads(except basillift.FailureDomain) []basillift.VMID {
	var heads []basillift.VMID
	for _, fd := range o.names {
		if fd != except {
			heads = append(heads, o.domains[fd][0])
		}
	}
	return heads
}

// Neighbors returns the member's parent, if any, and its children in the distribution tree
// of its failure domain.
func (o *Order) Neighbors(id basillift.VMID) []basillift.VMID {
	p, found := o.positions[id]
	if !found {
		return nil
	}
	ids := o.domains[p.domain]
	var neighbors []basillift.VMID
	if p.index > 0 {
		neighbors = append(neighbors, ids[(p.index-1)/fanOut])
	}
	for i := p.index*fanOut + 1; i <= p.index*fanOut+fanOut && i < len(ids); i++ {
		neighbors = append(neighbors, ids[i])
	}
	return neighbors
}

// Links returns the peers to which the member floods records: its tree neighbors and, for a
// head, the other heads.
func (o *Order) Links(id basillift.VMID) []basillift.VMID {
	links := o.Neighbors(id)
	if o.IsHead(id) {
		links = append(links, o.Heads(o.positions[id].domain)...)
	}
	return links
}

// Successors returns up to n members that follow the member in the ring of its failure domain.
func (o *Order) Successors(id basillift.VMID, n int) []basillift.VMID {
	return o.ringNeighbors(id, n, 1)
}

// Predecessors returns up to n members that precede the member in the ring of its failure
// domain, nearest first.
func (o *Order) Predecessors(id basillift.VMID, n int) []basillift.VMID {
	return o.ringNeighbors(id, n, -1)
}

func (o *Order) ringNeighbors(id basillift.VMID, n, step int) []basillift.VMID {
	p, found := o.positions[id]
	if !found {
		return nil
	}
	ids := o.domains[p.domain]
	n = min(n, len(ids)-1)
	result := make([]basillift.VMID, 0, max(n, 0))
	for i := 1; i <= n; i++ {
		result = append(result, ids[(p.index+step*i+len(ids))%len(ids)])
	}
	return result
}
