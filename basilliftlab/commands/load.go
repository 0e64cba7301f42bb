package commands

import (
	"context"
	"fmt"
	"time"

	"basillift.dev/basilliftlab/labload"
)

const loadHelp = `Sends calls at a set rate and verifies each answer.

Calls are sent at their intended times whatever the answers do. Each answer
must be the whole answer to its own request. A target can take the place of a
daemon.

Example:
  basilliftlab load --to 127.0.1.1:7100 --to 127.0.1.2:7100 \
    --service catalogue --customer kobuleti --rate 500 --duration 10s
`

type loadCommand struct {
	ctx      context.Context
	To       []string      `long:"to" value-name:"IP:PORT" required:"true" description:"caller address of a daemon (repeatable)"`
	Service  []string      `long:"service" required:"true" description:"service to call (repeatable)"`
	Customer []string      `long:"customer" required:"true" description:"customer in whose name calls are sent (repeatable)"`
	Rate     float64       `long:"rate" default:"100" description:"calls/s"`
	Duration time.Duration `long:"duration" default:"10s" description:"time during which calls are sent"`
	Mix      string        `long:"mix" default:"get=70,keyed=10,post=17,upload=3" description:"weights of the kinds"`
	Repeat   float64       `long:"repeat" default:"0.1" description:"share of keyed calls that are sent again with their key"`
	Upload   int           `long:"upload" default:"1048576" description:"bytes of an upload"`
	Timeout  time.Duration `long:"timeout" default:"10s" description:"time limit of each call"`
	Seed     int64         `long:"seed" default:"1" description:"seed of the calls"`
}

func newLoadCommand(ctx context.Context) command {
	return command{"load", "Send calls and verify the answers", loadHelp, &loadCommand{ctx: ctx}}
}

// Execute implements flags.Commander.
func (c *loadCommand) Execute([]string) error {
	mix, err := labload.ParseMix(c.Mix)
	if err != nil {
		return fmt.Errorf("--mix: %w: %w", err, errUsage)
	}
	if c.Rate <= 0 || c.Duration <= 0 || c.Upload < 1 || c.Timeout <= 0 {
		return fmt.Errorf("--rate, --duration, --upload and --timeout must be above 0: %w", errUsage)
	}
	options := labload.NewOptions(c.To, c.Service, c.Customer).WithRate(c.Rate).WithMix(mix, c.Repeat).
		WithUpload(c.Upload).WithTimeout(c.Timeout).WithSeed(c.Seed)
	tally := labload.NewTally()
	progress := labload.NewProgress(int(c.Rate*c.Duration.Seconds()), tally)
	ctx, cancel := context.WithTimeout(c.ctx, c.Duration)
	defer cancel()
	labload.NewGenerator(options, progress, time.Now()).Run(ctx)
	progress.Finish()
	return reportLoad(tally)
}

func reportLoad(t *labload.Tally) error {
	fmt.Println(t.Table())
	for _, d := range t.Details() {
		fmt.Println(d)
	}
	lost := t.Count(labload.VerdictLost, labload.VerdictCut, labload.VerdictSkipped)
	wrong := t.Count(labload.VerdictWrong)
	line := fmt.Sprintf("calls=%d answered=%d refused=%d unknown=%d unreached=%d lost=%d wrong=%d p50_ms=%.2f p99_ms=%.2f",
		t.Calls(), t.Count(labload.VerdictAnswered), t.Count(labload.VerdictRefused), t.Count(labload.VerdictUnknown),
		t.Count(labload.VerdictUnreached), lost, wrong,
		float64(t.Percentile(50))/float64(time.Millisecond), float64(t.Percentile(99))/float64(time.Millisecond))
	if lost+wrong > 0 {
		fmt.Println("load failed:", line)
		return fmt.Errorf("%d calls lost, %d wrong: %w", lost, wrong, errFailed)
	}
	fmt.Println("load ok:", line)
	return nil
}
