package relayer

import (
	"go.uber.org/zap"

	"celeryvalve/balancer"
	"celeryvalve/identifier"
	"celeryvalve/limiter"
)

// noteLimit tells the reducer what an answer says of its upstream's limit. An answer of
// another upstream, or one that names no limit where none is known, says nothing.
func (a *attempt) noteLimit(header ResponseHeader) {
	if header.Misdirected || (header.Limit.Kind == limiter.LimitAbsent && a.send.LimitStamp == 0) {
		return
	}
	a.relayer.reduce(balancer.LimitStated{
		Request:     a.request.ID,
		Upstream:    a.send.Target.Upstream,
		Incarnation: a.send.Target.Incarnation,
		Limit:       header.Limit,
		UnderStamp:  a.send.LimitStamp,
	})
}

// UpstreamRecorder tells the other entries what an upstream has said in its answers. Its
// methods must not block.
type UpstreamRecorder interface {
	RecordLimit(name identifier.Upstream, incarnation identifier.Incarnation, limit limiter.RequestLimit)
	RecordLeaving(name identifier.Upstream, incarnation identifier.Incarnation)
}

// ChangeServing replaces the list of entries that take callers' requests, which share the
// limits of upstreams.
func (r *Relayer) ChangeServing(entries []balancer.Entry) {
	r.reduce(balancer.EntriesChanged{Entries: entries})
}

// handleLimitChanges logs limits that upstreams have named, changed or ended, and tells the
// other entries those that this one learned from an answer.
func (r *Relayer) handleLimitChanges(changes []balancer.LimitChange) {
	for _, c := range changes {
		message := "Upstream's limit has ended."
		if c.Limit.InForce {
			message = "Upstream names a limit."
		}
		r.log.Info(message, zap.String("upstream", string(c.Upstream)), zap.Uint64("incarnation", uint64(c.Incarnation)),
			zap.Float64("perSecond", c.Limit.PerSecond), zap.String("request", string(c.Request)))
		if c.Request != "" {
			r.upstreams.RecordLimit(c.Upstream, c.Incarnation, c.Limit)
		}
	}
}
