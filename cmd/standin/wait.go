package main

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"celeryvalve/explainer"
	"celeryvalve/identifier"
	"celeryvalve/imitator"
)

// statePause is the time between two looks at an engine's state.
const statePause = 50 * time.Millisecond

type waitCommand struct {
	addresses `embed:""`
	Model     string        `help:"Model that every engine must serve." required:""`
	Version   string        `help:"Version of the model." required:""`
	Timeout   time.Duration `help:"How long to wait." default:"5m"`
}

// readiness is when the engines served the wanted version, in seconds since the
// command began.
type readiness struct {
	Engines int
	First   float64
	Median  float64
	Last    float64
}

// Run waits until every engine serves the version and prints when they did.
func (c *waitCommand) Run(env *environment) error {
	list, err := c.list()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(env.ctx, c.Timeout)
	defer cancel()
	start := env.clock.Now()
	times := make([]float64, len(list))
	group, ctx := errgroup.WithContext(ctx)
	waiting := &environment{ctx: ctx, clock: env.clock, log: env.log, out: env.out}
	for i, addr := range list {
		group.Go(func() error {
			err := c.await(waiting, addr)
			times[i] = env.clock.Since(start).Seconds()
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	slices.Sort(times)
	return json.NewEncoder(env.out).Encode(readiness{
		Engines: len(times),
		First:   times[0],
		Median:  times[len(times)/2],
		Last:    times[len(times)-1],
	})
}

// await returns when the engine serves the version.
func (c *waitCommand) await(env *environment, addr string) error {
	for env.ctx.Err() == nil {
		var state imitator.EngineState
		err := readJSON(env, "http://"+addr+"/state", &state)
		if err == nil && state.Model == identifier.Model(c.Model) && state.Version == identifier.WeightVersion(c.Version) {
			return nil
		}
		env.clock.Sleep(statePause)
	}
	return explainer.New(explainer.Unavailable, fmt.Sprintf("engine %s does not serve %s@%s", addr, c.Model, c.Version),
		"look at the log of its agent, or wait longer with --timeout")
}
