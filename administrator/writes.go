package administrator

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/gorilla/mux"

	"celeryvalve/configurer"
	"celeryvalve/controller"
	"celeryvalve/explainer"
	"celeryvalve/identifier"
	"celeryvalve/quarantiner"
)

// readBody decodes a JSON body of at most maxBody bytes. Unknown fields are errors.
func readBody[T any](r *http.Request) (T, error) {
	var body T
	dec := json.NewDecoder(http.MaxBytesReader(nil, r.Body, maxBody))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&body); err != nil {
		return body, explainer.Wrap(err, explainer.InvalidInput, "the body is malformed", "use a client of the same release")
	}
	return body, nil
}

// submitPatch submits a patch and returns its PatchAnswer, whose Outcome says
// whether the patch was accepted, lost a race against another patch (Conflict) or
// was refused for its faults. A body or a patch file that can't be parsed, and a
// patch without an id, fail with InvalidInput.
func (s *Server) submitPatch(ctx context.Context, operator identifier.Operator, r *http.Request) (any, error) {
	body, err := readBody[PatchSubmission](r)
	if err != nil {
		return nil, err
	}
	if body.ID == "" {
		return nil, explainer.New(explainer.InvalidInput, "the patch has no id", "give it an id, and resend it under the same id")
	}
	if _, err := configurer.ParsePatch(body.File, []byte(body.Source)); err != nil {
		return nil, err
	}
	patch := configurer.Patch{
		ID:       body.ID,
		Base:     body.Base,
		Operator: operator,
		File:     body.File,
		Source:   []byte(body.Source),
	}
	return s.submit(ctx, &controller.SubmitPatch{Patch: patch})
}

// submit submits a command of the controller and returns its result, or an error if
// the command was rejected.
func (s *Server) submit(ctx context.Context, command any) (any, error) {
	data, err := controller.EncodeCommand(command)
	if err != nil {
		return nil, err
	}
	result, err := s.deps.Submitter.Submit(ctx, data)
	if err != nil {
		return nil, err
	}
	if rejected, ok := result.(*controller.Rejected); ok {
		return nil, rejected.Err()
	}
	return result, nil
}

func (s *Server) clearQuarantine(ctx context.Context, operator identifier.Operator, r *http.Request) (any, error) {
	body, err := readBody[ClearSubmission](r)
	if err != nil {
		return nil, err
	}
	return s.submit(ctx, &quarantiner.ClearSuspects{Fingerprints: body.Fingerprints, Operator: operator})
}

// ReplicaAnswer is the answer to the admission or removal of the replica called Name.
type ReplicaAnswer struct {
	Name string
}

func (s *Server) admitReplica(ctx context.Context, _ identifier.Operator, r *http.Request) (any, error) {
	name := mux.Vars(r)["Name"]
	return ReplicaAnswer{Name: name}, s.deps.Replica.AdmitMember(ctx, name)
}

func (s *Server) removeReplica(ctx context.Context, _ identifier.Operator, r *http.Request) (any, error) {
	name := mux.Vars(r)["Name"]
	return ReplicaAnswer{Name: name}, s.deps.Replica.RemoveMember(ctx, name)
}
