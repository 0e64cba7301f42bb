// Package blfault declares the fault matrix. It has a cell for each fault of the design page
// at each step of a daemon's work, with the expected outcome and the promises that the fault
// could break there. The table holds data only. The tests of this package run the cells in
// virtual time against the packages that make the daemon's decisions, without a network.
//
// The coverage of a cell is run, not run yet, or cannot occur; the last one comes with the
// reason. A cell is marked as run only if a test runs it.
//
// # Usage
//
//	for _, c := range blfault.Table() {
//		fmt.Println(c.Fault(), c.Step(), c.Coverage(), c.Expected())
//	}
//	page := blfault.Page()
//
// Page returns the text of docs/fault-matrix.md. To write the file:
//
//	go test ./blfault -run TestPage -update
package blfault
