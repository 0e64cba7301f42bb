package labload

import (
	"os"
	"time"

	"github.com/mattn/go-isatty"
	"github.com/schollz/progressbar/v3"
)

// Progress shows a line on standard error that counts results.
type Progress struct {
	bar  *progressbar.ProgressBar
	next Observer
}

// NewProgress returns an observer that counts and passes results on. Expected is
// the number of calls, or -1 when it is not known.
func NewProgress(expected int, next Observer) *Progress {
	pause := 200 * time.Millisecond
	if !isatty.IsTerminal(os.Stderr.Fd()) {
		// Without a terminal each refresh stays visible.
		pause = 5 * time.Second
	}
	bar := progressbar.NewOptions(expected,
		progressbar.OptionSetWriter(os.Stderr), progressbar.OptionThrottle(pause),
		progressbar.OptionSetItsString("calls"), progressbar.OptionShowIts(), progressbar.OptionShowCount())
	return &Progress{bar: bar, next: next}
}

// Describe names what is going on now.
func (p *Progress) Describe(text string) { p.bar.Describe(text) }

// Observe counts a result and passes it on.
func (p *Progress) Observe(r Result) {
	p.next.Observe(r)
	// The bar only shows; an error of the terminal must not end the load.
	_ = p.bar.Add(1)
}

// Finish ends the line.
func (p *Progress) Finish() {
	_ = p.bar.Exit()
	_, _ = os.Stderr.WriteString("\n")
}
