// Package bltable is the routing table: which route takes a request, which service of a split route
// runs it, and what two tables differ in.
//
// A table is checked as a whole before it is used and never changes afterwards. Among the routes of a
// host, the one with the longest prefix of the path takes a request. A split route deals its requests to
// its services in the proportions of their weights, also over short periods.
//
// # Usage
//
//	table, err := bltable.Build(routing)
//	holder := bltable.NewHolder()
//	adopted, err := holder.Adopt(routing)   // refuses older versions and invalid tables
//	route, found := holder.Current().Match(host, path)
//	service := splitter.Pick(route)
package bltable
