package labdemo

import (
	"fmt"
	"slices"

	"github.com/rotisserie/eris"
)

// ErrMesh means that there is no mesh with the given name.
var ErrMesh = eris.New("unknown mesh")

// service is the name of a service and the number of its servers, one on each VM.
type service struct {
	name        string
	serverCount int
}

// Mesh describes a mesh: that of one of the two companies on the design page, or a small
// one for recordings. targetSlots and targetConnections are the limits of each target.
type Mesh struct {
	name              string
	region            string
	domains           []string
	services          []service
	targetSlots       int
	targetConnections int
	secondOctet       int
	traceMode         string
}

// NewMesh returns the mesh with a name. secondOctet is the second octet of all its
// addresses; with different octets, two demos can run at the same time. An unknown name
// returns ErrMesh.
func NewMesh(name string, secondOctet int) (Mesh, error) {
	switch name {
	case "bindery":
		return Mesh{
			name: name, region: "tbilisi", domains: []string{"tbilisi-a", "tbilisi-b", "tbilisi-c"},
			services:    []service{{"catalogue", 6}, {"reservations", 4}, {"gallery", 3}},
			targetSlots: 10, targetConnections: 130, secondOctet: secondOctet, traceMode: "none",
		}, nil
	case "ponds":
		return Mesh{
			name: name, region: "new-england", domains: []string{"nashua", "burlington", "worcester", "bangor"},
			services:    []service{{"catalog", 4}, {"orders", 4}, {"ponddata", 4}},
			targetSlots: 12, targetConnections: 120, secondOctet: secondOctet, traceMode: "none",
		}, nil
	case "small":
		return Mesh{
			name: name, region: "tbilisi", domains: []string{"tbilisi-a", "tbilisi-b"},
			services:    []service{{"catalogue", 4}, {"reservations", 2}},
			targetSlots: 10, targetConnections: 130, secondOctet: secondOctet, traceMode: "none",
		}, nil
	}
	return Mesh{}, fmt.Errorf("mesh is %q, must be bindery, ponds or small: %w", name, ErrMesh)
}

// withTraceMode returns a copy with another trace mode, which selects the calls that the
// daemons record in their timelines.
func (m Mesh) withTraceMode(mode string) Mesh {
	m.traceMode = mode
	return m
}

// Services returns the names of the services.
func (m Mesh) Services() []string {
	var names []string
	for _, s := range m.services {
		names = append(names, s.name)
	}
	return names
}

func (m Mesh) address(lastOctets string, port int) string {
	return fmt.Sprintf("127.%d.%s:%d", m.secondOctet, lastOctets, port)
}

func (m Mesh) platformAddress() string { return m.address("0.1", 7000) }
func (m Mesh) operatorAddress() string { return m.address("0.1", 7001) }

// VM is a VM of a mesh, with its failure domain, region, service and IP address.
type VM struct {
	name    string
	domain  string
	region  string
	service string
	ip      string
}

func (v VM) address(port int) string { return fmt.Sprintf("%s:%d", v.ip, port) }
func (v VM) callerAddress() string   { return v.address(7100) }
func (v VM) meshAddress() string     { return v.address(7101) }
func (v VM) controlAddress() string  { return v.address(7102) }
func (v VM) adminAddress() string    { return v.address(7103) }
func (v VM) targetAddress() string   { return v.address(7104) }

// VMs returns the VMs, ordered by service. The servers of a service are spread evenly over
// the failure domains.
func (m Mesh) VMs() []VM {
	var vms []VM
	for _, s := range m.services {
		for range s.serverCount {
			n := len(vms)
			domain := n % len(m.domains)
			vms = append(vms, VM{
				name: fmt.Sprintf("vm%d", n+1), domain: m.domains[domain], region: m.region, service: s.name,
				ip: fmt.Sprintf("127.%d.%d.%d", m.secondOctet, domain+1, n/len(m.domains)+1),
			})
		}
	}
	return vms
}

// seeds returns the control addresses of the first VM of each failure domain, without that
// of the VM itself.
func (m Mesh) seeds(v VM) []string {
	var seeds []string
	var seen []string
	for _, o := range m.VMs() {
		if slices.Contains(seen, o.domain) {
			continue
		}
		seen = append(seen, o.domain)
		if o != v {
			seeds = append(seeds, o.controlAddress())
		}
	}
	return seeds
}

// serviceVMs returns the VMs of the n-th service, counted from 0.
func (m Mesh) serviceVMs(n int) []VM {
	return slices.DeleteFunc(m.VMs(), func(v VM) bool { return v.service != m.services[n].name })
}
