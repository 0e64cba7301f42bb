package blrendezvous

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// Guards against a join that moves keys between other members, and against an
// uneven division of keys.
func TestTop(t *testing.T) {
	is := is.New(t)
	var members []string
	for i := range 12 {
		members = append(members, fmt.Sprintf("vm-%02d", i))
	}
	wins := make(map[string]int)
	for k := range 12_000 {
		key := Key("kobuleti", fmt.Sprint(k))
		before, after := Top(key, members[:11], 1)[0], Top(key, members, 1)[0]
		is.True(after == before || after == "vm-11")
		wins[after]++
	}
	for _, m := range members {
		is.True(wins[m] > 850 && wins[m] < 1150) // 1,000 expected, 5 standard deviations
	}
}
