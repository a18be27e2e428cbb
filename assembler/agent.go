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
	// readinessPollInterval is how often the agent checks whether a plain upstream is ready.
	readinessPollInterval = 250 * time.Millisecond
	leaveTimeout          = 3 * time.Second
	// eventStreamEnd is the last event of every complete streamed answer of an engine.
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

// newIncarnation returns the start time in Unix milliseconds as the incarnation. The
// control plane refuses an incarnation that does not increase, and an agent has no
// disk on which to keep a counter.
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
		Claims:        claimClient{process: settings.Name, submitter: s},
		CrashReporter: crashReporter{submitter: s},
		Clock:         clock,
		Logger:        logger,
		Asserter:      a,
		Metrics:       set,
	})
}

// agentParts holds the components that serveAgent connects.
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
	parts.View.Watch(func() { parts.Executor.SetQuarantine(quarantineOf(parts.View)) })
	parts.Lifecycle.Append(fx.StartStopHook(parts.Announcer.Start, parts.Announcer.Stop))
	subscribe(parts.Lifecycle, parts.Settings, parts.View, parts.Endpoint, parts.Announcer, parts.Clock, parts.Logger)
	switch parts.Settings.Agent.Kind {
	case parser.Plain:
		pollReadiness(parts)
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

// pollReadiness announces to the control plane whether a plain upstream answers probes.
func pollReadiness(parts agentParts) {
	ctx, cancel := context.WithCancel(context.Background())
	parts.Lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go func() {
				ticker := parts.Clock.NewTicker(readinessPollInterval)
				defer ticker.Stop()
				for {
					select {
					case <-ctx.Done():
						return
					case <-ticker.Chan():
						parts.Announcer.SetServing(announcer.ServingState{Ready: parts.Executor.Ready()})
					}
				}
			}()
			return nil
		},
		OnStop: func(context.Context) error { cancel(); return nil },
	})
}

// drainAgent refuses new work, announces to the control plane that the upstream is
// leaving, waits for the running attempts and then announces that it has left.
func drainAgent(ctx context.Context, parts agentParts) error {
	parts.Executor.Leave()
	announceLeave(ctx, parts, false)
	drainCtx, cancel := drainContext(ctx, parts.Settings)
	defer cancel()
	err := parts.Executor.Drain(drainCtx)
	if err != nil {
		logCutOff(parts.Logger, parts.Executor.ActiveRequests())
	}
	parts.Executor.Stop()
	announceLeave(ctx, parts, true)
	return err
}

// announceLeave announces to the control plane that the upstream is leaving or, if gone
// is true, that it has left. A failure is only logged, since entries also learn it from
// the agent.
func announceLeave(ctx context.Context, parts agentParts, gone bool) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := parts.Announcer.Leave(ctx, gone); err != nil {
		parts.Logger.Warn("Can't announce to the control plane that the upstream is leaving.", zap.Error(err))
	}
}
