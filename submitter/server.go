package submitter

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"celeryvalve/connector"
	"celeryvalve/coordinator"
	"celeryvalve/explainer"
)

// proposeTimeout limits the wait for a command to be committed. The submitter sends the
// command again afterwards.
const proposeTimeout = 5 * time.Second

// Proposer replicates commands while its replica is the leader. Propose returns the
// result of the state machine once the command is committed and applied.
type Proposer interface {
	Propose(ctx context.Context, data []byte) (any, error)
}

// AuthoriseFunc returns an error if the peer may not submit the command.
type AuthoriseFunc func(peer connector.Peer, data []byte) error

// Server handles submitted commands on a control replica.
type Server struct {
	proposer  Proposer
	authorise AuthoriseFunc
	logger    *zap.Logger
}

// NewServer returns a server that proposes the commands for which authorise returns nil.
func NewServer(proposer Proposer, authorise AuthoriseFunc, logger *zap.Logger) *Server {
	return &Server{proposer: proposer, authorise: authorise, logger: logger.Named("submitter")}
}

// Serve handles one submission. It answers with the result of the state machine, or with
// Refused.
func (s *Server) Serve(ctx context.Context, stream *connector.Stream, first any) {
	command, ok := first.(*SubmitCommand)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	err := s.authorise(stream.Peer(), command.Data)
	var result any
	if err == nil {
		result, err = s.proposer.Propose(ctx, command.Data)
	}
	if err != nil {
		s.logger.Debug("Refused a command.", zap.String("peer", stream.Peer().Name), zap.Error(err))
		result = refusal(err)
	}
	if err := stream.Send(result); err != nil {
		s.logger.Debug("Can't answer a command.", zap.String("peer", stream.Peer().Name), zap.Error(err))
	}
}

// refusal returns the answer to a command that failed with err. Its kind is Unavailable
// if sending the command again can help. That includes a command whose outcome is
// unknown, because commands are idempotent.
func refusal(err error) *Refused {
	refused := &Refused{Kind: explainer.KindOf(err), Problem: err.Error()}
	var notLeader *coordinator.NotLeaderError
	var unknown *coordinator.OutcomeUnknownError
	switch {
	case errors.As(err, &notLeader):
		refused.Kind = explainer.Unavailable
		refused.Leader = notLeader.Leader
	case errors.As(err, &unknown), errors.Is(err, context.DeadlineExceeded):
		refused.Kind = explainer.Unavailable
	}
	return refused
}
