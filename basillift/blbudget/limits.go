package blbudget

const megabyte = 1 << 20

const (
	// baseMB is the memory of a daemon without load: its program, its routing table and the state of its targets.
	baseMB = 24
	// defaultPeerBytes applies if the memory of the machine is not known.
	defaultPeerBytes = 48 * megabyte
	// minPeerBytes lets a daemon on a machine with hardly any memory serve ordinary requests.
	minPeerBytes = 4 * megabyte
	// peerShare is the part of the memory beyond baseMB that peers may use. The rest covers garbage that is not collected yet,
	// fragments of the heap, and bytes that the kernel has received.
	peerShare = 0.4
	// heapShare is the part of the memory at which the garbage collector works without a pause. The rest is used by the kernel
	// for sockets, and by the mapped program.
	heapShare = 0.7
	// smallShare is the part of the memory for peers that only small requests may use, so that large bodies do not displace
	// them.
	smallShare = 0.25
	// ConnectionBytes is what an idle connection is expected to cost: a goroutine or two, and the state of a session.
	ConnectionBytes = 8 << 10
	// SmallBytes is the largest request that counts as small.
	SmallBytes = 64 << 10
)

const (
	// defaultDescriptors applies if the limit of the machine is not known. Machines have 4,100 or more.
	defaultDescriptors = 4096
	// fileDescriptors are reserved for files, listeners and the connections to the registry; on machines with few
	// descriptors a quarter is.
	fileDescriptors = 200
	// daemonShare is the part of the connections that callers may not use, and minDaemonConnections its smallest size.
	daemonShare          = 0.125
	minDaemonConnections = 64
)

// Class is whose connection one is.
type Class string

// The classes of connections.
const (
	ClassCaller Class = "caller"
	// ClassDaemon is a connection that another daemon has opened.
	ClassDaemon Class = "daemon"
	// ClassOutgoing is a connection to a target or to another daemon.
	ClassOutgoing Class = "outgoing"
)

// Size is whether a request is small.
type Size string

// The sizes of requests.
const (
	SizeSmall Size = "small"
	SizeLarge Size = "large"
)

// SizeOf returns the size of a request of which n bytes are held.
func SizeOf(n int64) Size {
	if n <= SmallBytes {
		return SizeSmall
	}
	return SizeLarge
}

// Limits are the budgets of a daemon.
type Limits struct {
	peerBytes   int64
	heapBytes   int64
	connections int
	reserved    int
}

// NewLimits derives the budgets from the memory in MB and the file descriptors that the process may use; 0 if they are not known.
func NewLimits(memoryMB, descriptors int) Limits {
	l := Limits{peerBytes: defaultPeerBytes}
	if memoryMB > 0 {
		l.peerBytes = max(minPeerBytes, int64(peerShare*float64(memoryMB-baseMB)*megabyte))
		l.heapBytes = int64(heapShare * float64(memoryMB) * megabyte)
	}
	if descriptors <= 0 {
		descriptors = defaultDescriptors
	}
	l.connections = descriptors - min(fileDescriptors, descriptors/4)
	l.reserved = min(l.connections/2, max(minDaemonConnections, int(daemonShare*float64(l.connections))))
	return l
}

// PeerBytes is how much memory peers may make the daemon use.
func (l Limits) PeerBytes() int64 { return l.peerBytes }

// HeapBytes is the limit of the garbage collector; 0 for none.
func (l Limits) HeapBytes() int64 { return l.heapBytes }

// Connections returns how many connections all classes together may use.
func (l Limits) Connections() int { return l.connections }

// Callers returns how many connections callers may use.
func (l Limits) Callers() int { return l.connections - l.reserved }

// Admits reports whether a connection may be opened while a number of connections of its class, and of all classes, is open.
// Half of what callers may not use is left to connections to targets and other daemons, without which no request is served.
func (l Limits) Admits(c Class, ofClass, all int) bool {
	switch c {
	case ClassCaller:
		return ofClass < l.Callers() && all < l.connections-l.reserved/2
	case ClassDaemon:
		return all < l.connections-l.reserved/2
	default:
		return all < l.connections
	}
}

// Fits reports whether a peer may make the daemon hold n more bytes. used is what all peers hold.
func (l Limits) Fits(s Size, used, n int64) bool {
	available := l.peerBytes
	if s != SizeSmall {
		available -= int64(smallShare * float64(l.peerBytes))
	}
	return used+n <= available
}

// ReadAheadBytes is how much of one body may be held beyond what has been sent on.
func (l Limits) ReadAheadBytes() int64 { return l.peerBytes / 4 }
