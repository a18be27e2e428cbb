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

// reportSource names the snapshots that control itself adds.
const reportSource = "Control"

// report gathers the histories of all entries and the state of the rollouts.
func (s *Server) report(ctx context.Context, _ identifier.Operator, _ *http.Request) (any, error) {
	subscribers, unheard := s.subscribers(ctx)
	snapshots, silent := s.histories(ctx, subscribers)
	snapshots = append(snapshots, reporter.Snapshot{
		Source:   reportSource,
		Time:     s.deps.Clock.Now(),
		Rollouts: s.rollouts(subscribers),
	})
	return ReportView{
		Objectives: reporter.FromConfiguration(s.deps.State.Configuration()),
		Snapshots:  snapshots,
		Unheard:    append(unheard, silent...),
	}, nil
}

// histories reads what every entry counted.
func (s *Server) histories(ctx context.Context, subscribers []publisher.Subscriber) ([]reporter.Snapshot, []string) {
	var entries []source
	for _, sub := range subscribers {
		if sub.Entry {
			entries = append(entries, source{name: sub.Process, addr: sub.Address})
		}
	}
	answers, silent := gather[*sampler.HistoryAnswer](ctx, s.deps.Caller, entries, &sampler.HistoryRequest{})
	var all []reporter.Snapshot
	for _, answer := range answers {
		all = append(all, answer.Snapshots...)
	}
	return all, silent
}

// rollouts sums up the transfers of the declared versions by service.
func (s *Server) rollouts(subscribers []publisher.Subscriber) []reporter.Rollout {
	cfg := s.deps.State.Configuration()
	services := make(map[identifier.Upstream]identifier.Service)
	for _, member := range s.deps.State.Members().Members {
		services[member.Upstream] = member.Service
	}
	found := make(map[identifier.Service]*reporter.Rollout)
	for _, sub := range subscribers {
		name, ok := services[sub.Upstream]
		if !ok {
			continue
		}
		for _, transfer := range sub.Transfers {
			service := cfg.Services[name]
			if transfer.Adapter == "" && transfer.Model == service.Model && transfer.Version == service.Version {
				addTransfer(found, name, transfer)
			}
		}
	}
	list := make([]reporter.Rollout, 0, len(found))
	for _, rollout := range found {
		if rollout.Ready < rollout.Wanted {
			rollout.Finished = time.Time{}
		}
		list = append(list, *rollout)
	}
	return list
}

// addTransfer adds one instance to its service's rollout, which began with the
// first transfer and ended with the last.
func addTransfer(found map[identifier.Service]*reporter.Rollout, name identifier.Service, t subscriber.Transfer) {
	rollout := found[name]
	if rollout == nil {
		rollout = &reporter.Rollout{Service: name, Model: t.Model, Version: t.Version, Declared: t.Started}
		found[name] = rollout
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
