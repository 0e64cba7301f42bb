// Package bltable implements the routing table: it selects the route of a request and the service of a split route,
// and compares two tables. It reads and writes the file that operators edit, and the deltas that daemons send each
// other.
//
// A table is validated as a whole before it is used and is immutable afterwards. Among the routes of a host, the one
// with the longest prefix of the path is selected. A split route distributes its requests over its services in
// proportion to their weights, also over short periods.
//
// # Usage
//
//	table, err := bltable.Build(routing)
//	holder := bltable.NewHolder()
//	adopted, err := holder.Adopt(routing)   // ignores older versions and refuses invalid tables
//	route, found := holder.Current().Match(host, path)
//	service := splitter.Pick(route)
package bltable
