//go:build review

package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a script.
const (
	held   = 0
	broken = 1
	failed = 2
)

// timeLimit is below the 120 s that a script may take.
const timeLimit = 115 * time.Second

// cases plays a case and reports whether its rule was broken.
var cases = map[string]func(f *fleet, trouble bool) (bool, error){
	"late-heartbeat": lateHeartbeat,
	"leaver":         leavingConsumers,
	"header-limit":   headerLimit,
	"acked-leave":    ackedLeave,
}

func main() {
	name := flag.String("case", "", "name of the case")
	root := flag.String("root", ".", "folder of the repository")
	folder := flag.String("folder", ".", "folder of the record")
	plain := flag.Int("plain", 3, "machines without a disk")
	trouble := flag.Bool("trouble", true, "play the disruption")
	flag.Parse()
	os.Exit(run(*name, *root, *folder, *plain, *trouble))
}

func run(name, root, folder string, plain int, trouble bool) int {
	play, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		return failed
	}
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer rec.close()
	f, err := newFleet(root, rec, plain)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer f.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	type ending struct {
		broken bool
		err    error
	}
	done := make(chan ending, 1)
	go func() {
		isBroken, err := play(f, trouble)
		done <- ending{isBroken, err}
	}()
	select {
	case o := <-done:
		switch {
		case o.err != nil:
			rec.add("result", "the case could not run: %v", o.err)
			fmt.Println("the case could not run:", o.err)
			return failed
		case o.broken:
			fmt.Println("the rule was broken")
			return broken
		}
		fmt.Println("the rule held")
		return held
	case <-time.After(timeLimit):
		fmt.Println("the case took too long")
	case <-signals:
	}
	return failed
}
