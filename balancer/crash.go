package balancer

import (
	"net/netip"
	"slices"
	"time"

	"celeryvalve/identifier"
	"celeryvalve/quarantiner"
)

const (
	// lossRetention is how long a lost attempt is kept for the evidence that its
	// upstream crashed. A crashed upstream needs seconds until its first report.
	lossRetention = 15 * time.Second
	// crashSpan is the time within which a crash ends all attempts on an upstream, and
	// the silence after which an attempt that timed out may be due to a crash.
	crashSpan = time.Second
	// survivalTime is how long after the first byte of its response an upstream must live
	// to show that no part of the prompt crashes it. A part that does so ends its upstream
	// as it begins to write, within 0.1 s in the records of the users.
	survivalTime = 500 * time.Millisecond
	// maxLosses bounds the lost attempts that are kept for one upstream.
	maxLosses = 256
	// maxReportedSuspects bounds the suspects of one report, whatever number of parts
	// callers name in their prompts.
	maxReportedSuspects = 512
)

// process is one incarnation of an upstream.
type process struct {
	upstream    identifier.Upstream
	incarnation identifier.Incarnation
}

// lostAttempt is an attempt that may have run and that ended without a complete response.
type lostAttempt struct {
	suspects    []quarantiner.InFlight // the request and parts of its prompt
	firstSentAt time.Time              // of the request
	at          time.Time
	crashes     *int // attempts of the request whose upstream crashed
	// silent says that the attempt timed out; otherwise its connection was lost.
	silent bool
}

// CrashReport says which requests were in flight when an upstream crashed.
type CrashReport struct {
	Upstream    identifier.Upstream
	Incarnation identifier.Incarnation
	At          time.Time
	Evidence    CrashEvidence
	InFlight    []quarantiner.InFlight
}

// CrashEvidence says how a lost connection is known to be due to a crash.
type CrashEvidence string

// The evidence for a crash.
const (
	// RefusesConnections: nothing listens at the upstream's address any more.
	RefusesConnections CrashEvidence = "RefusesConnections"
	// Restarted: the upstream reports a later incarnation.
	Restarted CrashEvidence = "Restarted"
	// Displaced: another upstream has its address.
	Displaced CrashEvidence = "Displaced"
	// KnownCrash: the crash was known when the attempt was lost.
	KnownCrash CrashEvidence = "KnownCrash"
)

// CrashFindings is what the reducer found out about crashes since it was last asked.
type CrashFindings struct {
	Crashes []CrashReport
	// Cleared are suspects of the quarantine that ran to their end, and CompletedBefore
	// those that had done so before they became suspects.
	Cleared         []quarantiner.Fingerprint
	CompletedBefore []quarantiner.Fingerprint
	// Probes are upstreams that lost connections. Whether they accept new ones tells a
	// crash from a reset. ConnectionRefused follows if they don't.
	Probes []UpstreamView
	// Refused are the fingerprints that the quarantine has come to refuse.
	Refused []quarantiner.Fingerprint
}

// crashDetector tells crashes of upstreams from other losses of connections. An upstream
// has crashed if it lost the connections of attempts and then refuses new ones, or if it
// reports a later incarnation or another upstream has its address. An upstream that was
// draining or had left before has not crashed.
type crashDetector struct {
	losses map[process][]lostAttempt
	// crashed holds when the last crash of a process was detected. One that crashes again
	// before its next report is still known by its earlier incarnation.
	crashed   map[process]time.Time
	completed recentSet
	findings  CrashFindings

	revision quarantiner.Revision
	refused  map[quarantiner.Fingerprint]quarantiner.Instant
	pairs    []quarantiner.PairRefusal
	// probations are the fingerprints on probation.
	probations map[quarantiner.Fingerprint]*probation
	suspects   map[quarantiner.Fingerprint]time.Time // since when they are known here
}

func newCrashDetector() *crashDetector {
	return &crashDetector{losses: make(map[process][]lostAttempt), crashed: make(map[process]time.Time)}
}

// TakeCrashFindings returns the findings since the last call.
func (r *Reducer) TakeCrashFindings() CrashFindings {
	findings := r.crashes.findings
	r.crashes.findings = CrashFindings{}
	return findings
}

// recordLoss records that the attempt was lost. It counts as soon
// as there is evidence of a crash of its upstream.
func (r *Reducer) recordLoss(now time.Time, a *attempt, cause Cause) {
	d, u := r.crashes, a.target
	silent := cause != ConnectionLost
	if a.survived(now) {
		d.recordParts(now, a)
	}
	if silent && now.Sub(u.heardAt) < crashSpan {
		return
	}
	suspects := d.suspectsOf(now, a)
	if len(suspects) == 0 {
		return
	}
	p := u.process()
	if a.crashes == nil {
		a.crashes = new(int)
	}
	l := lostAttempt{
		suspects:    suspects,
		firstSentAt: a.firstSentAt,
		at:          now,
		crashes:     a.crashes,
		silent:      silent,
	}
	d.expire(now)
	if a.sentAt.Before(d.crashed[p]) {
		d.report(p, KnownCrash, []lostAttempt{l})
		return
	}
	if known, ok := r.upstreams[p.upstream]; !ok || known.process() != p || known.draining() {
		return // its end was planned
	}
	d.addLoss(p, l)
	if !silent {
		r.requestProbe(now, u)
	}
}

// recordActivity records that the upstream has shown that it runs. It has not crashed under attempts
// that were given up while it was silent.
func (r *Reducer) recordActivity(now time.Time, u *upstream) {
	u.heardAt = now
	if u.silent {
		u.silent, u.resumedAt = false, now
	}
	losses, p := r.crashes.losses, u.process()
	if len(losses[p]) > 0 {
		losses[p] = slices.DeleteFunc(losses[p], func(l lostAttempt) bool { return l.silent })
	}
}

// survived reports whether the upstream has lived on for survivalTime after it began to
// respond to the attempt.
func (a *attempt) survived(now time.Time) bool {
	return !a.firstByteAt.IsZero() && now.Sub(a.firstByteAt) >= survivalTime
}

// suspectsOf returns what may have crashed the upstream under the request: the request
// itself, unless one like it has lately run to its end, and the parts of its prompt, unless
// the upstream has survived the beginning of its response.
func (d *crashDetector) suspectsOf(now time.Time, a *attempt) []quarantiner.InFlight {
	var list []quarantiner.InFlight
	base := quarantiner.InFlight{Organisation: a.Organisation, Service: a.Service}
	if a.Fingerprint != 0 && !d.completed.contains(now, a.Fingerprint) {
		base.Fingerprint = a.Fingerprint
		list = append(list, base)
	}
	if a.survived(now) {
		return list
	}
	for _, f := range a.Parts {
		part := base
		part.Fingerprint, part.Part, part.CompletedBefore = f, true, d.completed.contains(now, f)
		part.Beside = slices.DeleteFunc(slices.Clone(a.Parts), func(g quarantiner.Fingerprint) bool { return g == f })
		list = append(list, part)
	}
	return list
}

func (d *crashDetector) addLoss(p process, l lostAttempt) {
	d.losses[p] = append(d.losses[p], l)
	if excess := len(d.losses[p]) - maxLosses; excess > 0 {
		d.losses[p] = d.losses[p][excess:]
	}
}

// requestProbe asks for a probe of the upstream, at most once per crashSpan.
func (r *Reducer) requestProbe(now time.Time, u *upstream) {
	if now.Sub(u.probedAt) < crashSpan {
		return
	}
	u.probedAt = now
	r.crashes.findings.Probes = append(r.crashes.findings.Probes, u.view)
}

// refuseConnection records that the upstream refuses connections. If it has just lost
// connections, it has crashed, even if it has left the table since: losses are recorded only
// of upstreams that are in it.
func (r *Reducer) refuseConnection(now time.Time, e ConnectionRefused) {
	p := process{e.Upstream, e.Incarnation}
	if u, ok := r.upstreams[e.Upstream]; ok {
		if u.process() != p || u.draining() {
			return
		}
		u.forgetPrefixes()
	}
	recent := slices.ContainsFunc(r.crashes.losses[p], func(l lostAttempt) bool { return !l.silent && now.Sub(l.at) <= crashSpan })
	if recent {
		r.crashes.confirm(now, p, RefusesConnections)
	}
}

// detectReplacements detects crashes by what the upstreams now report: a later
// incarnation, or another upstream at the address of one that is gone. known are the
// upstreams before the change.
func (r *Reducer) detectReplacements(now time.Time, known map[identifier.Upstream]*upstream, views []UpstreamView) {
	incarnations := make(map[identifier.Upstream]identifier.Incarnation, len(views))
	addresses := make(map[netip.AddrPort]bool, len(views))
	for _, v := range views {
		incarnations[v.Upstream] = v.Incarnation
		addresses[v.Address] = true
	}
	for name, u := range known {
		incarnation, present := incarnations[name]
		restarted := present && incarnation > u.view.Incarnation && u.view.Incarnation > 0
		displaced := !present && addresses[u.view.Address]
		switch {
		case u.draining():
		case restarted:
			r.crashes.confirm(now, u.process(), Restarted)
		case displaced:
			r.crashes.confirm(now, u.process(), Displaced)
		}
	}
}

// confirm records that the process has crashed, and reports the attempts that were in
// flight there. A loss long before the last one had another cause.
func (d *crashDetector) confirm(now time.Time, p process, evidence CrashEvidence) {
	d.expire(now)
	losses := d.losses[p]
	if _, ok := d.crashed[p]; ok && len(losses) == 0 {
		return
	}
	d.crashed[p] = now
	delete(d.losses, p)
	var lastLost time.Time
	for _, l := range losses {
		if !l.silent && l.at.After(lastLost) {
			lastLost = l.at
		}
	}
	losses = slices.DeleteFunc(losses, func(l lostAttempt) bool { return !l.silent && lastLost.Sub(l.at) > crashSpan })
	if len(losses) > 0 {
		d.report(p, evidence, losses)
	}
}

func (d *crashDetector) report(p process, evidence CrashEvidence, losses []lostAttempt) {
	report := CrashReport{Upstream: p.upstream, Incarnation: p.incarnation, At: losses[0].at, Evidence: evidence}
	for _, l := range losses {
		if l.at.Before(report.At) {
			report.At = l.at
		}
	}
	for _, l := range slices.Backward(losses) { // the latest are the likeliest
		*l.crashes++
		if len(report.InFlight)+len(l.suspects) > maxReportedSuspects {
			continue
		}
		for _, suspect := range l.suspects {
			suspect.Crashes = *l.crashes
			suspect.Age = max(0, report.At.Sub(l.firstSentAt))
			report.InFlight = append(report.InFlight, suspect)
		}
	}
	d.findings.Crashes = append(d.findings.Crashes, report)
}

// expire drops what is older than lossRetention.
func (d *crashDetector) expire(now time.Time) {
	for p, losses := range d.losses {
		losses = slices.DeleteFunc(losses, func(l lostAttempt) bool { return now.Sub(l.at) > lossRetention })
		if len(losses) == 0 {
			delete(d.losses, p)
		} else {
			d.losses[p] = losses
		}
	}
	for p, at := range d.crashed {
		if now.Sub(at) > lossRetention {
			delete(d.crashed, p)
		}
	}
}
