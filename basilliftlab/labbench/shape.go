package labbench

import (
	"fmt"

	"basillift.dev/basillift"
)

// controlPort is the port of the control side on each daemon's own address.
const controlPort = 7100

// shape is the size of one mesh.
type shape struct {
	daemons   int
	domains   int
	customers int
	network   int
}

// String names the shape in tables and progress lines.
func (s shape) String() string {
	return fmt.Sprintf("%d daemons, %d failure domains, %d customers", s.daemons, s.domains, s.customers)
}

func (s shape) domain(i int) basillift.FailureDomain {
	return basillift.FailureDomain(fmt.Sprintf("domain-%c", 'a'+i%s.domains))
}

func (s shape) id(i int) basillift.VMID {
	return basillift.VMID(fmt.Sprintf("vm-%c-%03d", 'a'+i%s.domains, i/s.domains))
}

// address is 127.N.1.0 and up; the platform is at 127.N.0.1.
func (s shape) address(i int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", s.network, 1+i/250, 1+i%250, controlPort)
}

func (s shape) platform() string { return fmt.Sprintf("127.%d.0.1:7000", s.network) }

// region puts the first failure domains into one region and the others into a second one.
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

// seeds are the control addresses of one daemon of each failure domain.
func (s shape) seeds() []string {
	var seeds []string
	for i := range min(s.domains, s.daemons) {
		seeds = append(seeds, s.address(i))
	}
	return seeds
}
