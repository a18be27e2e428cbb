package relayer

import (
	"context"
	"errors"
	"syscall"
	"time"

	"go.uber.org/zap"

	"celeryvalve/balancer"
	"celeryvalve/quarantiner"
)

// probeDelay is how long after a lost connection the upstream is probed. A process that
// is being killed closes its listener within that time.
const probeDelay = 100 * time.Millisecond

// CrashReporter reports to the control plane what crashes upstreams. Its methods must
// not block.
type CrashReporter interface {
	ReportCrash(r balancer.CrashReport)
	// ClearSuspects reports suspects that ran to their end, and those that had done so
	// before they became suspects.
	ClearSuspects(cleared, completedBefore []quarantiner.Fingerprint)
}

// ChangeQuarantine replaces the summary of the quarantine.
func (r *Relayer) ChangeQuarantine(s quarantiner.Summary) {
	r.reduce(balancer.QuarantineChanged{Summary: s})
}

// handleCrashFindings reports crashes, logs them and starts the probes.
func (r *Relayer) handleCrashFindings(findings balancer.CrashFindings) {
	for _, c := range findings.Crashes {
		fingerprints := make([]quarantiner.Fingerprint, 0, len(c.InFlight))
		for _, q := range c.InFlight {
			fingerprints = append(fingerprints, q.Fingerprint)
		}
		r.meters.crashes.Inc()
		r.log.Warn("Upstream crashed.", zap.String("upstream", string(c.Upstream)), zap.Uint64("incarnation", uint64(c.Incarnation)),
			zap.String("evidence", string(c.Evidence)), zap.Duration("ago", r.clock.Since(c.At)), zap.Any("fingerprints", fingerprints))
		r.reporter.ReportCrash(c)
	}
	if len(findings.Refused) > 0 {
		r.log.Info("Refusing what crashes upstreams.", zap.Any("fingerprints", findings.Refused))
	}
	if len(findings.Cleared)+len(findings.CompletedBefore) > 0 {
		r.reporter.ClearSuspects(findings.Cleared, findings.CompletedBefore)
	}
	for _, v := range findings.Probes {
		r.clock.AfterFunc(probeDelay, func() { r.probe(v) })
	}
}

// probe finds out whether the upstream still accepts connections.
func (r *Relayer) probe(v balancer.UpstreamView) {
	c, err := dial(context.Background(), r.clock, v.Address)
	if err != nil {
		r.noteDialError(v, err)
		return
	}
	c.close()
}

// noteDialError tells the reducer if nothing listens at the upstream's address.
func (r *Relayer) noteDialError(v balancer.UpstreamView, err error) {
	if errors.Is(err, syscall.ECONNREFUSED) {
		r.reduce(balancer.ConnectionRefused{Upstream: v.Upstream, Incarnation: v.Incarnation})
	}
}
