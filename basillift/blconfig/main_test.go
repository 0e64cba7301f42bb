package blconfig

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the rapid checks, so that a run can be repeated; -rapid.seed gives another.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		if err := f.Value.Set("1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
