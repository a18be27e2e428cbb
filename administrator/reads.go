package administrator

import (
	"context"
	"maps"
	"net/http"
	"slices"

	"celeryvalve/configurer"
	"celeryvalve/identifier"
	"celeryvalve/publisher"
)

// version counts the processes by the version that they have, and lists those that
// have an older version than the current one.
func (s *Server) version(ctx context.Context, _ identifier.Operator, _ *http.Request) (any, error) {
	current := s.deps.State.Configuration().Version
	subscribers, unreachable := s.subscribers(ctx)
	answer := VersionView{
		Version:   current,
		Processes: make(map[identifier.ConfigurationVersion]int),
		Unheard:   unreachable,
	}
	if leader, ok := s.deps.Replica.Leader(); ok {
		answer.Leader = leader.String()
	}
	for _, sub := range subscribers {
		answer.Processes[sub.Version]++
		if sub.Version < current {
			answer.Lagging = append(answer.Lagging, LaggingProcess{Process: sub.Process, Version: sub.Version, Reported: sub.Reported})
		}
	}
	return answer, nil
}

// subscribers returns the subscribers of all control replicas, and the names of
// the replicas that did not answer.
func (s *Server) subscribers(ctx context.Context) ([]publisher.Subscriber, []string) {
	var replicas []target
	for _, m := range s.deps.Replica.Status().Members {
		replicas = append(replicas, target{name: m.Name, addr: m.Addr})
	}
	answers, unreachable := gather[*StatusAnswer](ctx, s.deps.Caller, replicas, &StatusRequest{})
	var all []publisher.Subscriber
	for _, answer := range answers {
		all = append(all, answer.Subscribers...)
	}
	return all, unreachable
}

func (s *Server) configuration(_ context.Context, _ identifier.Operator, r *http.Request) (any, error) {
	cfg, err := s.requestedVersion(r, "Version")
	if err != nil {
		return nil, err
	}
	return ConfigurationView{Version: cfg.Version, Source: string(cfg.Print())}, nil
}

// requestedVersion returns the configuration whose version the query parameter
// gives, or the current one if the parameter is absent.
func (s *Server) requestedVersion(r *http.Request, parameter string) (configurer.Configuration, error) {
	current := s.deps.State.Configuration()
	version, err := uintParameter(r, parameter, current.Version)
	if err != nil || version == current.Version {
		return current, err
	}
	return s.deps.State.ConfigurationAt(version)
}

func (s *Server) history(_ context.Context, _ identifier.Operator, r *http.Request) (any, error) {
	limit, err := uintParameter(r, "Limit", defaultHistory)
	if err != nil {
		return nil, err
	}
	answer := HistoryView{}
	for _, record := range s.deps.State.PatchHistory(int(limit)) {
		answer.Patches = append(answer.Patches, record.Summary)
	}
	return answer, nil
}

func (s *Server) diff(_ context.Context, _ identifier.Operator, r *http.Request) (any, error) {
	from, err := s.requestedVersion(r, "From")
	if err != nil {
		return nil, err
	}
	to, err := s.requestedVersion(r, "To")
	if err != nil {
		return nil, err
	}
	return DiffView{From: from.Version, To: to.Version, Changes: configurer.Diff(from, to)}, nil
}

// services counts the upstreams of each service. An upstream is ready if it serves
// the model and version that the service declares and is not leaving.
func (s *Server) services(context.Context, identifier.Operator, *http.Request) (any, error) {
	cfg := s.deps.State.Configuration()
	views := make(map[identifier.Service]*ServiceView)
	for name, service := range cfg.Services {
		views[name] = &ServiceView{Service: name, Model: service.Model, Version: service.Version}
	}
	for _, member := range s.deps.State.Members().Members {
		v, ok := views[member.Service]
		if !ok {
			continue
		}
		v.Upstreams++
		if member.Serving && !member.Leaving && member.Model == v.Model && member.Version == v.Version {
			v.Ready++
		}
	}
	answer := ServicesView{}
	for _, name := range slices.Sorted(maps.Keys(views)) {
		answer.Services = append(answer.Services, *views[name])
	}
	return answer, nil
}

func (s *Server) upstreams(context.Context, identifier.Operator, *http.Request) (any, error) {
	return UpstreamsView{Upstreams: s.deps.State.Members().Members}, nil
}

func (s *Server) transfers(ctx context.Context, _ identifier.Operator, _ *http.Request) (any, error) {
	subscribers, unreachable := s.subscribers(ctx)
	answer := TransfersView{Origin: s.deps.State.OriginUse(), Unheard: unreachable}
	for _, sub := range subscribers {
		for _, transfer := range sub.Transfers {
			answer.Transfers = append(answer.Transfers, TransferView{Process: sub.Process, Upstream: sub.Upstream, Transfer: transfer})
		}
	}
	return answer, nil
}

func (s *Server) quarantine(context.Context, identifier.Operator, *http.Request) (any, error) {
	return QuarantineView{Suspects: s.deps.State.Suspects()}, nil
}

func (s *Server) replicas(context.Context, identifier.Operator, *http.Request) (any, error) {
	status := s.deps.Replica.Status()
	answer := ReplicasView{}
	if leader, ok := s.deps.Replica.Leader(); ok {
		answer.Leader = leader.String()
	}
	for _, m := range status.Members {
		answer.Replicas = append(answer.Replicas, ReplicaView{
			Name:    m.Name,
			Address: m.Addr.String(),
			Replica: m.Replica,
			Voter:   m.Voter,
			Match:   uint64(m.Match),
		})
	}
	for _, j := range status.Joiners {
		answer.Waiting = append(answer.Waiting, ReplicaView{Name: j.Name, Address: j.Addr.String(), Replica: j.Replica})
	}
	return answer, nil
}
