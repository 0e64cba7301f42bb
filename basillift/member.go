package basillift

// Addresses are the IP:port pairs on which one daemon listens.
type Addresses struct {
	control string
	mesh    string
	admin   string
}

// NewAddresses returns the addresses for control messages, calls from other daemons, and operators.
func NewAddresses(control, mesh, admin string) Addresses {
	return Addresses{control: control, mesh: mesh, admin: admin}
}

// Control is the address for JSON-RPC between daemons.
func (a Addresses) Control() string { return a.control }

// Mesh is the address for calls from other daemons.
func (a Addresses) Mesh() string { return a.mesh }

// Admin is the address for operators, metrics and health.
func (a Addresses) Admin() string { return a.admin }

// Place is the location of a VM.
type Place struct {
	failureDomain FailureDomain
	region        Region
}

// NewPlace returns the place of a VM; the region is empty if there is only one.
func NewPlace(failureDomain FailureDomain, region Region) Place {
	return Place{failureDomain: failureDomain, region: region}
}

// FailureDomain is the VM's failure domain.
func (p Place) FailureDomain() FailureDomain { return p.failureDomain }

// Region is the VM's region; empty if there is only one.
func (p Place) Region() Region { return p.region }

// Member is the record that one daemon publishes of itself and its target. Incarnation
// and sequence order the records of one VM; only the member itself increases them.
type Member struct {
	id          VMID
	incarnation uint64
	sequence    uint64
	addresses   Addresses
	place       Place
	service     string
	state       TargetState
	slots       int
}

// NewMember returns the first record of an incarnation. The incarnation is the
// start time in Unix milliseconds.
func NewMember(id VMID, incarnation uint64, a Addresses, p Place, service string, slots int) Member {
	return Member{
		id: id, incarnation: incarnation, addresses: a, place: p,
		service: service, state: TargetStarting, slots: slots,
	}
}

// ID is the id of the VM.
func (m Member) ID() VMID { return m.id }

// Incarnation grows with each start of the daemon and each refuted suspicion.
func (m Member) Incarnation() uint64 { return m.incarnation }

// Sequence grows with each change within an incarnation.
func (m Member) Sequence() uint64 { return m.sequence }

// Addresses are where the daemon listens.
func (m Member) Addresses() Addresses { return m.addresses }

// Place is the location of the VM.
func (m Member) Place() Place { return m.place }

// Service is the service of the VM's target.
func (m Member) Service() string { return m.service }

// State is the state of the VM's target.
func (m Member) State() TargetState { return m.state }

// Slots is how many calls the target runs at once.
func (m Member) Slots() int { return m.slots }

// WithState returns the member's next record with another target state.
func (m Member) WithState(s TargetState) Member {
	m.state = s
	m.sequence++
	return m
}

// WithOrder returns a copy with the given incarnation and sequence, for decoding and refutation.
func (m Member) WithOrder(incarnation, sequence uint64) Member {
	m.incarnation = incarnation
	m.sequence = sequence
	return m
}

// NewerThan reports whether this record of a VM replaces the other one.
func (m Member) NewerThan(o Member) bool {
	if m.incarnation != o.incarnation {
		return m.incarnation > o.incarnation
	}
	return m.sequence > o.sequence
}

// Status is a member's record with its liveness as judged by one daemon.
type Status struct {
	member   Member
	liveness Liveness
	leaving  bool
}

// NewStatus combines a record and a liveness. leaving reports whether the platform's VM list marks the VM as leaving.
func NewStatus(m Member, l Liveness, leaving bool) Status {
	return Status{member: m, liveness: l, leaving: leaving}
}

// Member is the member's record.
func (s Status) Member() Member { return s.member }

// Liveness is the liveness of the record's incarnation.
func (s Status) Liveness() Liveness { return s.liveness }

// Leaving reports whether the platform's VM list marks the VM as leaving.
func (s Status) Leaving() bool { return s.leaving }

// AcceptsRequests reports whether new calls may be sent to the member's target.
func (s Status) AcceptsRequests() bool {
	return s.liveness != LivenessDead && !s.leaving && s.member.state.AcceptsRequests()
}

// Directory is one daemon's view of the mesh. The returned slices are shared
// and sorted by VM id; callers must not change them.
type Directory interface {
	// Self returns the daemon's own record.
	Self() Member
	// Targets returns all members of a service, whatever their liveness.
	Targets(service string) []Status
	// Members returns all members, whatever their liveness.
	Members() []Status
	// Generation grows with each change of the view.
	Generation() uint64
}

// LocalTarget holds the state of the target of the daemon's own VM.
type LocalTarget interface {
	State() TargetState
	// SetState sets the state and announces it to the mesh.
	SetState(s TargetState)
}
