package forwarder

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"celeryvalve/identifier"
	"celeryvalve/router"
)

// The headers of answers.
const (
	HeaderOutcome = "Celeryvalve-Outcome"
	HeaderCause   = "Celeryvalve-Cause"
	HeaderRequest = "Celeryvalve-Request"
)

// notice is the body of an answer that the entry itself gives.
type notice struct {
	Outcome router.Outcome
	Cause   router.Cause `json:",omitempty"`
	Message string
}

func (f *Forwarder) notFound(w http.ResponseWriter, _ *http.Request) {
	f.refuse(w, faultf(http.StatusNotFound, "the path names no service (write /SERVICE/PATH)"))
}

// refuse answers a request that was not admitted.
func (f *Forwarder) refuse(w http.ResponseWriter, err error) {
	var known *fault
	if !errors.As(err, &known) {
		known = &fault{status: http.StatusInternalServerError, message: err.Error()}
	}
	if known.status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	retryAfter := time.Duration(0)
	if known.status == http.StatusServiceUnavailable || known.status == http.StatusRequestTimeout {
		retryAfter = time.Second
	}
	writeNotice(w, known.status, notice{Outcome: router.NotRun, Message: known.message}, retryAfter)
}

func writeNotice(w http.ResponseWriter, status int, n notice, retryAfter time.Duration) {
	h := w.Header()
	h.Set(HeaderOutcome, string(n.Outcome))
	if n.Cause != "" {
		h.Set(HeaderCause, string(n.Cause))
	}
	if retryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(retryAfter.Seconds()))))
	}
	h.Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(n)
}

func (f *Forwarder) serve(w http.ResponseWriter, r *http.Request) {
	org, err := f.organisationOf(r)
	if err != nil {
		f.refuse(w, err)
		return
	}
	release, err := f.reserve(r)
	if err != nil {
		f.refuse(w, err)
		return
	}
	defer release()
	ex, err := f.read(w, r, org)
	if err != nil {
		f.refuse(w, err)
		return
	}
	w.Header().Set(HeaderRequest, string(ex.id))
	f.mu.Lock()
	f.exchanges[ex.id] = ex
	f.reduce(ex.arrived)
	f.mu.Unlock()
	rep := &reply{f: f, ex: ex, w: w, buffered: ex.arrived.Class == router.NonIdempotent}
	answer := rep.run(r)
	_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
	f.observe(ex, answer, rep)
	if rep.broken {
		// The status is out already: only a closed connection tells the caller.
		panic(http.ErrAbortHandler)
	}
}

func (f *Forwarder) observe(ex *exchange, answer router.Answer, rep *reply) {
	o := Observation{
		Organisation: ex.arrived.Organisation,
		Service:      ex.arrived.Service,
		Outcome:      answer.Outcome,
		Cause:        answer.Cause,
		Took:         f.clock.Since(ex.began),
		FirstByte:    rep.firstByte,
		Gaps:         rep.gaps,
		Left:         rep.gone,
	}
	if answer.Stored != nil {
		o.Outcome = answer.Stored.Outcome
	}
	f.count.answered(o)
	f.watch(o)
}

// reply writes one answer to the caller.
type reply struct {
	f  *Forwarder
	ex *exchange
	w  http.ResponseWriter
	// buffered says that the answer goes out only when it is whole.
	buffered bool

	head      *router.ResponseHead
	body      []byte
	taken     identifier.ByteCount
	rest      []byte
	started   bool
	gone      bool
	broken    bool
	firstByte time.Duration
	lastPart  time.Time
	gaps      []time.Duration
}

// run passes pieces on until the reducer's answer comes.
func (p *reply) run(r *http.Request) router.Answer {
	left := r.Context().Done()
	for {
		select {
		case piece := <-p.ex.pieces:
			p.pass(piece)
		case answer := <-p.ex.answer:
			p.passRest()
			p.end(answer)
			return answer
		case <-left:
			left = nil
			p.leave()
		case <-p.f.ctx.Done():
			p.broken = p.started
			return router.Answer{Request: p.ex.id, Outcome: router.Unknown, Cause: router.CallerLeft}
		}
	}
}

// passRest passes on what the attempt handed over before the reducer answered.
func (p *reply) passRest() {
	for {
		select {
		case piece := <-p.ex.pieces:
			p.pass(piece)
		default:
			return
		}
	}
}

// leave takes in that the caller is gone or too slow.
func (p *reply) leave() {
	if p.gone {
		return
	}
	p.gone = true
	p.f.post(router.CallerGone{Request: p.ex.id})
}

func (p *reply) pass(part piece) {
	if p.gone {
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
		p.time()
		p.passBody(part.data)
	}
}

// time notes when a part of the body came, for the service levels.
func (p *reply) time() {
	now := p.f.clock.Now()
	if p.lastPart.IsZero() {
		p.firstByte = now.Sub(p.ex.began)
	} else {
		p.gaps = append(p.gaps, now.Sub(p.lastPart))
	}
	p.lastPart = now
}

func (p *reply) passBody(data []byte) {
	if p.buffered {
		p.body = append(p.body, data...)
		return
	}
	p.passData(data)
}

// passData passes bytes on, but holds back those that complete a declared length
// until the answer is known to be whole: the caller would take it for whole.
func (p *reply) passData(data []byte) {
	p.taken += identifier.ByteCount(len(data))
	if p.taken == p.head.Length {
		p.rest = data
		return
	}
	p.write(data)
}

// start sends status and header. For a streamed answer the outcome holds once the
// answer ends whole; a broken one ends in a closed connection.
func (p *reply) start(outcome router.Outcome) {
	p.started = true
	copyHeader(p.w.Header(), p.head.Header)
	p.w.Header().Set(HeaderOutcome, string(outcome))
	p.w.WriteHeader(p.head.Status)
	p.flush()
}

func (p *reply) write(data []byte) {
	c := http.NewResponseController(p.w)
	// The kernel's clock bounds a slow caller. A recorder in a test has no deadline.
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := p.w.Write(data); err != nil {
		p.leave()
		return
	}
	p.flush()
}

func (p *reply) flush() {
	if err := http.NewResponseController(p.w).Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		p.leave()
	}
}

func (p *reply) end(answer router.Answer) {
	switch {
	case p.gone:
		p.broken = p.started
	case answer.Stored != nil && isWhole(answer.Stored.Outcome):
		p.endStored(answer.Stored)
	case isWhole(answer.Outcome) && p.head != nil:
		p.endWhole(answer.Outcome)
	case p.started:
		p.broken = true
	default:
		p.endNotice(answer)
	}
}

func isWhole(outcome router.Outcome) bool {
	return outcome == router.Completed || outcome == router.Failed
}

func (p *reply) endWhole(outcome router.Outcome) {
	if p.started {
		p.write(p.rest)
		return
	}
	p.start(outcome)
	p.write(p.body)
	p.broken = p.gone
}

// endStored gives the outcome of an earlier request with the same key.
func (p *reply) endStored(stored *router.StoredAnswer) {
	if stored.TooLarge || stored.Status == 0 {
		writeNotice(p.w, http.StatusConflict, notice{
			Outcome: stored.Outcome,
			Message: "the request ran and its answer is no longer kept (read the result from the service)",
		}, 0)
		return
	}
	p.head = &router.ResponseHead{Status: stored.Status, Header: stored.Header}
	p.start(stored.Outcome)
	p.write(stored.Body)
	copyTrailer(p.w.Header(), stored.Trailer)
	p.broken = p.gone
}

func (p *reply) endNotice(answer router.Answer) {
	n := notice{Outcome: answer.Outcome, Cause: answer.Cause}
	if answer.Stored != nil {
		n.Outcome = answer.Stored.Outcome
	}
	status, message := explain(n.Outcome, answer.Cause)
	n.Message = message
	writeNotice(p.w, status, n, answer.RetryAfter)
}

func outcomeOf(status int) router.Outcome {
	if status >= http.StatusInternalServerError {
		return router.Failed
	}
	return router.Completed
}

// explain returns the status and the remedy for an answer without a body of its own.
func explain(outcome router.Outcome, cause router.Cause) (int, string) {
	switch cause {
	case router.UnknownService:
		return http.StatusNotFound, "the service is not known (check the first segment of the path)"
	case router.Overloaded:
		return http.StatusTooManyRequests, "the service has more requests than it can run (send again after Retry-After)"
	case router.Quarantined:
		return http.StatusUnprocessableEntity, "requests like this one crashed an upstream (change it, or ask the operators to clear it)"
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
