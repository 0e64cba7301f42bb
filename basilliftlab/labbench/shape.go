package labbench

import (
	"fmt"

	"basillift.dev/basillift"
)

// controlPort is the port of the control plane on each daemon's own address.
const controlPort = 7100

// shape is the size of one mesh and the network of its addresses.
type shape struct {
	daemons   int
	domains   int
	customers int
	network   int
}

// String describes the shape in errors and in the progress bar.
func (s shape) String() string {
	return fmt.Sprintf("%d daemons, %d failure domains, %d customers", s.daemons, s.domains, s.customers)
}

func (s shape) domain(i int) basillift.FailureDomain {
	return basillift.FailureDomain(fmt.Sprintf("domain-%c", 'a'+i%s.domains))
}

func (s shape) id(i int) basillift.VMID {
	return basillift.VMID(fmt.Sprintf("vm-%c-%03d", 'a'+i%s.domains, i/s.domains))
}

// address returns the control address of a daemon: 127.N.1.1 and up, where N is the network.
// The platform is at 127.N.0.1.
func (s shape) address(i int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", s.network, 1+i/250, 1+i%250, controlPort)
}

func (s shape) platform() string { return fmt.Sprintf("127.%d.0.1:7000", s.network) }

// region assigns the first half of the failure domains to one region and the others to a
// second one.
func (s shape) region(i int) basillift.Region {
	if i%s.domains < (s.domains+1)/2 {
		return "north"
	}
	return "south"
}

func (s shape) member(i int, incarnation uint64) basillift.Member {
	address := s.address(i)
	return basillift.NewMember(s.id(i), incarnation, basillift.NewAddresses(address, address, address),
		basillift.NewPlace(s.domain(i), s.region(i)), fmt.Sprintf("service-%d", i%serviceCount), 10)
}

// seeds returns the control addresses of one daemon in each failure domain.
func (s shape) seeds() []string {
	var seeds []string
	for i := range min(s.domains, s.daemons) {
		seeds = append(seeds, s.address(i))
	}
	return seeds
}
