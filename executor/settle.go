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
	// maxSettleWait bounds how long the end of a response waits until its outcome is
	// stored.
	maxSettleWait    = 3 * time.Second
	settleTimeout    = 2 * time.Second
	minSettleBackoff = 100 * time.Millisecond
	maxSettleBackoff = 5 * time.Second
)

// settleResponse stores the outcome of a complete non-idempotent response with the
// control plane. It waits for at most maxSettleWait; after that the executor goes on
// trying in the background.
func (x *Executor) settleResponse(r *run, resp *http.Response, end *router.ResponseEnd) {
	answer := router.StoredAnswer{
		Outcome: router.Completed,
		Status:  resp.StatusCode,
		Header:  headerFields(resp.Header),
		Trailer: end.Trailer,
		Digest:  end.Digest,
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		answer.Outcome = router.Failed
	}
	r.mu.Lock()
	if identifier.ByteCount(len(r.storedBody)) > maxStoredBody {
		answer.TooLarge = true
	} else {
		answer.Body = r.storedBody
	}
	r.mu.Unlock()
	select {
	case <-x.settle(r.start, answer):
	case <-x.clock.After(maxSettleWait):
		x.logger.Warn("The end of a response is sent before the control plane has stored its outcome.", zap.String("request", string(r.start.Request)))
	}
}

// settle sends the settlement in the background until the control plane accepts it or
// the executor stops. The returned channel is closed then.
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
	x.settlements.Add(1)
	go func() {
		defer x.work.Done()
		defer x.settlements.Done()
		defer close(done)
		x.settleWithRetry(settlement)
	}()
	return done
}

func (x *Executor) settleWithRetry(settlement router.Settlement) {
	for backoff := minSettleBackoff; ; backoff = min(2*backoff, maxSettleBackoff) {
		ctx, cancel := context.WithTimeout(x.ctx, settleTimeout)
		err := x.claims.Settle(ctx, settlement)
		cancel()
		if err == nil {
			return
		}
		if x.sleep(x.ctx, backoff) != nil {
			x.logger.Error("The executor stopped before the control plane stored the outcome of a request.",
				zap.String("key", string(settlement.Key)), zap.Error(err))
			return
		}
	}
}
