package blconfig

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets the seed of the rapid checks to 1, so that runs are reproducible.
// The flag -rapid.seed overrides it.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		if err := f.Value.Set("1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
