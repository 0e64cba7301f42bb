package main

import (
	"fmt"
	"os"
	"time"
)

// longestRun ends a case that hangs.
const longestRun = 110 * time.Second

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitCannot = 2
)

// result is the outcome of a case.
type result struct {
	broken bool
	text   string
}

var cases = map[string]func(w *world) (result, error){
	"expect":     caseExpect,
	"gone":       caseGone,
	"limits":     caseLimits,
	"shadow":     caseShadow,
	"connection": caseConnection,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: reviewlab CASE FOLDER")
		return exitCannot
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "reviewlab:", err)
		return exitCannot
	}
	defer w.close()
	time.AfterFunc(longestRun, func() {
		fmt.Fprintln(os.Stderr, "reviewlab: the case takes too long")
		w.close()
		os.Exit(exitCannot)
	})
	r, err := cases[os.Args[1]](w)
	if err != nil {
		w.logf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "reviewlab:", err)
		return exitCannot
	}
	verdict, code := "held", exitHeld
	if r.broken {
		verdict, code = "broken", exitBroken
	}
	w.logf("verdict: rule %s: %s", verdict, r.text)
	fmt.Printf("rule %s: %s\n", verdict, r.text)
	return code
}
