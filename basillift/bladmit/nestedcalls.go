package bladmit

const (
	// originsNeeded is how many requests of a lane, and of other lanes from other services, are needed to tell
	// where a lane comes from.
	originsNeeded = 30
	// originsMost bounds how many lanes are remembered.
	originsMost = 4096
)

// NestedCallDetector tells which lanes are calls that targets make while they run a request. Such
// a call holds the slot of its parent while it waits, and its refusal wastes what the
// parent has done. Callers send requests from VMs of all services; a lane that
// comes from the VMs of one service only, while other lanes come from others, is made by that
// service's targets. It is not safe for concurrent use.
type NestedCallDetector struct {
	lanes    map[string]*origin
	services map[string]int
	total    int
}

// origin is where the requests of a lane come from.
type origin struct {
	service string
	count   int
	several bool
}

// NewNestedCallDetector returns a detector that knows nothing.
func NewNestedCallDetector() *NestedCallDetector {
	return &NestedCallDetector{lanes: make(map[string]*origin), services: make(map[string]int)}
}

// Observe notes a request of a lane from a VM of a service.
func (o *NestedCallDetector) Observe(lane, service string) {
	known := o.lanes[lane]
	if known == nil {
		if len(o.lanes) >= originsMost {
			clear(o.lanes)
		}
		known = &origin{service: service}
		o.lanes[lane] = known
	}
	known.count++
	known.several = known.several || known.service != service
	o.services[service]++
	o.total++
}

// IsNested reports whether a lane consists of calls of targets, as far as is known.
func (o *NestedCallDetector) IsNested(lane string) bool {
	known := o.lanes[lane]
	if known == nil || known.several || known.count < originsNeeded {
		return false
	}
	return o.total-o.services[known.service] >= originsNeeded
}
