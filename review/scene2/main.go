//go:build review

package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// caseLimit is below the 120 s that a script may take.
const caseLimit = 115 * time.Second

// The results of a case, which are the exit codes of its script.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// cases are the scripted cases by name.
var cases = map[string]func(*world) int{
	"departure":    departure,
	"firststart":   firstStart,
	"replacements": replacements,
	"successor":    successor,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: scene2 CASE FOLDER")
		os.Exit(cannotRun)
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cannotRun)
	}
	// Nothing is left running if the case takes too long or is interrupted.
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	results := make(chan int, 1)
	go func() { results <- cases[os.Args[1]](w) }()
	result := cannotRun
	select {
	case result = <-results:
	case <-signals:
	case <-time.After(caseLimit):
		w.note("the case took longer than %v", caseLimit)
	}
	w.note("result: %s", map[int]string{held: "the rule held", broken: "the rule was broken", cannotRun: "the case could not run"}[result])
	w.close()
	os.Exit(result)
}
