package labcapacity

import (
	"os"
	"testing"

	"github.com/matryer/is"

	"basillift.dev/basilliftlab/labbench"
)

// Guards against a committed page that was edited by hand or not regenerated after a new
// recording of slopes.
func TestPageFollowsSlopes(t *testing.T) {
	is := is.New(t)
	slopes, err := labbench.LoadSlopes("../../docs/slopes.json")
	is.NoErr(err)
	page, err := Page(slopes)
	is.NoErr(err)
	committed, err := os.ReadFile("../../docs/CAPACITY.md")
	is.NoErr(err)
	is.True(page == string(committed)) // run make capacity
}

// Guards against a page with made-up figures when a slope is not recorded.
func TestMissingSlopes(t *testing.T) {
	is := is.New(t)
	_, err := Page(labbench.Slopes{})
	is.True(err != nil)
}
