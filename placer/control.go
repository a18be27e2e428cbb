package placer

import (
	"context"
	"time"

	"go.uber.org/fx"
	"go.uber.org/zap"

	"celeryvalve/certifier"
	"celeryvalve/connector"
	"celeryvalve/coordinator"
	"celeryvalve/explainer"
	"celeryvalve/submitter"
)

const (
	controlFolder = "control"
	// tendInterval is how often the replica's neighbours are looked at.
	tendInterval = 200 * time.Millisecond
	// silentAfter is for how long a voter is waited for: longer than freezes,
	// restarts and cuts that heal by themselves.
	silentAfter = 10 * time.Second
	// joinerLifetime is for how long an announcement of a new replica counts; they
	// are repeated with every heartbeat of the consensus.
	joinerLifetime = time.Second
	changeTimeout  = 5 * time.Second
	// reopenInterval is how often a disk that failed is tried again.
	reopenInterval  = 3 * time.Second
	handOverTimeout = time.Second
	// outcastFolder holds what is removed, so that no part of it is taken for a disk.
	outcastFolder = "control-removed"
	// outcastPatience is for how long a replica waits for a leader that counts on it.
	outcastPatience = 5 * time.Second
	// electionTimeout is six heartbeats of the consensus, and leaves time for two
	// elections in a row within the second after which an operator moves on.
	electionTimeout = 600 * time.Millisecond
)

func controlModule() fx.Option {
	return fx.Options(
		fx.Provide(newReplica, newMirror),
		fx.Invoke(serveControl, serveMirror),
	)
}

func (r *replica) serveDocument(ctx context.Context, s *connector.Stream, _ any) {
	// A peer that went away asks again.
	_ = s.Send(r.document(ctx))
}

func serveControl(lc fx.Lifecycle, e *connector.Endpoint, r *replica, log *zap.Logger) {
	for _, entry := range coordinator.Messages() {
		e.Handle(entry.Kind(), receiveReplicas(r, log))
	}
	e.Handle(submitter.Kind, submitter.NewServer(r, permit, log).Serve)
	e.Handle(readDocumentKind, r.serveDocument)
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			r.open()
			r.tending.Start()
			return nil
		},
		OnStop: r.stop,
	})
}

// receiveReplicas hands the messages of other replicas on.
func receiveReplicas(r *replica, log *zap.Logger) connector.Handler {
	return func(ctx context.Context, s *connector.Stream, first any) {
		if !s.Peer().Has(certifier.Control) {
			log.Warn("Refused a replica without the role Control.", zap.String("peer", s.Peer().Name))
			return
		}
		for msg, err := first, error(nil); err == nil; msg, err = s.Receive(ctx) {
			r.receive(s.Peer().Address, msg)
		}
	}
}

// permit lets entries and replicas declare; an agent declares nothing.
func permit(peer connector.Peer, _ []byte) error {
	if peer.Has(certifier.Entry) || peer.Has(certifier.Control) {
		return nil
	}
	return explainer.New(explainer.Denied, "an agent may not declare anything", "send operators' calls to an entry")
}
