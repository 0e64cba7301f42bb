// Package labcapacity derives docs/CAPACITY.md from recorded slopes: the memory, the
// traffic and the CPU time of each role at the size that the design must handle.
//
// # Usage
//
//	slopes, err := labbench.LoadSlopes("docs/slopes.json")
//	page, err := labcapacity.Page(slopes)
//
// Each figure of the page is derived from a measured figure, whose points, line and
// residual the page prints. A line with r² of at least 0.9 is extrapolated to the design
// size. Otherwise the page uses the largest measured value or, for a figure that falls with
// the size, the value at the largest size, and says so. A test fails when the committed page
// differs from what the committed slopes give.
package labcapacity
