package blforwarder

import "sync"

const (
	// servedSmoothing is the smoothing factor of a route's served ratio. A single ratio may fluctuate, because a
	// target's daemon receives the ratios of many callers' daemons.
	servedSmoothing = 0.25
	// maxRouteStats bounds how many routes are kept. A further route replaces all of them.
	maxRouteStats = 4096
)

// routeStats keeps, for the requests of this daemon's own callers, the share of each route's recent requests that
// were served, i.e. not refused for overload, and which routes are nested calls of the VM's target.
type routeStats struct {
	mutex  sync.Mutex
	routes map[string]*routeStat
}

// routeStat is the state of one route.
type routeStat struct {
	servedRatio float64
	nestedCall  bool
}

func newRouteStats() *routeStats { return &routeStats{routes: make(map[string]*routeStat)} }

// observe records whether a request was served, and whether a target's daemon classified it as a nested call. A request
// that was not refused for overload counts as served, whatever its outcome.
func (rs *routeStats) observe(route string, served, nestedCall bool) {
	rs.mutex.Lock()
	defer rs.mutex.Unlock()
	stat := rs.routes[route]
	if stat == nil {
		if len(rs.routes) >= maxRouteStats {
			clear(rs.routes)
		}
		stat = &routeStat{servedRatio: 1}
		rs.routes[route] = stat
	}
	observed := 0.0
	if served {
		observed = 1
	}
	stat.servedRatio += (observed - stat.servedRatio) * servedSmoothing
	stat.nestedCall = nestedCall
}

// get returns the state of a route. The served ratio is 1 if nothing is known.
func (rs *routeStats) get(route string) routeStat {
	rs.mutex.Lock()
	defer rs.mutex.Unlock()
	if stat := rs.routes[route]; stat != nil {
		return *stat
	}
	return routeStat{servedRatio: 1}
}
