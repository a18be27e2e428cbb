package assembler

import (
	"context"
	"fmt"
	"sync"

	"go.uber.org/fx"
	"go.uber.org/zap"

	"celeryvalve/configurer"
	"celeryvalve/controller"
	"celeryvalve/identifier"
	"celeryvalve/parser"
	"celeryvalve/submitter"
)

const (
	embeddedPatch    identifier.PatchID  = "embedded-default"
	embeddedOperator identifier.Operator = "embedded"
	// embeddedToken is the bearer token for callers of a process that runs all roles by
	// default, which listens on loopback unless its settings say otherwise.
	embeddedToken = "local"
)

const embeddedSource = `[Organisations.local]
TokenDigests = [%q]

[Services.%q]
Kind = "Plain"
`

// declareDefaults declares a default service on a process that runs all three roles, so
// that it serves requests with no other set-up. The patch has no base version, so it
// changes nothing if operators have already declared anything.
func declareDefaults(lc fx.Lifecycle, settings parser.Settings, s *submitter.Submitter, logger *zap.Logger) {
	if settings.Agent.Kind != parser.Plain {
		return
	}
	logger = logger.Named("assembler")
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			done.Go(func() { submitDefaults(ctx, settings, s, logger) })
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			done.Wait()
			return nil
		},
	})
}

func submitDefaults(ctx context.Context, settings parser.Settings, s *submitter.Submitter, logger *zap.Logger) {
	digest := identifier.DigestOf([]byte(embeddedToken))
	answer, err := submit[*controller.PatchAnswer](ctx, s, &controller.SubmitPatch{Patch: configurer.Patch{
		ID:       embeddedPatch,
		Operator: embeddedOperator,
		File:     string(embeddedPatch),
		Source:   fmt.Appendf(nil, embeddedSource, digest, settings.Agent.Service),
	}})
	if err != nil {
		logger.Warn("Can't declare the default service.", zap.Error(err))
		return
	}
	if answer.Outcome == controller.Accepted {
		logger.Info("Declared the default service.", zap.String("service", string(settings.Agent.Service)),
			zap.String("token", embeddedToken))
	}
}
