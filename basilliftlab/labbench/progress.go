package labbench

import (
	"os"
	"time"

	"github.com/mattn/go-isatty"
	"github.com/schollz/progressbar/v3"
)

// stepsPerTrial is the number of steps that one trial reports: start, settled, rest and
// each kind of change.
const stepsPerTrial = 3 + 4

// progress is a progress bar on standard error.
type progress struct{ bar *progressbar.ProgressBar }

func newProgress(trials int) *progress {
	refreshInterval := 200 * time.Millisecond
	if !isatty.IsTerminal(os.Stderr.Fd()) {
		// Without a terminal, each refresh stays in the output.
		refreshInterval = 10 * time.Second
	}
	return &progress{bar: progressbar.NewOptions(trials*stepsPerTrial,
		progressbar.OptionSetWriter(os.Stderr), progressbar.OptionThrottle(refreshInterval), progressbar.OptionShowCount())}
}

// step advances the bar. A failed write to the terminal must not end the run.
func (p *progress) step() { _ = p.bar.Add(1) }

func (p *progress) describe(text string) { p.bar.Describe(text) }

func (p *progress) finish() {
	_ = p.bar.Exit()
	_, _ = os.Stderr.WriteString("\n")
}
