package relayer

import (
	"net/http"

	"go.uber.org/zap"

	"celeryvalve/acceptor"
)

// Server returns an HTTP server for callers, which obeys the limits as they are declared. It has at
// most maxConnections connections; 0 means that there is no limit.
func (r *Relayer) Server(maxConnections int) *acceptor.Server {
	return acceptor.New(acceptor.Config{
		Name:           "caller",
		MaxConnections: maxConnections,
		Limits:         r.connectionLimits,
		OnClosed:       r.noteClosed,
		Memory:         r.memory,
		Clock:          r.clock,
		Metrics:        r.meters.set,
		Log:            r.log,
	}, r)
}

// connectionLimits returns the limits in force for the connections of callers.
func (r *Relayer) connectionLimits() acceptor.Limits {
	limits := r.limits()
	return acceptor.Limits{
		HeaderBytes:   min(limits.HeaderBytes, maxHeaderBytes) + headerSlack,
		HeaderTimeout: limits.HeaderTimeout,
		IdleTimeout:   limits.IdleTimeout + serverIdleMargin,
	}
}

// noteClosed notes a request that arrived as its connection was closed.
func (r *Relayer) noteClosed(req *http.Request) {
	r.meters.crossed.Inc()
	r.log.Info("Request arrived as its connection was closed.", zap.String("request", string(r.dialect.ReadCaller(req.Header).Attempt)))
}
