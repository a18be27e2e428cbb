package placer

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"celeryvalve/connector"
	"celeryvalve/declarer"
	"celeryvalve/encoder"
	"celeryvalve/explainer"
	"celeryvalve/identifier"
	"celeryvalve/parser"
	"celeryvalve/registrar"
	"celeryvalve/spreader"
	"celeryvalve/submitter"
)

const readDocumentKind encoder.Kind = "Placer.ReadDocument"

// ReadDocument asks a control replica for the declaration as it was written.
type ReadDocument struct{}

// DocumentAnswer answers ReadDocument.
type DocumentAnswer struct {
	// Known is set where the replica leads and a majority has confirmed it.
	Known bool
	// Document is packed, for declarer.UnpackDocument.
	Document []byte
	// Leader is whom to ask instead, if it is known.
	Leader netip.AddrPort
}

func officeMessages() []encoder.Entry {
	return []encoder.Entry{
		encoder.Message[ReadDocument](readDocumentKind),
		encoder.Message[DocumentAnswer]("Placer.DocumentAnswer"),
	}
}

// documentTimeout bounds the question to one replica, so that the next one can
// still be asked.
const documentTimeout = 300 * time.Millisecond

// office takes what operators declare to the control replicas, and what upstreams
// report to the other processes.
type office struct {
	placement parser.Placement
	submitter *submitter.Submitter
	spreader  *spreader.Spreader
	endpoint  *connector.Endpoint
	replica   *replica // or nil
	log       *zap.Logger
}

func newOffice(placement parser.Placement, s *submitter.Submitter, sp *spreader.Spreader, e *connector.Endpoint,
	r *replica, log *zap.Logger) *office {
	return &office{placement: placement, submitter: s, spreader: sp, endpoint: e, replica: r, log: log.Named("office")}
}

// Replace declares everything anew.
func (o *office) Replace(ctx context.Context, d declarer.Declaration, document []byte) error {
	return o.submit(ctx, &declarer.Replace{Declaration: d, Document: document})
}

// NameRelease says which weights of a model are wanted.
func (o *office) NameRelease(ctx context.Context, model identifier.Model, n declarer.ReleaseNumber) error {
	return o.submit(ctx, &declarer.NameRelease{Model: model, Number: n})
}

func (o *office) submit(ctx context.Context, command any) error {
	data, err := declarer.EncodeCommand(command)
	if err != nil {
		return err
	}
	o.submitter.SetAddresses(o.spreader.Replicas())
	answer, err := o.submitter.Submit(ctx, data)
	if err != nil {
		return err
	}
	switch a := answer.(type) {
	case *declarer.Rejected:
		return a.Err()
	case *declarer.Answer:
		return nil
	default:
		return explainer.New(explainer.Internal, fmt.Sprintf("answer %T is not known", answer), "run the same release everywhere")
	}
}

// Document asks the leader for the declaration as it was written.
func (o *office) Document(ctx context.Context) ([]byte, error) {
	asked := make(map[netip.AddrPort]bool)
	queue := o.spreader.Replicas()
	if o.replica != nil {
		queue = append([]netip.AddrPort{o.placement.Inner}, queue...)
	}
	for len(queue) > 0 && ctx.Err() == nil {
		addr := queue[0]
		queue = queue[1:]
		if asked[addr] {
			continue
		}
		asked[addr] = true
		answer := o.askDocument(ctx, addr)
		if answer.Known && len(answer.Document) > 0 {
			return declarer.UnpackDocument(answer.Document)
		}
		if answer.Leader.IsValid() {
			queue = append([]netip.AddrPort{answer.Leader}, queue...)
		}
	}
	return nil, explainer.New(explainer.Unavailable, "no leader could say which configuration is the newest", "ask again")
}

func (o *office) askDocument(ctx context.Context, addr netip.AddrPort) *DocumentAnswer {
	ctx, cancel := context.WithTimeout(ctx, documentTimeout)
	defer cancel()
	if o.replica != nil && addr == o.placement.Inner {
		return o.replica.document(ctx)
	}
	msg, err := o.endpoint.Call(ctx, addr, &ReadDocument{})
	answer, ok := msg.(*DocumentAnswer)
	if err != nil || !ok {
		o.log.Debug("Replica did not answer.", zap.Stringer("address", addr), zap.Error(err))
		return &DocumentAnswer{}
	}
	return answer
}

// Report takes in what an upstream says of itself. That it leaves is acknowledged
// only while others hear of it.
func (o *office) Report(_ context.Context, r registrar.Record) error {
	r.Region = o.placement.Regions[r.AvailabilityZone]
	if r.State != registrar.Ready && !o.spreader.Connected() {
		return explainer.New(explainer.Unavailable, "this process can't tell the others", "report to another process")
	}
	if o.spreader.Report(r) {
		o.log.Info("Upstream changed.", zap.String("upstream", string(r.Upstream)), zap.String("state", string(r.State)),
			zap.String("service", string(r.Service)), zap.Stringer("address", r.Address), zap.Uint64("sequence", r.Sequence),
			zap.Uint64("release", uint64(r.Release)))
	}
	return nil
}

// Leave takes in that an upstream has left.
func (o *office) Leave(_ context.Context, upstream identifier.Upstream, incarnation identifier.Incarnation) error {
	if !o.spreader.Connected() {
		return explainer.New(explainer.Unavailable, "this process can't tell the others", "report to another process")
	}
	r, ok := o.spreader.Find(upstream)
	if !ok {
		r = registrar.Record{Upstream: upstream, Incarnation: incarnation}
	}
	if incarnation != 0 {
		r.Incarnation = incarnation
	}
	r.State = registrar.Gone
	o.spreader.Report(r)
	o.log.Info("Upstream left.", zap.String("upstream", string(upstream)))
	return nil
}
