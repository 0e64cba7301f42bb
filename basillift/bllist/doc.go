// Package bllist implements the format of the lists customers and plans, which
// operators edit on the platform, and of the platform's own list of VMs. It decodes
// them strictly, validates them, splits lists above the platform's size limit into
// parts, and assembles the values read from the platform into one consistent
// version.
//
// Operators (basilliftctl check) and daemons use the same validator, so the mesh
// never refuses a list that passes the check. The validator reports all problems at
// once, up to MaxProblems. A list with any problem is refused as a whole.
//
// # Usage
//
// A daemon passes the values that it read, including all parts:
//
//	read, err := bllist.Assemble(values...)
//	if invalid, ok := errors.AsType[*bllist.InvalidError](err); ok {
//		for _, p := range invalid.Problems() {
//			...
//		}
//	}
//	if errors.Is(err, bllist.ErrInconsistent) {
//		// The list changed between the reads: read again.
//	}
//	version, lists := read.Version(), read.Lists()
//
// A tool that publishes lists splits them first and writes the entries in the
// returned order:
//
//	entries, err := bllist.Split(lists, bllist.MaxValueBytes)
package bllist

//go:generate go -C ../../tools tool go-jsonschema --only-models --tags json --capitalization VM -t -p bllist -o ../basillift/bllist/customers_gen.go ../schema/customers.json
//go:generate go -C ../../tools tool go-jsonschema --only-models --tags json --capitalization VM -t -p bllist -o ../basillift/bllist/plans_gen.go ../schema/plans.json
//go:generate go -C ../../tools tool go-jsonschema --only-models --tags json --capitalization VM -t -p bllist -o ../basillift/bllist/vms_gen.go ../schema/vms.json
