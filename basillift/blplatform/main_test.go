package blplatform

import (
	"flag"
	"testing"

	"go.uber.org/goleak"
)

// TestMain fixes the seed of the rapid checks, so that a run can be repeated; -rapid.seed gives another.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		if err := f.Value.Set("1"); err != nil {
			panic(err)
		}
	}
	goleak.VerifyTestMain(m) // a watch that is given up must not stay behind
}
