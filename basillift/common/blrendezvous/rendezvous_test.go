package blrendezvous

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// Guards against a joining member that causes keys to move between other members, and
// against an uneven distribution of keys.
func TestTop(t *testing.T) {
	is := is.New(t)
	var members []string
	for i := range 12 {
		members = append(members, fmt.Sprintf("vm-%02d", i))
	}
	keyCounts := make(map[string]int)
	for k := range 12_000 {
		key := Key("kobuleti", fmt.Sprint(k))
		before, after := Top(key, members[:11], 1)[0], Top(key, members, 1)[0]
		is.True(after == before || after == "vm-11")
		keyCounts[after]++
	}
	for _, m := range members {
		is.True(keyCounts[m] > 850 && keyCounts[m] < 1150) // expected value 1,000, tolerance 5 standard deviations
	}
}
