//go:build review

package main

import (
	"fmt"
	"os"
)

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
	result := cases[os.Args[1]](w)
	w.note("result: %s", map[int]string{held: "the rule held", broken: "the rule was broken", cannotRun: "the case could not run"}[result])
	w.close()
	os.Exit(result)
}
