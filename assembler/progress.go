package assembler

import (
	"reflect"

	"celeryvalve/fetcher"
	"celeryvalve/loader"
	"celeryvalve/subscriber"
)

func (w *weightSync) markReady(state loader.State) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.parts.Clock.Now()
	for _, p := range w.transferrer.Snapshot() {
		serves := state.Ready && state.Model == p.Name.Model && state.Version == p.WeightVersion
		if p.Name.Adapter != "" {
			serves = state.Adapters[p.Name.Adapter] == p.WeightVersion
		}
		if _, known := w.ready[p.Manifest]; serves && !known {
			w.ready[p.Manifest] = now
		}
	}
}

// progress returns the transfers for a report, or nil if they are unchanged and were
// reported less than progressRepeat ago.
func (w *weightSync) progress() []subscriber.Transfer {
	snapshot := w.transferrer.Snapshot()
	w.mu.Lock()
	defer w.mu.Unlock()
	transfers := make([]subscriber.Transfer, 0, len(snapshot))
	for _, p := range snapshot {
		transfers = append(transfers, w.transferOf(p))
	}
	now := w.parts.Clock.Now()
	if reflect.DeepEqual(transfers, w.reported) && now.Sub(w.reportedAt) < progressRepeat {
		return nil
	}
	w.reported, w.reportedAt = transfers, now
	return transfers
}

func (w *weightSync) transferOf(p fetcher.Progress) subscriber.Transfer {
	transfer := subscriber.Transfer{
		Manifest:   p.Manifest,
		Model:      p.Name.Model,
		Adapter:    p.Name.Adapter,
		Version:    p.WeightVersion,
		Chunks:     p.Chunks,
		ChunksHeld: p.ChunksHeld,
		Size:       p.Size,
		SizeHeld:   p.SizeHeld,
		FromOrigin: p.FromOrigin,
		FromPeers:  p.FromPeers,
		Started:    w.started[p.Manifest],
		Ready:      w.ready[p.Manifest],
		Problem:    p.Problem,
	}
	for _, blame := range p.SourceFailures {
		transfer.Blamed = append(transfer.Blamed, blame.Source.Peer)
	}
	return transfer
}
