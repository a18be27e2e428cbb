package placer

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"celeryvalve/declarer"
	"celeryvalve/encoder"
	"celeryvalve/explainer"
	"celeryvalve/identifier"
	"celeryvalve/parser"
	"celeryvalve/quarantiner"
	"celeryvalve/registrar"
	"celeryvalve/spreader"
	"celeryvalve/submitter"
)

const readDocumentKind encoder.Kind = "Placer.ReadDocument"

// ReadDocument requests from a control replica the declaration as the operator wrote it.
type ReadDocument struct{}

// DocumentAnswer is the answer to ReadDocument.
type DocumentAnswer struct {
	// Known is set if the replica leads, as confirmed by a majority. Otherwise the answer stands for a refusal.
	Known bool
	// Document is packed; declarer.DecompressDocument unpacks it.
	Document []byte
	// Leader is the replica to ask instead, if it is known, and Term the term in which it was elected.
	Leader netip.AddrPort
	Term   uint64 `cbor:",omitempty"`
}

// Refusal implements submitter.Refusable.
func (a *DocumentAnswer) Refusal() *submitter.Refused {
	if a.Known {
		return nil
	}
	return &submitter.Refused{Kind: explainer.Unavailable, Problem: "this replica does not lead", Leader: a.Leader, Term: a.Term}
}

func controlAPIMessages() []encoder.MessageType {
	return []encoder.MessageType{
		encoder.Message[ReadDocument](readDocumentKind),
		encoder.Message[DocumentAnswer]("Placer.DocumentAnswer"),
	}
}

// reachTimeout is how long a process that has lost control looks for it before it rejects a call. It is a fifth of
// the second for which callers wait: enough for a handshake with a replica in another region, and early enough
// for the caller to ask another process.
const reachTimeout = 200 * time.Millisecond

// controlAPI implements platform.ControlAPI. It submits operators' declarations to the
// control replicas, and passes on the reports of upstreams to the other processes.
type controlAPI struct {
	placement parser.Placement
	submitter *submitter.Submitter
	spreader  *spreader.Spreader
	view      *declarer.View
	clock     clockwork.Clock
	set       *metrics.Set
	log       *zap.Logger

	departures confirmedDepartures
}

func newControlAPI(placement parser.Placement, s *submitter.Submitter, sp *spreader.Spreader, view *declarer.View, clock clockwork.Clock, set *metrics.Set, log *zap.Logger) *controlAPI {
	return &controlAPI{
		placement: placement, submitter: s, spreader: sp, view: view, clock: clock, set: set, log: log.Named("office"),
	}
}

// Replace submits a declaration that replaces the current one as a whole.
func (c *controlAPI) Replace(ctx context.Context, d declarer.Declaration, document []byte) error {
	return c.submit(ctx, &declarer.Replace{Declaration: d, Document: document})
}

// NameRelease submits which release of a model's weights is wanted.
func (c *controlAPI) NameRelease(ctx context.Context, model identifier.Model, n declarer.ReleaseNumber) error {
	return c.submit(ctx, &declarer.NameRelease{Model: model, Number: n})
}

func (c *controlAPI) submit(ctx context.Context, command any) error {
	answer, err := c.send(ctx, command)
	if err != nil {
		return err
	}
	return answerError(answer)
}

// send submits a command and returns its answer.
func (c *controlAPI) send(ctx context.Context, command any) (any, error) {
	data, err := declarer.EncodeCommand(command)
	if err != nil {
		return nil, err
	}
	if err := c.reachControl(ctx); err != nil {
		return nil, err
	}
	return c.submitter.Submit(ctx, data)
}

// reachControl prepares a call of the control replicas. It returns an error of kind Unavailable if this process
// has lost control and does not find it again at once.
func (c *controlAPI) reachControl(ctx context.Context) error {
	c.submitter.SetAddresses(c.spreader.ReplicaAddresses())
	if !c.spreader.HasLostControl() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, reachTimeout)
	defer cancel()
	return c.submitter.FindLeader(ctx)
}

// answerError returns the error that the answer to a command stands for, if any.
func answerError(answer any) error {
	switch a := answer.(type) {
	case *declarer.Rejected:
		return a.Err()
	case *declarer.Superseded:
		return a.Err()
	case *declarer.Answer, *quarantiner.Answer:
		return nil
	default:
		return unknownAnswer(answer)
	}
}

func unknownAnswer(answer any) error {
	return explainer.New(explainer.Internal, fmt.Sprintf("answer %T is not known", answer), "run the same release on all instances")
}

// Document returns the current declaration as the operator wrote it, from the leader.
func (c *controlAPI) Document(ctx context.Context) ([]byte, error) {
	if err := c.reachControl(ctx); err != nil {
		return nil, err
	}
	msg, err := c.submitter.Call(ctx, &ReadDocument{})
	if err != nil {
		return nil, explainer.Wrap(err, explainer.KindOf(err), "no leader could say which configuration is the newest", "try again")
	}
	answer, ok := msg.(*DocumentAnswer)
	if !ok {
		return nil, unknownAnswer(msg)
	}
	if len(answer.Document) == 0 {
		return nil, explainer.New(explainer.Unavailable, "no configuration has been declared yet", "declare one")
	}
	return declarer.DecompressDocument(answer.Document)
}

// Report records what an upstream reports of itself. A report that it accepts no new requests
// is confirmed only once the log of the control replicas holds it.
func (c *controlAPI) Report(ctx context.Context, r registrar.Record) error {
	r.Region = c.placement.Regions[r.AvailabilityZone]
	var changed bool
	var err error
	if r.State == registrar.Ready {
		changed, err = c.spreader.Report(r)
	} else {
		changed, err = c.reportDeparture(ctx, r)
	}
	if changed {
		c.log.Info("Upstream changed.", zap.String("upstream", string(r.Upstream)), zap.String("state", string(r.State)),
			zap.String("service", string(r.Service)), zap.Stringer("address", r.Address), zap.Uint64("sequence", r.Sequence),
			zap.Uint64("release", uint64(r.Release)))
	}
	return err
}

// Leave records that an upstream has left. It returns an error of kind Unavailable unless the
// log of the control replicas holds that.
func (c *controlAPI) Leave(ctx context.Context, upstream identifier.Upstream, incarnation identifier.Incarnation) error {
	r, ok := c.spreader.Find(upstream)
	if !ok {
		r = registrar.Record{Upstream: upstream, Incarnation: incarnation}
	}
	if incarnation != 0 {
		r.Incarnation = incarnation
	}
	r.State = registrar.Gone
	if _, err := c.reportDeparture(ctx, r); err != nil {
		return err
	}
	c.log.Info("Upstream left.", zap.String("upstream", string(upstream)))
	return nil
}
