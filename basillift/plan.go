package basillift

import "slices"

// Plan sets the services and limits of the customers that hold it.
type Plan struct {
	name        string
	services    []string
	rate        int
	concurrency int
	class       Class
}

// NewPlan returns a plan. The services are copied and sorted. Rate is in calls/s and
// concurrency in calls at once, for each customer over the whole mesh; 0 means no limit.
func NewPlan(name string, services []string, rate, concurrency int, class Class) Plan {
	sorted := slices.Clone(services)
	slices.Sort(sorted)
	if class == "" {
		class = ClassNormal
	}
	return Plan{name: name, services: sorted, rate: rate, concurrency: concurrency, class: class}
}

// Name identifies the plan within a configuration.
func (p Plan) Name() string { return p.name }

// Services are the names of the allowed services, sorted. The caller must not change them.
func (p Plan) Services() []string { return p.services }

// Rate is the limit in calls/s for each customer; 0 means none.
func (p Plan) Rate() int { return p.rate }

// Concurrency is the limit of calls at once for each customer; 0 means none.
func (p Plan) Concurrency() int { return p.concurrency }

// Class is the priority class of the plan's calls.
func (p Plan) Class() Class { return p.class }

// Allows reports whether the plan includes the service.
func (p Plan) Allows(service string) bool {
	_, found := slices.BinarySearch(p.services, service)
	return found
}

// Equal reports whether both plans have the same name, services, limits and class.
func (p Plan) Equal(o Plan) bool {
	return p.name == o.name && p.rate == o.rate && p.concurrency == o.concurrency &&
		p.class == o.class && slices.Equal(p.services, o.services)
}

// Configuration is one version of the two lists. It never changes.
type Configuration interface {
	Version() Version
	Digest() uint64
	// Plan returns the plan that the customer holds.
	Plan(customer string) (Plan, bool)
	// HasService reports whether the service is declared.
	HasService(service string) bool
	// Services returns the declared services, sorted.
	Services() []string
	// CustomerCount returns the number of customers.
	CustomerCount() int
}

// ConfigurationSource provides the configuration in force.
type ConfigurationSource interface {
	// Current returns false until a first version is in force.
	Current() (Configuration, bool)
}

// VersionObserver observes the versions in calls from other daemons, so that a
// daemon that is behind fetches the newer version at once.
type VersionObserver interface {
	ObserveVersion(v Version, from VMID)
}
