package labcapacity

import "math"

// The size that the design must handle, from the design page.
const (
	daemonCount        = 1200
	domainCount        = 7
	serviceCount       = 70
	callsPerSecond     = 110_000
	maxCallDepth       = 23
	changesPerDay      = 2600
	failuresPerDay     = 3
	replacementsPerDay = 74
	secondsPerDay      = 86_400
	customerCount      = 10_000
	treeFanOut         = 8
	readersPerDomain   = 2
	// maxConnections is blrpc's limit on the connections of a daemon.
	maxConnections = 96
	// readerCount is the number of daemons that read the platform.
	readerCount = domainCount * readersPerDomain
	// daemonsPerRack is the number of daemons behind one rack or switch: a fifth of a
	// failure domain. The design page gives no number.
	daemonsPerRack = 34
	bytesPerMB     = 1e6
)

// The bounds and goals of the design page.
const (
	maxConvergenceMs           = 3000.0
	goalConvergenceMs          = 1000.0
	goalSmallMeshConvergenceMs = 300.0
	maxControlBytesPerSecond   = 10_000.0
	goalControlBytesPerSecond  = 1000.0
	maxCPUPercent              = 1.2
	maxMemoryMB                = 256.0
	goalDeltaRatio             = 1.5
	maxPlatformCallsPerSecond  = 2000.0
)

func daemonsPerDomain() int { return int(math.Ceil(float64(daemonCount) / domainCount)) }

// treeDepth is the depth of a failure domain's tree.
func treeDepth() int {
	covered, levelSize, depth := 1, 1, 0
	for covered < daemonsPerDomain() {
		levelSize *= treeFanOut
		covered += levelSize
		depth++
	}
	return depth
}
