package labbench

import (
	"os"
	"time"

	"github.com/mattn/go-isatty"
	"github.com/schollz/progressbar/v3"
)

// stepsOfTrial is the number of steps that one trial reports: start, settled, rest and
// each kind of change.
const stepsOfTrial = 3 + 4

// progress shows a line on standard error.
type progress struct{ bar *progressbar.ProgressBar }

func newProgress(trials int) *progress {
	wait := 200 * time.Millisecond
	if !isatty.IsTerminal(os.Stderr.Fd()) {
		// Without a terminal each refresh stays visible.
		wait = 10 * time.Second
	}
	return &progress{bar: progressbar.NewOptions(trials*stepsOfTrial,
		progressbar.OptionSetWriter(os.Stderr), progressbar.OptionThrottle(wait), progressbar.OptionShowCount())}
}

// The bar only shows; an error of the terminal must not end the run.
func (p *progress) step() { _ = p.bar.Add(1) }

func (p *progress) describe(text string) { p.bar.Describe(text) }

func (p *progress) finish() {
	_ = p.bar.Exit()
	_, _ = os.Stderr.WriteString("\n")
}
