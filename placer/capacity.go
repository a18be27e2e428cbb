package placer

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"celeryvalve/acceptor"
	"celeryvalve/reader"
)

const (
	// These limits hold for operators, upstreams and the platform, to whom none are declared.
	controlHeaderBytes   = 16 << 10
	controlHeaderTimeout = 5 * time.Second
	controlIdleTimeout   = 5 * time.Minute
	// controlAnswerTimeout is longer than package platform lets a call take, its body and its answer.
	controlAnswerTimeout = 20 * time.Second
)

// serverConfig returns the limits of a server that is not for callers.
func (e *entry) serverConfig(name string, memory *reader.Budget, set *metrics.Set) acceptor.Config {
	limits := acceptor.Limits{HeaderBytes: controlHeaderBytes, HeaderTimeout: controlHeaderTimeout, IdleTimeout: controlIdleTimeout}
	return acceptor.Config{
		Name:          name,
		Limits:        func() acceptor.Limits { return limits },
		AnswerTimeout: controlAnswerTimeout,
		Memory:        memory,
		Clock:         e.clock,
		Metrics:       set,
		Log:           e.log,
	}
}
