package assembler

import (
	"context"

	"go.uber.org/zap"

	"celeryvalve/identifier"
	"celeryvalve/parser"
)

// drainContext ends with the drain deadline of the settings, if there is one.
func drainContext(ctx context.Context, settings parser.Settings) (context.Context, context.CancelFunc) {
	if settings.Drain.Deadline == 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, settings.Drain.Deadline)
}

// logCutOff logs the requests that the drain deadline cut off.
func logCutOff(logger *zap.Logger, requests []identifier.RequestID) {
	for _, id := range requests {
		logger.Named("assembler").Warn("The drain deadline cut a request off.", zap.String("request", string(id)))
	}
}
