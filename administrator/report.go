package administrator

import (
	"context"
	"net/http"
	"time"

	"celeryvalve/identifier"
	"celeryvalve/publisher"
	"celeryvalve/reporter"
	"celeryvalve/sampler"
	"celeryvalve/subscriber"
)

// controlSource is the source of the snapshot of rollouts, which the control plane
// adds to the entries' snapshots.
const controlSource = "Control"

// report returns the objectives, the snapshots of all entries and one snapshot of
// the rollouts.
func (s *Server) report(ctx context.Context, _ identifier.Operator, _ *http.Request) (any, error) {
	subscribers, unreachable := s.subscribers(ctx)
	snapshots, unreachableEntries := s.histories(ctx, subscribers)
	snapshots = append(snapshots, reporter.Snapshot{
		Source:   controlSource,
		Time:     s.deps.Clock.Now(),
		Rollouts: s.rollouts(subscribers),
	})
	return ReportView{
		Objectives: reporter.FromConfiguration(s.deps.State.Configuration()),
		Snapshots:  snapshots,
		Unheard:    append(unreachable, unreachableEntries...),
	}, nil
}

// histories returns the snapshots of all entries, and the names of the entries that
// did not answer.
func (s *Server) histories(ctx context.Context, subscribers []publisher.Subscriber) ([]reporter.Snapshot, []string) {
	var entries []target
	for _, sub := range subscribers {
		if sub.Entry {
			entries = append(entries, target{name: sub.Process, addr: sub.Address})
		}
	}
	answers, unreachable := gather[*sampler.HistoryAnswer](ctx, s.deps.Caller, entries, &sampler.HistoryRequest{})
	var all []reporter.Snapshot
	for _, answer := range answers {
		all = append(all, answer.Snapshots...)
	}
	return all, unreachable
}

// rollouts sums up, by service, the transfers of the model version that the service
// declares. Adapters are left out.
func (s *Server) rollouts(subscribers []publisher.Subscriber) []reporter.Rollout {
	cfg := s.deps.State.Configuration()
	services := make(map[identifier.Upstream]identifier.Service)
	for _, member := range s.deps.State.Members().Members {
		services[member.Upstream] = member.Service
	}
	byService := make(map[identifier.Service]*reporter.Rollout)
	for _, sub := range subscribers {
		name, ok := services[sub.Upstream]
		if !ok {
			continue
		}
		for _, transfer := range sub.Transfers {
			service := cfg.Services[name]
			if transfer.Adapter == "" && transfer.Model == service.Model && transfer.Version == service.Version {
				addTransfer(byService, name, transfer)
			}
		}
	}
	list := make([]reporter.Rollout, 0, len(byService))
	for _, rollout := range byService {
		if rollout.Ready < rollout.Wanted {
			rollout.Finished = time.Time{}
		}
		list = append(list, *rollout)
	}
	return list
}

// addTransfer adds the transfer of one instance to the rollout of its service.
// Declared becomes the start of the earliest transfer and Finished the time at
// which the last instance was ready.
func addTransfer(byService map[identifier.Service]*reporter.Rollout, name identifier.Service, t subscriber.Transfer) {
	rollout := byService[name]
	if rollout == nil {
		rollout = &reporter.Rollout{Service: name, Model: t.Model, Version: t.Version, Declared: t.Started}
		byService[name] = rollout
	}
	rollout.Wanted++
	rollout.Size = max(rollout.Size, t.Size)
	rollout.Received += t.SizeHeld
	rollout.FromOrigin += t.FromOrigin
	if t.Started.Before(rollout.Declared) {
		rollout.Declared = t.Started
	}
	if t.Ready.IsZero() {
		return
	}
	rollout.Ready++
	if t.Ready.After(rollout.Finished) {
		rollout.Finished = t.Ready
	}
}
