package placer

import (
	"context"

	"go.uber.org/fx"
)

func agentModule() fx.Option {
	return fx.Options(fx.Provide(func() drainer { return agentDrainer{} }))
}

type agentDrainer struct{}

func (agentDrainer) drain(context.Context) {}
