package placer

import (
	"context"
	"net/http"

	"go.uber.org/zap"

	"celeryvalve/certifier"
	"celeryvalve/connector"
	"celeryvalve/parser"
	"celeryvalve/relayer"
)

// routePage tells operators what this entry would do with a request. It serves peers with
// the role Operator alone: the answer says which keys are valid and where work is.
type routePage struct {
	placement parser.Placement
	relayer   *relayer.Relayer
	log       *zap.Logger
}

func serveRoutes(placement parser.Placement, e *connector.Endpoint, rel *relayer.Relayer, log *zap.Logger) {
	p := &routePage{placement: placement, relayer: rel, log: log.Named("route")}
	e.Handle(relayer.ExplainKind, p.serve)
}

func (p *routePage) serve(_ context.Context, s *connector.Stream, first any) {
	if !s.Peer().Has(certifier.Operator) {
		p.log.Warn("Refused to explain a request to a peer without the role Operator.", zap.String("peer", s.Peer().Name))
		_ = s.Send(&relayer.Explanation{Entry: p.placement.Instance, Status: http.StatusForbidden, Problem: "the key has not the role Operator"})
		return
	}
	// The error is ignored: an operator whose stream ended asks again.
	_ = s.Send(p.explain(first.(*relayer.ExplainRequest)))
}

func (p *routePage) explain(asked *relayer.ExplainRequest) *relayer.Explanation {
	x := relayer.Explanation{}
	if request, err := relayer.ParseRequest(asked.Request); err != nil {
		x.Status, x.Problem = http.StatusBadRequest, err.Error()
	} else {
		x = p.relayer.Explain(request)
	}
	x.Entry = p.placement.Instance
	p.log.Info("Explained a request to an operator.", zap.String("route", string(x.Route)), zap.Int("status", x.Status))
	return &x
}
