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

// proposeTimeout bounds the wait for a commit. A submitter tries again.
const proposeTimeout = 5 * time.Second

// Proposer commits commands while its replica leads.
type Proposer interface {
	Propose(ctx context.Context, data []byte) (any, error)
}

// Permission decides whether the peer may submit the command.
type Permission func(peer connector.Peer, data []byte) error

// Server takes submitted commands on a control replica.
type Server struct {
	proposer   Proposer
	permission Permission
	logger     *zap.Logger
}

// NewServer returns a server that commits what the permission lets through.
func NewServer(proposer Proposer, permission Permission, logger *zap.Logger) *Server {
	return &Server{proposer: proposer, permission: permission, logger: logger.Named("submitter")}
}

// Serve answers one submission with the result of the state machine or Refused.
func (s *Server) Serve(ctx context.Context, stream *connector.Stream, first any) {
	command, ok := first.(*SubmitCommand)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	err := s.permission(stream.Peer(), command.Data)
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

// refusal tells the submitter to try again wherever a resend can help. A command
// whose outcome is unknown is sent again: commands are idempotent.
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
