package assembler

import (
	"context"
	"fmt"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"celeryvalve/admitter"
	"celeryvalve/controller"
	"celeryvalve/explainer"
	"celeryvalve/quarantiner"
	"celeryvalve/router"
	"celeryvalve/submitter"
)

// claimClient makes and settles claims at the control plane for entries and agents.
type claimClient struct {
	process   string
	submitter *submitter.Submitter
}

// submit sends the command to the control plane and returns the answer, which must be
// of type T. A controller.Rejected answer is returned as its error.
func submit[T any](ctx context.Context, s *submitter.Submitter, command any) (T, error) {
	var zero T
	data, err := controller.EncodeCommand(command)
	if err != nil {
		return zero, err
	}
	result, err := s.Submit(ctx, data)
	if err != nil {
		return zero, err
	}
	switch answer := result.(type) {
	case *controller.Rejected:
		return zero, answer.Err()
	case T:
		return answer, nil
	default:
		return zero, explainer.New(explainer.Internal, fmt.Sprintf("the control plane answered %T to %T", result, command),
			"check that both processes run compatible releases")
	}
}

// Claim asks the control plane for the right to start a non-idempotent request.
func (c claimClient) Claim(ctx context.Context, r router.ClaimRequest) (router.ClaimAnswer, error) {
	answer, err := submit[*controller.ClaimAnswer](ctx, c.submitter, &controller.Claim{
		Organisation: r.Organisation,
		Service:      r.Service,
		Key:          r.Key,
		BodyDigest:   r.BodyDigest,
		Request:      r.Request,
		Attempt:      r.Attempt,
		Upstream:     r.Upstream,
		Incarnation:  r.Incarnation,
		Entry:        c.process,
		Replaces:     r.Replaces,
	})
	if err != nil {
		return router.ClaimAnswer{}, err
	}
	return claimAnswerOf(answer)
}

var claimStatuses = map[controller.ClaimStatus]router.ClaimStatus{
	controller.Granted:    router.Granted,
	controller.InProgress: router.Held,
	controller.Settled:    router.Stored,
	controller.Mismatch:   router.Mismatched,
	controller.Full:       router.Unavailable,
	controller.Fenced:     router.Fenced,
}

// storedAnswers decodes the answers of upstreams, whose headers may hold any bytes.
var storedAnswers = sync.OnceValue(func() cbor.DecMode {
	mode, err := cbor.DecOptions{UTF8: cbor.UTF8DecodeInvalid}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
})

func claimAnswerOf(a *controller.ClaimAnswer) (router.ClaimAnswer, error) {
	answer := router.ClaimAnswer{
		Status:      claimStatuses[a.Status],
		Token:       a.Token,
		Request:     a.Request,
		Attempt:     a.Attempt,
		Upstream:    a.Upstream,
		Incarnation: a.Incarnation,
		RetryAfter:  a.RetryAfter,
	}
	if a.Status != controller.Settled {
		return answer, nil
	}
	if len(a.Answer) > 0 {
		if err := storedAnswers().Unmarshal(a.Answer, &answer.Answer); err != nil {
			return answer, explainer.Wrap(err, explainer.Corrupt, "the stored answer is malformed",
				"check that all processes run compatible releases")
		}
	}
	answer.Answer.Outcome = router.Outcome(a.Outcome)
	return answer, nil
}

// Settle ends a claim under its token and stores its outcome and answer.
func (c claimClient) Settle(ctx context.Context, s router.Settlement) error {
	stored, err := cbor.Marshal(s.Answer)
	if err != nil {
		return err
	}
	_, err = submit[*controller.SettleAnswer](ctx, c.submitter, &controller.Settle{
		Organisation: s.Organisation,
		Service:      s.Service,
		Key:          s.Key,
		Token:        s.Token,
		Outcome:      controller.Outcome(s.Answer.Outcome),
		Answer:       stored,
	})
	return err
}

// crashReporter reports to the control plane the requests that may have crashed the
// upstream, and those that are cleared of it.
type crashReporter struct {
	submitter *submitter.Submitter
}

// ReportCrash reports the requests that were in flight when the upstream crashed.
func (c crashReporter) ReportCrash(ctx context.Context, r admitter.CrashReport) error {
	command := &quarantiner.ReportCrash{
		Upstream:    r.Upstream,
		Incarnation: r.Incarnation,
		Crash:       r.Number,
	}
	for _, suspect := range r.Suspects {
		command.InFlight = append(command.InFlight, quarantiner.InFlight{
			Fingerprint:  suspect.Fingerprint,
			Organisation: suspect.Organisation,
			Service:      suspect.Service,
		})
	}
	_, err := submit[*quarantiner.Answer](ctx, c.submitter, command)
	return err
}

// ReportCleared reports that a suspect request ran alone to completion.
func (c crashReporter) ReportCleared(ctx context.Context, fingerprint quarantiner.Fingerprint) error {
	command := &quarantiner.ClearSuspects{Fingerprints: []quarantiner.Fingerprint{fingerprint}}
	_, err := submit[*quarantiner.Answer](ctx, c.submitter, command)
	return err
}
