package commander

import (
	"errors"
	"fmt"
	"io"
	"os"

	"celeryvalve/explainer"
	"celeryvalve/narrator"
)

// explainCommand prints the log lines about one request, upstream or declaration.
// It reads only log files and needs no control replica.
type explainCommand struct {
	Request  string   `help:"Id of a request, as its caller sent it." xor:"subject" required:""`
	Upstream string   `help:"Name of an upstream." xor:"subject" required:""`
	Declared string   `name:"declared" help:"Version of a declaration." xor:"subject" required:""`
	Logs     []string `arg:"" optional:"" help:"Logs of the processes; none reads standard input." type:"existingfile"`
}

// Run prints the lines in the order of their times.
func (c *explainCommand) Run(s *session) error {
	n := narrator.New(narrator.Subject{Request: c.Request, Upstream: c.Upstream, Version: c.Declared})
	if err := readLogs(n, c.Logs); err != nil {
		return err
	}
	story := n.Story()
	if len(story.Lines) == 0 {
		return explainer.New(explainer.NotFound, "no line of these logs names it",
			"name the logs of all processes at that time; lines of one message beyond 100 a second are thinned out")
	}
	return s.print(story, story.Text())
}

// overviewCommand prints the state of a deployment as its logs give it. It reads
// only log files and needs no control replica.
type overviewCommand struct {
	Logs []string `arg:"" optional:"" help:"Logs of the processes; none reads standard input." type:"existingfile"`
}

// Run prints the state at the end of the logs.
func (c *overviewCommand) Run(s *session) error {
	o := narrator.NewSummariser()
	if err := readLogs(o, c.Logs); err != nil {
		return err
	}
	overview := o.Overview()
	if overview.At.IsZero() {
		return explainer.New(explainer.NotFound, "the logs contain no log line", "name the logs of placed processes")
	}
	return s.print(overview, overview.Text())
}

// logReader reads log lines from r, which is called name in errors.
type logReader interface {
	Read(name string, r io.Reader) error
}

// readLogs reads the files, or standard input where there are none.
func readLogs(n logReader, names []string) error {
	if len(names) == 0 {
		return n.Read("standard input", os.Stdin)
	}
	for _, name := range names {
		if err := readLog(n, name); err != nil {
			return err
		}
	}
	return nil
}

func readLog(n logReader, name string) error {
	f, err := os.Open(name)
	if err != nil {
		return explainer.Wrap(err, explainer.NotFound, fmt.Sprintf("log %q can't be opened", name), "name a file that can be read")
	}
	return errors.Join(n.Read(name, f), f.Close())
}
