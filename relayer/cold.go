package relayer

import (
	"go.uber.org/zap"

	"celeryvalve/balancer"
)

// handleColdChanges logs which upstreams turn cold and which have warmed up.
func (r *Relayer) handleColdChanges(changes []balancer.ColdChange) {
	for _, c := range changes {
		if c.Remaining == 0 {
			r.log.Info("Upstream is warm.", zap.String("upstream", string(c.Upstream)), zap.Uint64("incarnation", uint64(c.Incarnation)))
			continue
		}
		r.meters.coldChanges.Inc()
		r.log.Info("Upstream is cold.", zap.String("upstream", string(c.Upstream)), zap.Uint64("incarnation", uint64(c.Incarnation)),
			zap.Duration("remaining", c.Remaining), zap.Float64("sharePerSecond", c.Share))
	}
}
