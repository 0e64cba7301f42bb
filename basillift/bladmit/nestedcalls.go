package bladmit

const (
	// minOriginRequests is the number of requests of a route, and of requests from other services, that
	// are needed to decide which service a route comes from.
	minOriginRequests = 30
	// maxNestedCallRoutes bounds the number of routes with a known origin; all are cleared when a further one
	// appears.
	maxNestedCallRoutes = 4096
)

// NestedCallDetector detects the routes that consist of nested calls, which are requests that targets make while they
// run another request, the parent. The parent occupies its slot while the nested call waits, and a refusal of the
// nested call wastes the work of the parent. Callers send requests from VMs of all services. A route whose requests
// come from the VMs of one service only, while requests of other routes come from other services, is therefore called
// by that service's targets. It is not safe for concurrent use.
type NestedCallDetector struct {
	routes   map[string]*origin
	services map[string]int
	total    int
}

// origin is the service that the requests of a route come from. Multiple is set once a second service has sent one.
type origin struct {
	service  string
	count    int
	multiple bool
}

// NewNestedCallDetector returns a detector without observations.
func NewNestedCallDetector() *NestedCallDetector {
	return &NestedCallDetector{routes: make(map[string]*origin), services: make(map[string]int)}
}

// Observe counts a request of a route from a VM of a service.
func (d *NestedCallDetector) Observe(route, service string) {
	from := d.routes[route]
	if from == nil {
		if len(d.routes) >= maxNestedCallRoutes {
			clear(d.routes)
		}
		from = &origin{service: service}
		d.routes[route] = from
	}
	from.count++
	from.multiple = from.multiple || from.service != service
	d.services[service]++
	d.total++
}

// IsNested reports whether a route consists of nested calls. It is false while there are too few observations.
func (d *NestedCallDetector) IsNested(route string) bool {
	from := d.routes[route]
	if from == nil || from.multiple || from.count < minOriginRequests {
		return false
	}
	return d.total-d.services[from.service] >= minOriginRequests
}
