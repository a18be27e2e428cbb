package stager

import "celeryvalve/declarer"

// Standing says what entries know of the release that the engine holds.
type Standing int

const (
	// Believed means that entries use the engine with the release that it holds: its agent has
	// announced it, or has announced nothing yet.
	Believed Standing = iota
	// Withheld means that the agent's last announcement was of another release or of none.
	Withheld
	// Unknown means that the engine's record has not arrived yet.
	Unknown
)

// proof keeps which release the engine holds whole. Staged chunks may become corrupt at any
// moment, but only the agent writes them. Chunks that are read back whole after the engine has
// accepted an order, with none written since the order was given, were therefore whole when the
// engine took them, however long the reading and the order took.
type proof struct {
	// settled is set once it is decided whether the release that the engine held at first is
	// whole.
	settled bool
	// whole is the release that the engine holds whole, and loading one that it loads whole.
	whole, loading declarer.ReleaseNumber
	// due is the release whose chunks are to be read back, or 0.
	due       declarer.ReleaseNumber
	verifying bool
	// outdated is set if the reading in progress began before the engine restarted.
	outdated bool
	// suspect is the release that the engine may hold with the corrupt chunks, or 0. corrupt is
	// nil if any of them may be.
	suspect declarer.ReleaseNumber
	corrupt []int
	// unanswered is an order without an answer that the engine may still accept.
	unanswered *Order
	// exclusive is set once the engine can't accept an order of an agent before this one any
	// more, which may have written chunks after it gave the order.
	exclusive bool
	// unwritten is set if no chunk was written since the first order was given that the engine may
	// have accepted last.
	unwritten bool
}

// staged records that chunks were staged. What the engine was seen to take meanwhile can't be
// verified any more.
func (p *proof) staged(e Staged) {
	if !e.Written {
		return
	}
	p.unwritten = false
	if p.due != 0 {
		p.suspect, p.corrupt, p.due = p.due, nil, 0
	}
}

// ordered takes in the outcome of an order to load.
func (p *proof) ordered(o Order, outcome Outcome) {
	switch outcome {
	case Begun:
		// The engine refuses any earlier order from now on, since that expects fewer orders.
		p.unanswered, p.unwritten, p.exclusive = nil, true, true
		p.load(o.Release)
	case InEffect:
		p.unanswered = nil
		if !p.knows(o.Release) && o.Release != p.loading {
			p.load(o.Release)
		}
	case Unanswered:
		if p.unanswered == nil {
			p.unanswered, p.unwritten = &o, p.exclusive
		}
	}
}

// load records that the engine has accepted an order to load a release.
func (p *proof) load(release declarer.ReleaseNumber) {
	p.loading, p.suspect, p.corrupt, p.due = 0, 0, nil, 0
	if p.whole == release {
		p.whole = 0
	}
	if p.unwritten {
		p.due = release
	} else {
		p.suspect = release
	}
}

// knows reports whether it is decided, or being verified, if the engine holds the release whole.
func (p *proof) knows(release declarer.ReleaseNumber) bool {
	return release == p.whole || release == p.suspect || release == p.due
}

// verified takes in what was read back.
func (p *proof) verified(e Verified) {
	p.verifying = false
	if p.outdated || e.Release != p.due {
		p.outdated = false
		return
	}
	if e.Failed {
		return
	}
	p.due = 0
	if len(e.Corrupt) > 0 {
		p.suspect, p.corrupt = e.Release, e.Corrupt
		return
	}
	p.loading = e.Release
}

// discarded records that the engine gives up the suspect release.
func (p *proof) discarded() {
	p.suspect, p.corrupt = 0, nil
}

// restarted records that the engine has restarted, without any weights.
func (p *proof) restarted() {
	*p = proof{settled: true, exclusive: true, verifying: p.verifying, outdated: p.verifying}
}

// observe takes in a report.
func (p *proof) observe(report Report, standing Standing) {
	if p.unanswered != nil && report.Orders > p.unanswered.ExpectedOrders {
		release := p.unanswered.Release
		p.unanswered = nil
		p.load(release)
	}
	if report.Release == 0 {
		p.settled, p.whole = true, 0
		return
	}
	if !p.settled && standing == Believed {
		p.whole = report.Release
	}
	p.settled = p.settled || standing != Unknown
	p.promote(report.Release)
	if p.settled && !p.knows(report.Release) {
		p.suspect, p.corrupt = report.Release, nil
	}
}

// promote records that the engine holds a release.
func (p *proof) promote(held declarer.ReleaseNumber) {
	if held != 0 && held == p.loading {
		p.whole, p.loading = held, 0
	}
}
