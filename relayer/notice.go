package relayer

import (
	"go.uber.org/zap"

	"celeryvalve/balancer"
)

// noteRequests tells the reducer what an answer asks of this entry. An answer that the
// request is misdirected may be of another upstream than the target. If that one leaves, the
// target has gone before it.
func (a *attempt) noteRequests(header ResponseHeader) {
	target := a.send.Target
	if header.Leaving {
		a.relayer.reduce(balancer.LeavingStated{Request: a.request.ID, Upstream: target.Upstream, Incarnation: target.Incarnation})
	}
	if header.ColdRemaining > 0 && !header.Misdirected {
		a.relayer.reduce(balancer.ColdStated{Upstream: target.Upstream, Incarnation: target.Incarnation, Remaining: header.ColdRemaining})
	}
	if header.Rest > 0 && !header.Misdirected {
		a.relayer.reduce(balancer.RestRequested{Request: a.request.ID, Upstream: target.Upstream, Incarnation: target.Incarnation, Rest: header.Rest})
	}
}

// handleNotices logs what upstreams have asked for, and tells the other entries which leave.
func (r *Relayer) handleNotices(notices []balancer.UpstreamNotice) {
	for _, n := range notices {
		if n.Rest == 0 {
			r.log.Info("Upstream says that it leaves.", zap.String("upstream", string(n.Upstream)), zap.Uint64("incarnation", uint64(n.Incarnation)),
				zap.String("request", string(n.Request)))
			r.upstreams.RecordLeaving(n.Upstream, n.Incarnation)
			continue
		}
		r.meters.rests.Inc()
		r.log.Info("Upstream asks for rest.", zap.String("upstream", string(n.Upstream)), zap.Uint64("incarnation", uint64(n.Incarnation)),
			zap.Duration("rest", n.Rest), zap.String("request", string(n.Request)))
	}
}
