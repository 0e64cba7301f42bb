package blfault

import (
	"flag"
	"os"
	"testing"

	"github.com/matryer/is"
)

var update = flag.Bool("update", false, "write docs/fault-matrix.md")

const pagePath = "../../docs/fault-matrix.md"

// Guards against a docs page that differs from the table.
func TestPage(t *testing.T) {
	is := is.New(t)
	if *update {
		is.NoErr(os.WriteFile(pagePath, []byte(Page()), 0o600))
	}
	data, err := os.ReadFile(pagePath)
	is.NoErr(err)
	is.True(string(data) == Page()) // run with -update
}

// Guards against a fault and step without an expected outcome or a reason.
func TestTableIsComplete(t *testing.T) {
	is := is.New(t)
	seen := map[Fault]int{}
	for _, c := range Table() {
		seen[c.Fault()]++
		if c.Expected() == "" {
			t.Errorf("%s, %s: no outcome", c.Fault(), c.Step())
		}
		if (len(c.Promises()) == 0) != (c.Coverage() == CoverageImpossible) {
			t.Errorf("%s, %s: only a cell that cannot occur may have no promises", c.Fault(), c.Step())
		}
	}
	is.Equal(len(seen), 20)
	for _, n := range seen {
		is.Equal(n, len(Steps()))
	}
}
