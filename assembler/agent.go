package assembler

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"go.uber.org/fx"
	"go.uber.org/zap"

	"celeryvalve/announcer"
	"celeryvalve/asserter"
	"celeryvalve/connector"
	"celeryvalve/controller"
	"celeryvalve/executor"
	"celeryvalve/exposer"
	"celeryvalve/identifier"
	"celeryvalve/parser"
	"celeryvalve/submitter"
	"celeryvalve/subscriber"
)

const (
	// serviceWait is how often the agent looks whether its upstream serves.
	serviceWait  = 250 * time.Millisecond
	leaveTimeout = 3 * time.Second
	// eventStreamEnd ends every whole answer of an engine that streams.
	eventStreamEnd = "[DONE]"
)

func agentOptions() fx.Option {
	return fx.Options(
		fx.Provide(
			newIncarnation,
			newAnnouncer,
			newExecutor,
		),
		fx.Invoke(serveAgent),
	)
}

// newIncarnation numbers this start by its time: the slot beside an upstream has
// no disk, and control refuses a number that does not rise.
func newIncarnation(clock clockwork.Clock) identifier.Incarnation {
	return identifier.Incarnation(clock.Now().UnixMilli())
}

func newAnnouncer(settings parser.Settings, incarnation identifier.Incarnation, s *submitter.Submitter,
	clock clockwork.Clock, logger *zap.Logger) *announcer.Announcer {
	announcement := controller.Announce{
		Upstream:         settings.Agent.Upstream,
		Incarnation:      incarnation,
		Instance:         settings.Instance,
		Region:           settings.Region,
		AvailabilityZone: settings.AvailabilityZone,
		Address:          settings.Address().String(),
		Service:          settings.Agent.Service,
		ChecksFencing:    settings.Agent.ChecksFencing,
		ReportsLoad:      settings.Agent.ReportsLoad,
	}
	return announcer.New(announcement, s, clock, logger)
}

func newExecutor(settings parser.Settings, incarnation identifier.Incarnation, s *submitter.Submitter,
	clock clockwork.Clock, set *metrics.Set, a asserter.Asserter, logger *zap.Logger) *executor.Executor {
	cfg := executor.Config{
		Upstream:    settings.Agent.Upstream,
		Incarnation: incarnation,
		Address:     settings.Agent.UpstreamAddress,
		ReportsLoad: settings.Agent.ReportsLoad,
		Concurrency: settings.Agent.Concurrency,
	}
	if settings.Agent.Kind == parser.Engine {
		cfg.EventStreamEnd = eventStreamEnd
	}
	return executor.New(cfg, executor.Dependencies{
		Claims:  claims{process: settings.Name, submitter: s},
		Crashes: crashes{submitter: s},
		Clock:   clock,
		Logger:  logger,
		Check:   a,
		Metrics: set,
	})
}

// agentParts are what serveAgent ties together.
type agentParts struct {
	fx.In

	Lifecycle   fx.Lifecycle
	Settings    parser.Settings
	Incarnation identifier.Incarnation
	View        *subscriber.View
	Endpoint    *connector.Endpoint
	Exposer     *exposer.Exposer
	Submitter   *submitter.Submitter
	Announcer   *announcer.Announcer
	Executor    *executor.Executor
	Clock       clockwork.Clock
	Metrics     *metrics.Set
	Asserter    asserter.Asserter
	Logger      *zap.Logger
}

func serveAgent(parts agentParts) error {
	parts.Executor.Register(parts.Endpoint)
	parts.View.Watch(func() { parts.Executor.ChangeQuarantine(quarantineOf(parts.View)) })
	parts.Lifecycle.Append(fx.StartStopHook(parts.Announcer.Start, parts.Announcer.Stop))
	subscribe(parts.Lifecycle, parts.Settings, parts.View, parts.Endpoint, parts.Announcer, parts.Clock, parts.Logger)
	switch parts.Settings.Agent.Kind {
	case parser.Plain:
		watchPlain(parts)
	case parser.Engine:
		if err := serveWeights(parts); err != nil {
			return err
		}
	}
	parts.Lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			parts.Executor.Start()
			return nil
		},
		OnStop: func(ctx context.Context) error { return drainAgent(ctx, parts) },
	})
	return nil
}

// watchPlain tells control whether a plain upstream answers probes.
func watchPlain(parts agentParts) {
	ctx, cancel := context.WithCancel(context.Background())
	parts.Lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go func() {
				ticker := parts.Clock.NewTicker(serviceWait)
				defer ticker.Stop()
				for {
					select {
					case <-ctx.Done():
						return
					case <-ticker.Chan():
						parts.Announcer.SetServing(announcer.Serving{Ready: parts.Executor.Ready()})
					}
				}
			}()
			return nil
		},
		OnStop: func(context.Context) error { cancel(); return nil },
	})
}

// drainAgent refuses new work, tells control so, and waits for what runs.
func drainAgent(ctx context.Context, parts agentParts) error {
	parts.Executor.Leave()
	leave(ctx, parts, false)
	drainCtx, cancel := drainContext(ctx, parts.Settings)
	defer cancel()
	err := parts.Executor.Drain(drainCtx)
	if err != nil {
		logCut(parts.Logger, parts.Executor.Running())
	}
	parts.Executor.Stop()
	leave(ctx, parts, true)
	return err
}

// leave tells control, if it can be reached. Entries hear it from the agent anyway.
func leave(ctx context.Context, parts agentParts, gone bool) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := parts.Announcer.Leave(ctx, gone); err != nil {
		parts.Logger.Warn("Can't tell control that the upstream leaves.", zap.Error(err))
	}
}
