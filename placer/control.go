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
	// replicaReconcileInterval is how often the replica checks its disk and the
	// membership.
	replicaReconcileInterval = 200 * time.Millisecond
	changeTimeout            = 5 * time.Second
	// reopenInterval is how often a failed disk is opened again.
	reopenInterval            = 3 * time.Second
	leadershipTransferTimeout = time.Second
	// closeTimeout is how long a stopping replica waits for its disk and for membership changes.
	closeTimeout = time.Second
	// handOverTimeout is how long a stopping replica waits, after the transfer of the
	// leadership, for a standby to take its place.
	handOverTimeout = 2 * time.Second
	// removedFolder is where the control folder is moved before it is deleted, so
	// that a partly deleted folder is not opened as a replica's disk.
	removedFolder = "control-removed"
	// electionTimeout is six heartbeats of the consensus protocol. It leaves time for
	// two elections in a row within one second, after which an operator tries another
	// instance.
	electionTimeout = 600 * time.Millisecond
)

func controlModule() fx.Option {
	return fx.Options(
		fx.Provide(newFileSystem, newReplica, newMirror),
		fx.Invoke(serveControl, serveMirror),
	)
}

func (r *replica) serveDocument(ctx context.Context, s *connector.Stream, _ any) {
	// The error is ignored: a peer whose stream ended asks again.
	_ = s.Send(r.document(ctx))
}

func serveControl(lc fx.Lifecycle, e *connector.Endpoint, r *replica, log *zap.Logger) {
	for _, entry := range coordinator.Messages() {
		e.Handle(entry.Kind(), replicaHandler(r, log))
	}
	submitter.NewServer(r, authorise, log).Register(e)
	e.Handle(readDocumentKind, r.serveDocument)
	lc.Append(fx.Hook{OnStart: r.start, OnStop: r.stop})
}

// replicaHandler returns a handler that passes on the messages of other replicas. It
// refuses peers without the role Control.
func replicaHandler(r *replica, log *zap.Logger) connector.Handler {
	return func(ctx context.Context, s *connector.Stream, first any) {
		if !s.Peer().Has(certifier.Control) {
			log.Warn("Refused a replica without the role Control.", zap.String("peer", s.Peer().Name))
			return
		}
		for msg, err := first, error(nil); err == nil; msg, err = s.ReceiveReadable(ctx) {
			r.receive(s.Peer().Address, msg)
		}
	}
}

// authorise lets entries and control replicas submit commands. Agents may not.
func authorise(peer connector.Peer, _ []byte) error {
	if peer.Has(certifier.Entry) || peer.Has(certifier.Control) {
		return nil
	}
	return explainer.New(explainer.Denied, "an agent may not submit declarations", "send operators' requests to an entry")
}
