package router

func (r *Reducer) claim(q *request) {
	a := q.attempt
	r.emit(Claim{Request: q.ID, Claim: ClaimRequest{
		Organisation: q.Organisation,
		Service:      q.Service,
		Key:          q.Key,
		BodyDigest:   q.BodyDigest,
		Request:      q.ID,
		Attempt:      a.id,
		Upstream:     a.target.Upstream,
		Incarnation:  a.target.Incarnation,
		Replaces:     q.token,
	}})
}

func (r *Reducer) claimAnswered(e ClaimAnswered) {
	q := r.current(e.Request, e.Attempt)
	if q == nil {
		return
	}
	switch q.phase {
	case claiming:
		r.takeClaim(q, e.Answer)
	case verifying:
		r.takeVerdict(q, e.Answer)
	}
}

// takeClaim goes on with a request that has not been handed over.
func (r *Reducer) takeClaim(q *request, answer ClaimAnswer) {
	switch answer.Status {
	case Granted:
		r.takeGrant(q, answer)
	case Stored:
		r.finishStored(q, answer.Answer)
	case Held:
		r.join(q, answer)
	case Mismatched:
		r.finish(q, NotRun, KeyReused, 0)
	case Fenced:
		r.fenced(q)
	default:
		r.finish(q, NotRun, ClaimsUnavailable, max(answer.RetryAfter, minRetryAfter))
	}
}

// fenced goes on where control no longer takes the attempt: its upstream left the
// members, or what it replaces is settled.
func (r *Reducer) fenced(q *request) {
	r.failUpstream(q)
	q.token = 0
	q.refusals++
	r.release(q)
	if q.refusals > maxRefusals {
		r.giveUp(q, NoUpstream, minRetryAfter)
		return
	}
	r.requeue(q)
}

func (r *Reducer) takeGrant(q *request, answer ClaimAnswer) {
	q.attempt.token = answer.Token
	s := r.services[q.Service]
	if q.gone || s == nil {
		q.token = answer.Token
		r.release(q)
		r.giveUp(q, CallerLeft, 0)
		return
	}
	r.start(s, q)
}

// join asks the holder of the key's claim after its attempt.
func (r *Reducer) join(q *request, held ClaimAnswer) {
	r.release(q)
	q.token = 0
	if q.gone {
		r.finish(q, NotRun, CallerLeft, 0)
		return
	}
	u := r.upstreams[held.Upstream]
	q.attempt = &attempt{
		id:           held.Attempt,
		holder:       held.Request,
		token:        held.Token,
		target:       Target{Upstream: held.Upstream, Incarnation: held.Incarnation},
		foreign:      true,
		handedOver:   true,
		startedAt:    r.now,
		lastProgress: r.now,
	}
	q.phase = attempting
	if u == nil || u.view.Incarnation != held.Incarnation {
		r.settle(q, held.Token, Unknown)
		r.finish(q, Unknown, HolderLost, 0)
		return
	}
	q.attempt.target = targetOf(u)
	r.ask(q, false)
}

// verify asks control for an outcome that the agent may have stored before it
// was lost.
func (r *Reducer) verify(q *request) {
	q.mayHaveRun = true
	q.phase = verifying
	q.since = r.now
	a := q.attempt
	r.emit(Claim{Request: q.ID, Claim: ClaimRequest{
		Organisation: q.Organisation,
		Service:      q.Service,
		Key:          q.Key,
		BodyDigest:   q.BodyDigest,
		Request:      a.holder,
		Attempt:      a.id,
		Upstream:     a.target.Upstream,
		Incarnation:  a.target.Incarnation,
	}})
}

func (r *Reducer) takeVerdict(q *request, answer ClaimAnswer) {
	if answer.Status == Stored {
		r.finishStored(q, answer.Answer)
		return
	}
	token := q.attempt.token
	if answer.Status == Granted {
		token = answer.Token // whatever control holds for the attempt ends here
	}
	r.settle(q, token, Unknown)
	r.finish(q, Unknown, UpstreamLost, 0)
}
