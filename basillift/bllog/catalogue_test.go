package bllog

import (
	"bytes"
	"errors"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a docs/events.md that differs from the code.
func TestPage(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/events.md")
	is.NoErr(err)
	is.Equal(string(page), EventsPage())
}

// Guards against two entries with the same number.
func TestNumbersAreUnique(t *testing.T) {
	is := is.New(t)
	seen := map[int]bool{}
	for _, e := range Catalogue() {
		is.True(!seen[e.Number()])
		seen[e.Number()] = true
	}
}

// Guards against lines without the number of their entry and against lines below the log level.
func TestLogger(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	log, err := New(&out, "warn", "vm1")
	is.NoErr(err)
	log.Event(Started()).Send()
	is.Equal(out.String(), "")
	log.Failure(StartFailed(), errors.New("port in use"))
	is.True(strings.Contains(out.String(), `"event":103`))
	is.True(strings.Contains(out.String(), "port in use"))
	_, err = New(&out, "loud", "vm1")
	is.True(err != nil)
}
