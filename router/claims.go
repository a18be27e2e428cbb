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
		r.claimDecided(q, e.Answer)
	case verifying:
		r.claimVerified(q, e.Answer)
	}
}

// claimDecided handles the answer to the claim of a request that has not been
// handed over yet.
func (r *Reducer) claimDecided(q *request, answer ClaimAnswer) {
	switch answer.Status {
	case Granted:
		r.claimGranted(q, answer)
	case Stored:
		r.finishStored(q, answer.Answer)
	case Held:
		r.askHolder(q, answer)
	case Mismatched:
		r.finish(q, NotRun, KeyReused, 0)
	case Fenced:
		r.claimFenced(q)
	default:
		r.finish(q, NotRun, ClaimsUnavailable, max(answer.RetryAfter, minRetryAfter))
	}
}

// claimFenced queues the request again after the control plane rejected the attempt
// as no longer current: its upstream left the membership list, or the claim that it
// would replace is settled. After maxRefusals it gives up.
func (r *Reducer) claimFenced(q *request) {
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

func (r *Reducer) claimGranted(q *request, answer ClaimAnswer) {
	q.attempt.token = answer.Token
	s := r.services[q.Service]
	if q.callerGone || s == nil {
		q.token = answer.Token
		r.release(q)
		r.giveUp(q, CallerLeft, 0)
		return
	}
	r.start(s, q)
}

// askHolder makes the attempt that holds the key's claim the current attempt of the
// request and asks its agent about it. If that agent is gone, the outcome is
// Unknown.
func (r *Reducer) askHolder(q *request, held ClaimAnswer) {
	r.release(q)
	q.token = 0
	if q.callerGone {
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

// verify asks the control plane for an outcome that the agent may have stored
// before it was lost.
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

func (r *Reducer) claimVerified(q *request, answer ClaimAnswer) {
	if answer.Status == Stored {
		r.finishStored(q, answer.Answer)
		return
	}
	token := q.attempt.token
	if answer.Status == Granted {
		token = answer.Token // settle the claim that the control plane holds now
	}
	r.settle(q, token, Unknown)
	r.finish(q, Unknown, UpstreamLost, 0)
}
