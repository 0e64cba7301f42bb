// Package bllist holds the format of the lists that operators edit on the
// platform: the lists customers and plans, and the platform's own list of VMs.
// It decodes them strictly, validates them, splits lists above the platform's
// limit into parts, and assembles the values read from the platform into one
// consistent version.
//
// The same validator serves operators (basilliftctl check) and daemons, so that
// a list that passes the check is never refused by the mesh. It reports all
// problems at once, up to MaxProblems; a list with any problem is refused as a
// whole.
//
// # Usage
//
// A daemon hands over the values that it read, parts included:
//
//	cut, err := bllist.Assemble(values...)
//	if invalid, ok := errors.AsType[*bllist.InvalidError](err); ok {
//		for _, p := range invalid.Problems() {
//			...
//		}
//	}
//	if errors.Is(err, bllist.ErrInconsistent) {
//		// The list changed between the reads: read again.
//	}
//	version, lists := cut.Version(), cut.Lists()
//
// A tool that writes lists splits them first and writes the entries in the
// returned order:
//
//	entries, err := bllist.Split(lists, bllist.MaxValue)
package bllist

//go:generate go -C ../../tools tool go-jsonschema --only-models --tags json --capitalization VM -t -p bllist -o ../basillift/bllist/customers_gen.go ../schema/customers.json
//go:generate go -C ../../tools tool go-jsonschema --only-models --tags json --capitalization VM -t -p bllist -o ../basillift/bllist/plans_gen.go ../schema/plans.json
//go:generate go -C ../../tools tool go-jsonschema --only-models --tags json --capitalization VM -t -p bllist -o ../basillift/bllist/vms_gen.go ../schema/vms.json
