package assembler

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"go.uber.org/dig"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
	"go.uber.org/zap"

	"celeryvalve/explainer"
	"celeryvalve/parser"
	"celeryvalve/placer"
	"celeryvalve/platform"
	"celeryvalve/versioner"
)

const (
	startTimeout = 30 * time.Second
	// unlimitedDrain is the stop timeout if the settings have no drain deadline.
	unlimitedDrain = 100 * 365 * 24 * time.Hour
	// stopGrace is how long stopping may take after the drain deadline.
	stopGrace = 10 * time.Second

	exitDone    = 0
	exitFailed  = 1
	exitInvalid = 2
)

type commandLine struct {
	Settings       string           `help:"Settings file in TOML. Without one, the defaults run all three roles on loopback." type:"path" short:"s" xor:"settings"`
	Placed         bool             `help:"Run as the platform places the process: read its settings from the file that the platform names." xor:"settings"`
	Keys           string           `help:"Folder of the keys of a placed process." type:"path" default:"target/keys"`
	PlacedSettings string           `help:"Settings file in TOML of a placed process, for what the platform does not say." type:"path"`
	PrintSettings  bool             `help:"Print the settings in force and exit."`
	Build          kong.VersionFlag `help:"Print the version and build of this program."`
}

// Run starts the daemon and returns its exit code: 0 after a drain, 1 after a
// failure, 2 for bad settings or usage.
func Run(args []string, w, stderr io.Writer) int {
	var line commandLine
	code := -1
	p, err := kong.New(&line,
		kong.Name("celeryvalved"),
		kong.Description("The celeryvalve daemon: takes requests, keeps the replicated state, stands beside an upstream, as its settings say."),
		kong.Vars{"version": versioner.Text("celeryvalved")},
		kong.Writers(w, stderr),
		kong.Exit(func(status int) { code = status }),
	)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailed
	}
	_, err = p.Parse(args)
	if code >= 0 {
		return code
	}
	if err != nil {
		fmt.Fprintf(stderr, "celeryvalved: %v (see celeryvalved --help)\n", err)
		return exitInvalid
	}
	if line.Placed {
		return runPlaced(line.Keys, line.PlacedSettings, w, stderr)
	}
	settings, err := readSettings(line.Settings)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitInvalid
	}
	if line.PrintSettings {
		fmt.Fprintf(w, "%s", parser.FormatSettings(settings))
		return exitDone
	}
	if err := serve(settings, stderr); err != nil {
		fmt.Fprintf(stderr, "celeryvalved: %v\n", rootCause(err))
		return exitFailed
	}
	return exitDone
}

// runPlaced runs the daemon with the settings file that the platform names, and returns
// its exit code.
func runPlaced(keys, settingsPath string, w, stderr io.Writer) int {
	read := func() (parser.Placement, error) { return platform.ReadPlacement(os.Getenv(platform.SettingsVariable)) }
	placement, err := read()
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitInvalid
	}
	settings, err := readPlacedSettings(settingsPath)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitInvalid
	}
	if err := placer.Run(placer.Options{Keys: keys, Settings: settings, Reload: read}, placement, w); err != nil {
		fmt.Fprintf(stderr, "celeryvalved: %v\n", rootCause(err))
		return exitFailed
	}
	return exitDone
}

func readPlacedSettings(path string) (parser.PlacedSettings, error) {
	if path == "" {
		return parser.PlacedSettings{}, nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return parser.PlacedSettings{}, explainer.Wrap(err, explainer.NotFound, "can't read the settings", "name an existing file with --placed-settings")
	}
	return parser.ParsePlacedSettings(path, data)
}

// rootCause returns the cause of a failed construction, without the chain of constructors
// that dig wraps around it.
func rootCause(err error) error {
	return dig.RootCause(err)
}

func readSettings(path string) (parser.Settings, error) {
	if path == "" {
		return parser.DefaultSettings(), nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return parser.Settings{}, explainer.Wrap(err, explainer.NotFound, "can't read the settings", "name an existing file with --settings")
	}
	return parser.ParseSettings(path, data)
}

// serve runs the daemon until the first signal and then drains it. Later signals are
// caught and ignored: requests are cut off only by the drain deadline of the settings.
func serve(settings parser.Settings, stderr io.Writer) error {
	limitProcessors(settings)
	limitMemory(settings)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	logger := newLogger(settings.Log, stderr).With(zap.String("process", settings.Name))
	app := fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(stopTimeout(settings)),
		options(settings, logger),
	)
	if err := app.Err(); err != nil {
		return err
	}
	startCtx, cancelStart := context.WithTimeout(context.Background(), startTimeout)
	defer cancelStart()
	if err := app.Start(startCtx); err != nil {
		return err
	}
	logger.Info("Started.", zap.String("build", versioner.Text("celeryvalved")))
	received := <-signals
	logger.Info("Draining.", zap.Stringer("signal", received))
	stopCtx, cancelStop := context.WithTimeout(context.Background(), stopTimeout(settings))
	defer cancelStop()
	err := app.Stop(stopCtx)
	logger.Info("Stopped.", zap.Error(err))
	return err
}

func stopTimeout(settings parser.Settings) time.Duration {
	if settings.Drain.Deadline == 0 {
		return unlimitedDrain
	}
	return settings.Drain.Deadline + stopGrace
}
