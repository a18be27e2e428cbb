package submitter

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"celeryvalve/connector"
	"celeryvalve/coordinator"
	"celeryvalve/encoder"
)

// proposeTimeout limits the wait for a command to be committed. The submitter sends the
// command again afterwards.
const proposeTimeout = 5 * time.Second

// Replica is the control replica of a process. Propose replicates a command while the replica is the
// leader, and returns the result of the state machine once the command is committed and applied.
type Replica interface {
	Propose(ctx context.Context, data []byte) (any, error)
	Leadership() coordinator.Leadership
}

// AuthoriseFunc returns an error if the peer may not submit the command.
type AuthoriseFunc func(peer connector.Peer, data []byte) error

// HandlerRegistry registers handlers for kinds of messages.
type HandlerRegistry interface {
	Handle(kind encoder.Kind, h connector.Handler)
}

// Server handles submitted commands on a control replica.
type Server struct {
	replica   Replica
	authorise AuthoriseFunc
	logger    *zap.Logger
}

// NewServer returns a server that proposes the commands for which authorise returns nil.
func NewServer(replica Replica, authorise AuthoriseFunc, logger *zap.Logger) *Server {
	return &Server{replica: replica, authorise: authorise, logger: logger.Named("submitter")}
}

// Register registers the handlers of submitted commands and of requests for the leader.
func (s *Server) Register(h HandlerRegistry) {
	h.Handle(Kind, s.serveCommand)
	h.Handle(LeaderKind, s.serveLeader)
}

// serveCommand answers a command with the result of the state machine, or with Refused.
func (s *Server) serveCommand(ctx context.Context, stream *connector.Stream, first any) {
	command, ok := first.(*SubmitCommand)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	err := s.authorise(stream.Peer(), command.Data)
	var result any
	if err == nil {
		result, err = s.replica.Propose(ctx, command.Data)
	}
	if err != nil {
		s.logger.Debug("Refused a command.", zap.String("peer", stream.Peer().Name), zap.Error(err))
		result = NewRefused(err, s.replica.Leadership())
	}
	s.answer(stream, result)
}

func (s *Server) serveLeader(_ context.Context, stream *connector.Stream, _ any) {
	known := s.replica.Leadership()
	s.answer(stream, &LeaderAnswer{Leader: known.Leader, Term: uint64(known.Term)})
}

func (s *Server) answer(stream *connector.Stream, msg any) {
	if err := stream.Send(msg); err != nil {
		s.logger.Debug("Can't answer a request.", zap.String("peer", stream.Peer().Name), zap.Error(err))
	}
}

// isRetryable reports whether sending a command again can help that failed with err. That includes a
// command whose outcome is unknown, because commands are idempotent.
func isRetryable(err error) bool {
	var notLeader *coordinator.NotLeaderError
	var unknown *coordinator.OutcomeUnknownError
	return errors.As(err, &notLeader) || errors.As(err, &unknown) || errors.Is(err, context.DeadlineExceeded)
}
