package forwarder

import (
	"context"
	"net/netip"

	"go.uber.org/zap"

	"celeryvalve/router"
)

// post passes the event to the reducer and carries out its effects.
func (f *Forwarder) post(event router.Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reduce(event)
}

// reduce passes the event to the reducer and carries out its effects, none of which
// blocks. The caller must hold f.mu.
func (f *Forwarder) reduce(event router.Event) {
	for _, effect := range f.reducer.Reduce(f.clock.Now(), event) {
		f.carryOut(effect)
	}
}

func (f *Forwarder) carryOut(effect router.Effect) {
	switch e := effect.(type) {
	case router.Claim:
		f.counters.claims.Inc()
		f.inBackground(func() { f.claim(e) })
	case router.Settle:
		f.inBackground(func() { f.settle(e.Settlement) })
	case router.StartAttempt:
		f.startAttempt(e)
	case router.AskAttempt:
		f.askAttempt(e)
	case router.CancelAttempt:
		f.cancelAttempt(e)
	case router.PassOn:
		f.exchanges[e.Request].selectAttempt(e.Attempt)
	case router.Answer:
		ex := f.exchanges[e.Request]
		delete(f.exchanges, e.Request)
		ex.finish(e)
	case router.Drained:
		close(f.drained)
	}
}

// inBackground runs work in a goroutine that Stop waits for.
func (f *Forwarder) inBackground(work func()) {
	f.background.Add(1)
	go func() {
		defer f.background.Done()
		work()
	}()
}

// claim claims the idempotency key at Control. An error counts as Unavailable.
func (f *Forwarder) claim(e router.Claim) {
	ctx, cancel := context.WithTimeout(f.ctx, claimTimeout)
	defer cancel()
	answer, err := f.claims.Claim(ctx, e.Claim)
	if err != nil {
		f.logger.Warn("Control did not answer a claim.", zap.String("request", string(e.Request)), zap.Error(err))
		answer = router.ClaimAnswer{Status: router.Unavailable}
	}
	f.post(router.ClaimAnswered{Request: e.Request, Attempt: e.Claim.Attempt, Answer: answer})
}

// settle sends the settlement to Control, up to maxSettleAttempts times.
func (f *Forwarder) settle(settlement router.Settlement) {
	for range maxSettleAttempts {
		ctx, cancel := context.WithTimeout(f.ctx, settleTimeout)
		err := f.claims.Settle(ctx, settlement)
		cancel()
		if err == nil || f.ctx.Err() != nil {
			return
		}
		f.logger.Warn("Control did not accept a settlement.", zap.String("key", string(settlement.Key)), zap.Error(err))
	}
}

// replaceConnection drops the connection to addr, unless that was done less than
// minReplaceInterval ago.
func (f *Forwarder) replaceConnection(addr netip.AddrPort) {
	now := f.clock.Now()
	f.mu.Lock()
	recent := now.Sub(f.replacedAt[addr]) < minReplaceInterval
	if !recent {
		f.replacedAt[addr] = now
	}
	f.mu.Unlock()
	if !recent {
		f.opener.Replace(addr)
	}
}
