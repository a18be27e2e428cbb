// Command standin plays the outside systems that the product deals with.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
)

// commands are the stand-ins, one command each.
type commands struct {
	Engine   engineCommand   `cmd:"" help:"Play model engines."`
	Service  serviceCommand  `cmd:"" help:"Play plain services, whose bookings must not be repeated."`
	Origin   originCommand   `cmd:"" help:"Play the origin of weights, with its rate limit."`
	Link     linkCommand     `cmd:"" help:"Forward TCP and UDP with a rate, a delay and faults."`
	Load     loadCommand     `cmd:"" help:"Play callers and print what they saw as JSON."`
	Check    checkCommand    `cmd:"" help:"Compare what callers saw with what stand-ins ran."`
	Request  requestCommand  `cmd:"" help:"Send one request and print its answer."`
	Runs     runsCommand     `cmd:"" help:"Print how many runs a stand-in made."`
	Counters countersCommand `cmd:"" help:"Print what was read from an origin."`
	Wait     waitCommand     `cmd:"" help:"Wait until engines serve a version and print when they did."`
	Fetch    fetchCommand    `cmd:"" help:"Fetch copies straight from an origin, as a baseline."`
	Weights  weightsCommand  `cmd:"" help:"Write pseudo-random weights with their manifest and print the manifest's digest."`
}

// environment is what every command is run with.
type environment struct {
	ctx   context.Context
	clock clockwork.Clock
	log   *zap.Logger
	out   *os.File
}

func main() {
	var c commands
	k := kong.Parse(&c, kong.Name("standin"),
		kong.Description("Stand-ins of outside systems for demos, tests and measurements."),
		kong.UsageOnError())
	log, err := zap.NewProduction()
	k.FatalIfErrorf(err)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err = k.Run(&environment{ctx: ctx, clock: clockwork.NewRealClock(), log: log, out: os.Stdout})
	k.FatalIfErrorf(err)
}
