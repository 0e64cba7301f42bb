package labdemo

import (
	"fmt"
	"slices"

	"github.com/rotisserie/eris"
)

// ErrMesh means that no mesh has the given name.
var ErrMesh = eris.New("unknown mesh")

// service is a service with the number of its servers.
type service struct {
	name    string
	servers int
}

// Mesh is the size of one company's mesh, as on the design page, or of a small one for recordings.
type Mesh struct {
	name        string
	region      string
	domains     []string
	services    []service
	slots       int
	connections int
	network     int
	trace       string
}

// NewMesh returns a mesh by name. Network is the second number of all its
// addresses, so that two demos can run beside each other.
func NewMesh(name string, network int) (Mesh, error) {
	switch name {
	case "bindery":
		return Mesh{
			name: name, region: "tbilisi", domains: []string{"tbilisi-a", "tbilisi-b", "tbilisi-c"},
			services: []service{{"catalogue", 6}, {"reservations", 4}, {"gallery", 3}},
			slots:    10, connections: 130, network: network, trace: "none",
		}, nil
	case "ponds":
		return Mesh{
			name: name, region: "new-england", domains: []string{"nashua", "burlington", "worcester", "bangor"},
			services: []service{{"catalog", 4}, {"orders", 4}, {"ponddata", 4}},
			slots:    12, connections: 120, network: network, trace: "none",
		}, nil
	case "small":
		return Mesh{
			name: name, region: "tbilisi", domains: []string{"tbilisi-a", "tbilisi-b"},
			services: []service{{"catalogue", 4}, {"reservations", 2}},
			slots:    10, connections: 130, network: network, trace: "none",
		}, nil
	}
	return Mesh{}, fmt.Errorf("mesh is %q, allowed are bindery, ponds and small: %w", name, ErrMesh)
}

// withTrace returns a copy whose daemons record other calls in their timelines.
func (m Mesh) withTrace(trace string) Mesh {
	m.trace = trace
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

func (m Mesh) address(host string, port int) string {
	return fmt.Sprintf("127.%d.%s:%d", m.network, host, port)
}

func (m Mesh) platform() string  { return m.address("0.1", 7000) }
func (m Mesh) operators() string { return m.address("0.1", 7001) }

// VM is one VM of a mesh: a place, a service and an IP address of its own.
type VM struct {
	name    string
	domain  string
	region  string
	service string
	host    string
}

func (v VM) address(port int) string { return fmt.Sprintf("%s:%d", v.host, port) }
func (v VM) caller() string          { return v.address(7100) }
func (v VM) mesh() string            { return v.address(7101) }
func (v VM) control() string         { return v.address(7102) }
func (v VM) admin() string           { return v.address(7103) }
func (v VM) target() string          { return v.address(7104) }

// VMs returns the VMs; the servers of a service are spread over the failure domains.
func (m Mesh) VMs() []VM {
	var vms []VM
	for _, s := range m.services {
		for range s.servers {
			n := len(vms)
			domain := n % len(m.domains)
			vms = append(vms, VM{
				name: fmt.Sprintf("vm%d", n+1), domain: m.domains[domain], region: m.region, service: s.name,
				host: fmt.Sprintf("127.%d.%d.%d", m.network, domain+1, n/len(m.domains)+1),
			})
		}
	}
	return vms
}

// seeds returns the control addresses of the first VM of each failure domain, without the VM itself.
func (m Mesh) seeds(v VM) []string {
	var seeds []string
	var seen []string
	for _, o := range m.VMs() {
		if slices.Contains(seen, o.domain) {
			continue
		}
		seen = append(seen, o.domain)
		if o != v {
			seeds = append(seeds, o.control())
		}
	}
	return seeds
}

// servers returns the VMs of the n-th service.
func (m Mesh) servers(n int) []VM {
	return slices.DeleteFunc(m.VMs(), func(v VM) bool { return v.service != m.services[n].name })
}
