package labload

import (
	"os"
	"time"

	"github.com/mattn/go-isatty"
	"github.com/schollz/progressbar/v3"
)

// Progress shows a progress bar on standard error that counts results.
type Progress struct {
	bar  *progressbar.ProgressBar
	next Observer
}

// NewProgress returns an observer that counts results and passes them to next.
// expectedCalls is -1 if it is not known.
func NewProgress(expectedCalls int, next Observer) *Progress {
	refreshInterval := 200 * time.Millisecond
	if !isatty.IsTerminal(os.Stderr.Fd()) {
		// Without a terminal each refresh adds to the output instead of replacing the line.
		refreshInterval = 5 * time.Second
	}
	bar := progressbar.NewOptions(expectedCalls,
		progressbar.OptionSetWriter(os.Stderr), progressbar.OptionThrottle(refreshInterval),
		progressbar.OptionSetItsString("calls"), progressbar.OptionShowIts(), progressbar.OptionShowCount())
	return &Progress{bar: bar, next: next}
}

// Describe sets the text that is shown before the bar.
func (p *Progress) Describe(text string) { p.bar.Describe(text) }

// Observe counts a result and passes it to the next observer.
func (p *Progress) Observe(r Result) {
	p.next.Observe(r)
	// Showing progress is optional, so an error of the terminal must not stop the load.
	_ = p.bar.Add(1)
}

// Finish stops the progress bar and ends its line.
func (p *Progress) Finish() {
	_ = p.bar.Exit()
	_, _ = os.Stderr.WriteString("\n")
}
