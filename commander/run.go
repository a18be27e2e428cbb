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
	ExitOK           = 0
	ExitFailed       = 1
	ExitInvalidInput = 2
	ExitConflict     = 3
	ExitDenied       = 4
	ExitNotFound     = 5
	ExitUnavailable  = 6
)

// commandLine declares the global flags and all commands.
type commandLine struct {
	Output string           `help:"Form of the output: text for people, json for programs." enum:"text,json" default:"text"`
	Build  kong.VersionFlag `help:"Print the version and build of this program."`

	Control    []string `help:"URLs of the operators' API on the control replicas." default:"https://127.0.0.1:7402" env:"CELERYVALVE_CONTROL"`
	KeysFolder string   `name:"keys" help:"Folder of the operator's key." default:"keys" type:"path" env:"CELERYVALVE_KEYS"`
	Name       string   `help:"Name of the operator in the key." default:"operator" env:"CELERYVALVE_NAME"`

	Keys       keysCommand       `cmd:"" help:"Make, issue, renew and rotate the keys of processes and operators."`
	Validate   validateCommand   `cmd:"" help:"Check a settings or patch file and list every fault."`
	Patch      patchCommand      `cmd:"" help:"Change the configuration and look at its versions."`
	Version    versionCommand    `cmd:"" help:"Show which version is in force, where, and who lags."`
	Services   servicesCommand   `cmd:"" help:"List the services and how many upstreams are ready."`
	Upstreams  upstreamsCommand  `cmd:"" help:"List every upstream."`
	Wait       waitCommand       `cmd:"" help:"Wait until a service is ready."`
	Transfers  transfersCommand  `cmd:"" help:"Follow the weights on every instance."`
	Report     reportCommand     `cmd:"" help:"Show the service-level objectives and how fast their budgets burn."`
	Quarantine quarantineCommand `cmd:"" help:"List and clear requests that crashed upstreams."`
	Explain    explainCommand    `cmd:"" help:"Tell the story of a request, an upstream or a declaration from the logs of placed processes."`
	Overview   overviewCommand   `cmd:"" help:"Show from the logs of placed processes what is in force and where, who leads, what is repaired, and which upstreams are set aside."`
	Route      routeCommand      `cmd:"" help:"Say where a request would go now and why, without sending it. Asks placed entries."`
	Replica    replicaCommand    `cmd:"" help:"List, admit and remove control replicas."`
}

// session holds the outputs, the clock and the global flags for one command.
type session struct {
	w      io.Writer
	stderr io.Writer
	clock  clockwork.Clock
	output string
	line   *commandLine
}

// print writes the value as JSON with --output json, and otherwise the text.
func (s *session) print(value any, text string) error {
	if s.output == "json" {
		enc := json.NewEncoder(s.w)
		enc.SetIndent("", "  ")
		return enc.Encode(value)
	}
	_, err := fmt.Fprint(s.w, text)
	return err
}

// Run executes one command line and returns the exit code. Args leaves out the name
// of the program.
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
		return ExitInvalidInput
	}
	err = ctx.Run(&session{w: w, stderr: stderr, clock: clock, output: line.Output, line: &line})
	if err != nil {
		fmt.Fprintf(stderr, "celeryvalve: %v\n", err)
	}
	return exitCode(err)
}

// exitCode maps the kind of an error to an exit code.
func exitCode(err error) int {
	if err == nil {
		return ExitOK
	}
	var explained *explainer.Error
	if !errors.As(err, &explained) {
		return ExitFailed
	}
	switch explained.Kind {
	case explainer.InvalidInput:
		return ExitInvalidInput
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
