package blconfig

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// Guards against a report to operators that omits a service that a customer gains
// or loses.
func TestChanges(t *testing.T) {
	is := is.New(t)
	from := snapshot(t, 5, map[string]string{"batumi": "full", "gori": "basic", "kobuleti": "basic", "poti": "full"})
	to := snapshot(t, 6, map[string]string{"batumi": "basic", "gori": "basic", "kobuleti": "full", "zugdidi": "basic"})
	var got []string
	for _, c := range Changes(from, to) {
		got = append(got, fmt.Sprint(c.Customer(), " ", c.Gained(), c.Lost(), c.LimitsChanged()))
	}
	is.Equal(got, []string{
		"batumi [] [gallery reservations] true",
		"kobuleti [gallery reservations] [] true",
		"poti [] [catalogue gallery reservations] false",
		"zugdidi [catalogue] [] false",
	})
}
