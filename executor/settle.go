package executor

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"celeryvalve/identifier"
	"celeryvalve/router"
)

const (
	// settleWait is how long the end of an answer waits for its settlement.
	settleWait     = 3 * time.Second
	settleTimeout  = 2 * time.Second
	minSettlePause = 100 * time.Millisecond
	maxSettlePause = 5 * time.Second
)

// settleAnswer stores the outcome of a whole non-idempotent answer with control
// and waits for it for a while. The settlement goes on in the background.
func (x *Executor) settleAnswer(r *run, resp *http.Response, end *router.ResponseEnd) {
	answer := router.StoredAnswer{
		Outcome: router.Completed,
		Status:  resp.StatusCode,
		Header:  fieldsOf(resp.Header),
		Trailer: end.Trailer,
		Digest:  end.Digest,
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		answer.Outcome = router.Failed
	}
	r.mu.Lock()
	if identifier.ByteCount(len(r.stored)) > maxStored {
		answer.TooLarge = true
	} else {
		answer.Body = r.stored
	}
	r.mu.Unlock()
	select {
	case <-x.settle(r.start, answer):
	case <-x.clock.After(settleWait):
		x.logger.Warn("An answer is given before control has its outcome.", zap.String("request", string(r.start.Request)))
	}
}

// settle sends the settlement until control takes it. The channel is closed then.
func (x *Executor) settle(start router.AttemptStart, answer router.StoredAnswer) <-chan struct{} {
	done := make(chan struct{})
	settlement := router.Settlement{
		Organisation: start.Organisation,
		Service:      start.Service,
		Key:          start.Key,
		Token:        start.Token,
		Answer:       answer,
	}
	x.work.Add(1)
	x.settles.Add(1)
	go func() {
		defer x.work.Done()
		defer x.settles.Done()
		defer close(done)
		x.settleUntilTaken(settlement)
	}()
	return done
}

func (x *Executor) settleUntilTaken(settlement router.Settlement) {
	for pause := minSettlePause; ; pause = min(2*pause, maxSettlePause) {
		ctx, cancel := context.WithTimeout(x.ctx, settleTimeout)
		err := x.claims.Settle(ctx, settlement)
		cancel()
		if err == nil {
			return
		}
		if x.sleep(x.ctx, pause) != nil {
			x.logger.Error("An outcome was not stored before the process ended.",
				zap.String("key", string(settlement.Key)), zap.Error(err))
			return
		}
	}
}
