package relayer

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"celeryvalve/balancer"
	"celeryvalve/declarer"
	"celeryvalve/identifier"
)

// exchange is one request of a caller with everything that is known of it.
type exchange struct {
	relayer *Relayer
	w       http.ResponseWriter
	r       *http.Request
	ctx     context.Context

	header       CallerHeader
	body         []byte
	routeName    identifier.Route
	route        declarer.Route
	organisation identifier.Organisation
	request      balancer.Request
	arrived      time.Time

	// passed is set once a byte of an answer has gone to the caller.
	passed    bool
	lastEvent string
	events    int
	attempts  int
	lastSend  balancer.Send
	// firstByte is the time from the arrival to the first byte of the answer.
	firstByte time.Duration
}

// ServeHTTP answers one request.
func (r *Relayer) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	r.count(1)
	defer r.count(-1)
	if r.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	x := &exchange{relayer: r, w: w, r: req, arrived: r.clock.Now(), header: r.dialect.ReadCaller(req.Header)}
	index := r.index.Load()
	if index == nil {
		x.own(http.StatusServiceUnavailable, "nothing is declared here yet", unreadyRetryAfter)
		return
	}
	if status, problem := x.admit(index); status != 0 {
		x.own(status, problem, 0)
		return
	}
	ctx, cancel := context.WithDeadline(req.Context(), x.request.Deadline)
	defer cancel()
	x.ctx = ctx
	x.run(r.reduce(balancer.Arrived{Request: x.request}))
}

// admit finds the route and the organisation and reads the body. A status other
// than 0 answers the request.
func (x *exchange) admit(index *declarer.Index) (status int, problem string) {
	if x.header.Attempt == "" {
		return http.StatusBadRequest, "the request has no id"
	}
	var ok bool
	x.routeName, x.route, ok = index.Find(x.r.Host, x.r.URL.EscapedPath())
	if !ok {
		return http.StatusNotFound, "no route matches the host and path"
	}
	x.organisation, ok = index.Organisation(x.header.Key)
	if !ok && !x.route.Public && len(index.Declaration.Organisations) > 0 {
		return http.StatusUnauthorized, "the key is not known"
	}
	if status, problem := x.readBody(index.Declaration.Limits); status != 0 {
		return status, problem
	}
	x.request = x.describe()
	return 0, ""
}

func (x *exchange) readBody(limits declarer.Limits) (status int, problem string) {
	limit := positive(limits.BodyBytes, defaultBodyBytes)
	body, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, limit))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return http.StatusRequestEntityTooLarge, "the body is larger than the limit"
	case err != nil:
		return http.StatusBadRequest, "the body ended early"
	}
	x.body = body
	return 0, ""
}

func (x *exchange) describe() balancer.Request {
	wait := x.route.Timeout
	if x.header.Remaining > 0 {
		wait = min(wait, x.header.Remaining)
	}
	random := x.relayer.nextRandom()
	return balancer.Request{
		ID:              identifier.RequestID(x.header.Attempt),
		Organisation:    x.organisation,
		Service:         x.route.Target(random),
		Repeatable:      x.route.Repeatable(),
		Generates:       x.route.Generates,
		PromptTokens:    x.header.PromptTokens,
		AnswerTokens:    x.header.AnswerTokens,
		Deadline:        x.arrived.Add(wait),
		Objective:       x.route.FirstByte,
		Returned:        x.header.Remaining > 0 && x.relayer.returned(x.routeName, x.header.Remaining),
		MaximumAttempts: max(1, x.route.MaximumAttempts),
		Random:          random,
	}
}

// run carries out effects until the request is answered.
func (x *exchange) run(effect balancer.Effect) {
	for {
		switch e := effect.(type) {
		case balancer.Send:
			x.attempts++
			x.lastSend = e
			effect = x.attempt(e)
		case balancer.Refuse:
			x.refuse(e)
			return
		case balancer.Fail:
			x.fail(e)
			return
		default:
			return
		}
	}
}

// refuse answers that the request has not run, with when to come back.
func (x *exchange) refuse(e balancer.Refuse) {
	x.relayer.meters.refused(e.Reason)
	x.log("Refused a request.", zap.String("reason", string(e.Reason)), zap.Duration("forecast", e.Forecast),
		zap.Duration("retryAfter", e.RetryAfter))
	if x.passed {
		x.abort()
	}
	x.own(http.StatusServiceUnavailable, string(e.Reason), e.RetryAfter)
}

// fail answers that the request may have run.
func (x *exchange) fail(e balancer.Fail) {
	x.log("Failed a request.", zap.String("reason", string(e.Reason)))
	if x.passed {
		x.abort()
	}
	status := http.StatusBadGateway
	if x.ctx.Err() != nil || e.Reason == balancer.DeadlineTooNear || e.Reason == balancer.TimeEnded {
		status = http.StatusGatewayTimeout
	}
	x.own(status, string(e.Reason), 0)
}

// abort breaks off the caller's connection, so that a part of an answer is not
// taken for the whole.
func (x *exchange) abort() {
	panic(http.ErrAbortHandler)
}

// ownAnswer is the body of an answer of the system's own.
type ownAnswer struct {
	Error string `json:"error"`
}

// own gives an answer of the system's own.
func (x *exchange) own(status int, problem string, retryAfter time.Duration) {
	x.relayer.meters.answered(status)
	if status < http.StatusInternalServerError {
		x.log("Denied a request.", zap.Int("status", status), zap.String("reason", problem))
	}
	h := x.w.Header()
	x.relayer.dialect.WriteOwn(h, x.header.Attempt, retryAfter)
	h.Set("Content-Type", "application/json")
	x.w.WriteHeader(status)
	// A caller that went away reads no answer.
	_ = json.NewEncoder(x.w).Encode(ownAnswer{Error: problem})
}

// log writes one line about the request.
func (x *exchange) log(message string, fields ...zap.Field) {
	x.relayer.log.Info(message, append([]zap.Field{
		zap.String("request", string(x.header.Attempt)),
		zap.String("route", string(x.routeName)),
		zap.String("organisation", string(x.organisation)),
		zap.Int("attempts", x.attempts),
		zap.Bool("returned", x.request.Returned),
		zap.Duration("after", x.relayer.clock.Since(x.arrived)),
	}, fields...)...)
}
