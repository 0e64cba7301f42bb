// Package labcapacity derives docs/CAPACITY.md from recorded slopes: what each role
// stores, sends and spends at the size that the design must handle.
//
// # Usage
//
//	slopes, err := labbench.LoadSlopes("docs/slopes.json")
//	page, err := labcapacity.Page(slopes)
//
// Each figure of the page is worked out from a measured figure, whose points, line and
// residual the page prints. A line with r² of at least 0.9 is carried to the size of the
// page; otherwise the largest measured value stands, and the page says so. A test fails
// when the committed page differs from what the committed slopes give.
package labcapacity
