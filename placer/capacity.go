package placer

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"celeryvalve/acceptor"
	"celeryvalve/parser"
	"celeryvalve/reader"
)

const (
	// controlFraction is the fraction of its connections that an entry keeps for operators and the
	// reports of upstreams.
	controlFraction = 0.2
	// maxReadinessConnections is how many connections check the readiness of an entry. The platform
	// needs one.
	maxReadinessConnections = 32

	// These limits hold for operators, upstreams and the platform, to whom none are declared.
	controlHeaderBytes   = 16 << 10
	controlHeaderTimeout = 5 * time.Second
	controlIdleTimeout   = 5 * time.Minute
	// controlAnswerTimeout is longer than package platform lets a call take, its body and its answer.
	controlAnswerTimeout = 20 * time.Second
)

// capacity is how many connections the servers of an entry may have.
type capacity struct {
	callers, control, readiness int
}

// newCapacity divides the connections that the process may have.
func newCapacity(placement parser.Placement) capacity {
	all := acceptor.Capacity(placement.Memory, placement.Descriptors)
	c := capacity{control: int(controlFraction * float64(all)), readiness: min(maxReadinessConnections, all/4)}
	c.callers = all - c.control - c.readiness
	return c
}

// serverConfig returns the limits of a server that is not for callers.
func (e *entry) serverConfig(name string, connections int, memory *reader.Budget, set *metrics.Set) acceptor.Config {
	limits := acceptor.Limits{HeaderBytes: controlHeaderBytes, HeaderTimeout: controlHeaderTimeout, IdleTimeout: controlIdleTimeout}
	return acceptor.Config{
		Name:           name,
		MaxConnections: connections,
		Limits:         func() acceptor.Limits { return limits },
		AnswerTimeout:  controlAnswerTimeout,
		Memory:         memory,
		Clock:          e.clock,
		Metrics:        set,
		Log:            e.log,
	}
}
