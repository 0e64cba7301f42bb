// Command lab2 plays one case of the independent review: it starts a small deployment of the project's daemon on loopback
// addresses, with stand-ins for the store, the servers and the clients, and checks one rule.
//
// The exit code is 0 if the rule held, 1 if it was broken, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(w *world, trouble bool) (broken bool, err error){
	"foreign-entry": foreignEntry,
	"clock-back":    clockBack,
	"weights":       weights,
	"route-name":    routeName,
	"cold-again":    coldAgain,
	"large-answer":  largeAnswer,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab2 CASE REPOSITORY RECORD")
		os.Exit(2)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0"))
}

func run(play func(*world, bool) (bool, error), root, record string, trouble bool) int {
	w, err := newWorld(root, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return 2
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		w.close()
		os.Exit(2)
	}()
	defer w.close()
	broken, err := play(w, trouble)
	if ended := w.ended(); err == nil && len(ended) > 0 {
		err = fmt.Errorf("daemons ended by themselves: %v", ended)
	}
	switch {
	case err != nil:
		w.say("could not run: %v", err)
		return 2
	case broken:
		w.say("RULE BROKEN")
		return 1
	}
	w.say("rule held")
	return 0
}
