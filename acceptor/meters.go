package acceptor

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// meters holds the metrics of a server.
type meters struct {
	set                *metrics.Set
	name               string
	accepted           *metrics.Counter
	refused            *metrics.Counter
	headsTooLarge      *metrics.Counter
	headsWithoutMemory *metrics.Counter
}

func newMeters(set *metrics.Set, name string, open *connections) *meters {
	set.GetOrCreateGauge(fmt.Sprintf("celeryvalve_%s_connections", name), func() float64 { return float64(open.count()) })
	return &meters{
		set:                set,
		name:               name,
		accepted:           set.GetOrCreateCounter(fmt.Sprintf("celeryvalve_%s_connections_total", name)),
		refused:            set.GetOrCreateCounter(fmt.Sprintf("celeryvalve_%s_connections_refused_total", name)),
		headsTooLarge:      set.GetOrCreateCounter(fmt.Sprintf(`celeryvalve_%s_heads_refused_total{cause="TooLarge"}`, name)),
		headsWithoutMemory: set.GetOrCreateCounter(fmt.Sprintf(`celeryvalve_%s_heads_refused_total{cause="NoMemory"}`, name)),
	}
}

// expired counts a connection that was closed because a phase lasted for too long.
func (m *meters) expired(p Phase) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`celeryvalve_%s_connections_expired_total{phase=%q}`, m.name, p)).Inc()
}

// closedForAnother counts a connection that was closed for a new one.
func (m *meters) closedForAnother(p Phase) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`celeryvalve_%s_connections_closed_for_others_total{phase=%q}`, m.name, p)).Inc()
}
