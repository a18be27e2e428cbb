package commander

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/alecthomas/kong"
	"github.com/jonboulle/clockwork"

	"celeryvalve/explainer"
	"celeryvalve/versioner"
)

// The exit codes of the command line.
const (
	ExitDone        = 0
	ExitFailed      = 1
	ExitInvalid     = 2
	ExitConflict    = 3
	ExitDenied      = 4
	ExitNotFound    = 5
	ExitUnavailable = 6
)

// commandLine is every command with its flags.
type commandLine struct {
	Output  string           `help:"Form of the output: text for people, json for programs." enum:"text,json" default:"text"`
	Version kong.VersionFlag `name:"build" help:"Print the version and build of this program."`

	Keys keysCommand `cmd:"" help:"Make, issue, renew and rotate the keys of processes and operators."`
}

// session is what a command runs with.
type session struct {
	w      io.Writer
	stderr io.Writer
	clock  clockwork.Clock
	output string
}

// print writes text, or the value as JSON when that was asked for.
func (s *session) print(value any, text string) error {
	if s.output == "json" {
		enc := json.NewEncoder(s.w)
		enc.SetIndent("", "  ")
		return enc.Encode(value)
	}
	_, err := fmt.Fprint(s.w, text)
	return err
}

// Run carries out one command line and returns the exit code.
func Run(args []string, w, stderr io.Writer, clock clockwork.Clock) int {
	var line commandLine
	code := -1
	parser, err := kong.New(&line,
		kong.Name("celeryvalve"),
		kong.Description("Operate celeryvalve: submit patches, see what runs where, follow transfers."),
		kong.Vars{"version": versioner.Text("celeryvalve")},
		kong.Writers(w, stderr),
		kong.Exit(func(status int) { code = status }),
	)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailed
	}
	ctx, err := parser.Parse(args)
	if code >= 0 {
		return code
	}
	if err != nil {
		fmt.Fprintf(stderr, "celeryvalve: %v (see celeryvalve --help)\n", err)
		return ExitInvalid
	}
	err = ctx.Run(&session{w: w, stderr: stderr, clock: clock, output: line.Output})
	if err != nil {
		fmt.Fprintf(stderr, "celeryvalve: %v\n", err)
	}
	return exitCode(err)
}

func exitCode(err error) int {
	if err == nil {
		return ExitDone
	}
	var known *explainer.Error
	if !errors.As(err, &known) {
		return ExitFailed
	}
	switch known.Kind {
	case explainer.InvalidInput:
		return ExitInvalid
	case explainer.Conflict, explainer.Fenced:
		return ExitConflict
	case explainer.Denied:
		return ExitDenied
	case explainer.NotFound:
		return ExitNotFound
	case explainer.Unavailable:
		return ExitUnavailable
	default:
		return ExitFailed
	}
}
