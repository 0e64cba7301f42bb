// Package blfault declares the fault matrix: what is expected when each fault that the
// design page lists happens at each step of a daemon's work, and which promises the pair
// could break. The table is data; the tests of this package run the cells that are marked
// as run against the deciding packages under virtual time.
//
// A cell is run, not run yet, or impossible with the reason. Only a cell that a test runs
// is marked as run.
//
// # Usage
//
//	for _, c := range blfault.Table() {
//		fmt.Println(c.Fault(), c.Step(), c.Verdict(), c.Expected())
//	}
//	page := blfault.Page()
//
// docs/fault-matrix.md is written by Page:
//
//	go test ./blfault -run TestPage -update
package blfault
