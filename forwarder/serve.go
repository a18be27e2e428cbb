package forwarder

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"celeryvalve/dialer"

	"go.uber.org/zap"

	"celeryvalve/identifier"
	"celeryvalve/reader"
	"celeryvalve/router"
)

// Headers of responses.
const (
	HeaderOutcome = "Celeryvalve-Outcome"
	HeaderCause   = "Celeryvalve-Cause"
	HeaderRequest = "Celeryvalve-Request"
)

// localReply is the body of a response that the entry generates itself.
type localReply struct {
	Outcome router.Outcome
	Cause   router.Cause `json:",omitempty"`
	Message string
}

func (f *Forwarder) notFound(w http.ResponseWriter, _ *http.Request) {
	f.refuse(w, requestErrorf(http.StatusNotFound, "the path names no service (write /SERVICE/PATH)"))
}

// unreadBodyTimeout is how long the server waits for the rest of a body that is not
// needed, so that the connection can be used again. A slow sender gets its response then.
const unreadBodyTimeout = 50 * time.Millisecond

// refuse responds to a request that was not admitted.
func (f *Forwarder) refuse(w http.ResponseWriter, err error) {
	// The error is ignored because response recorders in tests have no deadlines.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadBodyTimeout))
	var reqErr *requestError
	if !errors.As(err, &reqErr) {
		reqErr = &requestError{status: http.StatusInternalServerError, message: err.Error()}
	}
	if reqErr.status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	retryAfter := time.Duration(0)
	if reqErr.status == http.StatusServiceUnavailable || reqErr.status == http.StatusRequestTimeout {
		retryAfter = time.Second
	}
	writeLocalReply(w, reqErr.status, localReply{Outcome: router.NotRun, Message: reqErr.message}, retryAfter)
}

// writeLocalReply sends a response that the entry generates itself. A retryAfter of 0
// sends no Retry-After header.
func writeLocalReply(w http.ResponseWriter, status int, body localReply, retryAfter time.Duration) {
	h := w.Header()
	h.Set(HeaderOutcome, string(body.Outcome))
	if body.Cause != "" {
		h.Set(HeaderCause, string(body.Cause))
	}
	if retryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(retryAfter.Seconds()))))
	}
	h.Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (f *Forwarder) serve(w http.ResponseWriter, r *http.Request) {
	org, err := f.authenticate(r)
	if err != nil {
		f.refuse(w, err)
		return
	}
	memory := f.requests.Reserve()
	defer memory.Close()
	ex, err := f.readRequest(w, r, org, memory)
	if err != nil {
		f.refuse(w, err)
		return
	}
	w.Header().Set(HeaderRequest, string(ex.id))
	f.mu.Lock()
	f.exchanges[ex.id] = ex
	f.reduce(ex.arrived)
	f.mu.Unlock()
	rep := &reply{f: f, ex: ex, w: w, buffered: ex.arrived.Class == router.NonIdempotent, memory: f.answers.Reserve()}
	defer rep.memory.Close()
	answer := rep.run(r)
	_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
	f.reportObservation(ex, answer, rep)
	if rep.broken {
		// Only closing the connection tells the caller that there is no complete response.
		panic(http.ErrAbortHandler)
	}
}

// reportObservation counts the answered request and passes its observation to OnAnswer.
func (f *Forwarder) reportObservation(ex *exchange, answer router.Answer, rep *reply) {
	o := Observation{
		Organisation: ex.arrived.Organisation,
		Service:      ex.arrived.Service,
		Outcome:      answer.Outcome,
		Cause:        answer.Cause,
		Duration:     f.clock.Since(ex.startedAt),
		FirstByte:    rep.firstByte,
		Gaps:         rep.gaps,
		CallerGone:   rep.callerGone,
	}
	if answer.Stored != nil {
		o.Outcome = answer.Stored.Outcome
	}
	f.counters.countAnswer(o)
	f.onAnswer(o)
}

// reply writes the response to one request to its caller.
type reply struct {
	f  *Forwarder
	ex *exchange
	w  http.ResponseWriter
	// buffered means that nothing is sent until the response is complete.
	buffered bool

	// memory is what body takes. noMemory means that there was none for all of it.
	memory   *reader.Reservation
	noMemory bool

	head     *router.ResponseHead
	body     [][]byte
	received identifier.ByteCount
	// heldBack is the last part of a body of declared length. It is sent once the
	// response is known to be complete.
	heldBack   []byte
	started    bool
	callerGone bool
	// broken means that there is no response or an incomplete one, so that the connection to
	// the caller must be closed.
	broken     bool
	firstByte  time.Duration
	lastPartAt time.Time
	gaps       []time.Duration
}

// run writes parts of the response until the reducer's answer arrives.
func (p *reply) run(r *http.Request) router.Answer {
	callerDone := r.Context().Done()
	for {
		select {
		case part := <-p.ex.parts:
			p.writePart(part)
		case answer := <-p.ex.answer:
			p.writeRemaining()
			p.end(answer)
			return answer
		case <-callerDone:
			callerDone = nil
			p.markCallerGone()
		case <-p.f.ctx.Done():
			p.broken = true
			return router.Answer{Request: p.ex.id, Outcome: router.Unknown, Cause: router.CallerLeft}
		}
	}
}

// writeRemaining writes the parts that the attempt delivered before the reducer
// answered.
func (p *reply) writeRemaining() {
	for {
		select {
		case part := <-p.ex.parts:
			p.writePart(part)
		default:
			return
		}
	}
}

// markCallerGone tells the reducer that the caller has disconnected or is too slow.
func (p *reply) markCallerGone() {
	if p.callerGone {
		return
	}
	p.callerGone = true
	p.f.post(router.CallerGone{Request: p.ex.id})
}

// writePart handles the next part of the response.
func (p *reply) writePart(part responsePart) {
	if p.callerGone {
		return
	}
	switch {
	case part.head != nil:
		p.head = part.head
		if !p.buffered {
			p.start(outcomeOf(part.head.Status))
		}
	case len(part.data) == 0:
		copyTrailer(p.w.Header(), part.trailer)
		return
	}
	if len(part.data) > 0 {
		p.recordPartTime()
		p.writeBody(part.data)
	}
}

// recordPartTime records the time of a body part for the observation.
func (p *reply) recordPartTime() {
	now := p.f.clock.Now()
	if p.lastPartAt.IsZero() {
		p.firstByte = now.Sub(p.ex.startedAt)
	} else {
		p.gaps = append(p.gaps, now.Sub(p.lastPartAt))
	}
	p.lastPartAt = now
}

// writeBody buffers body bytes if the reply is buffered, and sends them otherwise.
func (p *reply) writeBody(data []byte) {
	if !p.buffered {
		p.writeData(data)
		return
	}
	if err := p.memory.Grow(len(data)); err != nil {
		p.f.logger.Warn("An answer is not taken in, since there is no memory for it.", zap.String("request", string(p.ex.id)), zap.Error(err))
		p.noMemory, p.body = true, nil
		p.memory.Close()
		p.markCallerGone() // ends the request
		return
	}
	p.body = append(p.body, data)
}

// writeData sends body bytes. It holds back those that complete the declared length,
// because the caller would take the response for complete before that is certain.
func (p *reply) writeData(data []byte) {
	p.received += identifier.ByteCount(len(data))
	if p.received == p.head.Length {
		p.heldBack = data
		return
	}
	p.write(data)
}

// start sends the status and header. The outcome of a streamed response is valid only
// if the response ends normally; a broken one ends with a closed connection.
func (p *reply) start(outcome router.Outcome) {
	p.started = true
	copyHeader(p.w.Header(), p.head.Header)
	p.w.Header().Set(HeaderOutcome, string(outcome))
	p.w.WriteHeader(p.head.Status)
	p.flush()
}

func (p *reply) write(data []byte) {
	c := http.NewResponseController(p.w)
	// The deadline limits a slow caller. Connections use the system clock, not p.f.clock.
	// The error is ignored because response recorders in tests have no deadlines.
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := p.w.Write(data); err != nil {
		p.markCallerGone()
		return
	}
	p.flush()
}

func (p *reply) flush() {
	if err := http.NewResponseController(p.w).Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		p.markCallerGone()
	}
}

// end finishes the response according to the reducer's answer.
func (p *reply) end(answer router.Answer) {
	switch {
	case p.noMemory:
		p.endLocally(router.Answer{Request: answer.Request, Outcome: router.Unknown, Cause: answer.Cause})
	case p.callerGone:
		// The caller may still read: without an answer net/http would send a success.
		p.broken = true
	case answer.Stored != nil && isComplete(answer.Stored.Outcome):
		p.endStored(answer.Stored)
	case isComplete(answer.Outcome) && p.head != nil:
		p.endComplete(answer.Outcome)
	case p.started:
		p.broken = true
	default:
		p.endLocally(answer)
	}
}

// isComplete reports whether the outcome comes with a complete response from an upstream.
func isComplete(outcome router.Outcome) bool {
	return outcome == router.Completed || outcome == router.Failed
}

func (p *reply) endComplete(outcome router.Outcome) {
	if p.started {
		p.write(p.heldBack)
		return
	}
	p.start(outcome)
	for _, data := range p.body {
		if !p.callerGone {
			p.write(data)
		}
	}
	p.broken = p.callerGone
}

// endStored sends the stored outcome of an earlier request with the same key.
func (p *reply) endStored(stored *router.StoredAnswer) {
	if stored.TooLarge || dialer.CheckFinal(stored.Status) != nil {
		writeLocalReply(p.w, http.StatusConflict, localReply{
			Outcome: stored.Outcome,
			Message: "the request ran, but its response is not stored (read the result from the service)",
		}, 0)
		return
	}
	p.head = &router.ResponseHead{Status: stored.Status, Header: stored.Header}
	p.start(stored.Outcome)
	p.write(stored.Body)
	copyTrailer(p.w.Header(), stored.Trailer)
	p.broken = p.callerGone
}

func (p *reply) endLocally(answer router.Answer) {
	body := localReply{Outcome: answer.Outcome, Cause: answer.Cause}
	if answer.Stored != nil {
		body.Outcome = answer.Stored.Outcome
	}
	status, message := statusAndMessage(body.Outcome, answer.Cause)
	body.Message = message
	writeLocalReply(p.w, status, body, answer.RetryAfter)
}

func outcomeOf(status int) router.Outcome {
	if status >= http.StatusInternalServerError {
		return router.Failed
	}
	return router.Completed
}

// statusAndMessage returns the HTTP status and the message, with its remedy, for a
// request that ended without a response from an upstream.
func statusAndMessage(outcome router.Outcome, cause router.Cause) (int, string) {
	switch cause {
	case router.UnknownService:
		return http.StatusNotFound, "the service is not known (check the first segment of the path)"
	case router.Overloaded:
		return http.StatusTooManyRequests, "the service has more requests than it can run (send again after Retry-After)"
	case router.Quarantined:
		return http.StatusUnprocessableEntity, "requests equal to this one crashed an upstream (change it, or ask the operators to clear its fingerprint)"
	case router.KeyReused:
		return http.StatusUnprocessableEntity, "the idempotency key was used for another request (choose a new one)"
	case router.DeadlineExceeded:
		if outcome == router.NotRun {
			return http.StatusServiceUnavailable, "the deadline passed before the request could run (send again with a later one)"
		}
		return http.StatusGatewayTimeout, "the deadline passed while the request ran (send again with the same idempotency key)"
	}
	if outcome == router.NotRun {
		return http.StatusServiceUnavailable, "the request did not run (send again after Retry-After)"
	}
	return http.StatusBadGateway, "the request may have run (send again only if it is idempotent or has an idempotency key)"
}
