package assembler

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"sync"
	"time"

	"go.uber.org/fx"

	"celeryvalve/announcer"
	"celeryvalve/certifier"
	"celeryvalve/configurer"
	"celeryvalve/fetcher"
	"celeryvalve/identifier"
	"celeryvalve/loader"
	"celeryvalve/parser"
	"celeryvalve/subscriber"
	"celeryvalve/transferrer"
)

const (
	originStall  = 5 * time.Second
	leaseTimeout = 5 * time.Second
	stateTimeout = time.Second
	orderTimeout = 10 * time.Minute
	// leaseRefresh is how often the loader is sent the lease and its expiry.
	leaseRefresh = 500 * time.Millisecond
	// progressRepeat is how often unchanged progress is reported again, since the
	// subscription may have moved to a replica that has not received it.
	progressRepeat = 10 * time.Second
)

// weightSync keeps the transfers of weights and the orders to the upstream in step with
// the configuration, the members and the lease.
type weightSync struct {
	parts       agentParts
	transferrer *transferrer.Transferrer
	runner      *loader.Runner

	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup
	wake   chan struct{}

	// The values that were last sent: desired to the loader, the others to the
	// transferrer.
	wants   map[fetcher.Name]wantedManifest
	peers   map[identifier.Digest][]fetcher.Peer
	paused  map[identifier.Digest]bool
	desired loader.Desired
	budgets budgets

	mu         sync.Mutex
	started    map[identifier.Digest]time.Time
	ready      map[identifier.Digest]time.Time
	reported   []subscriber.Transfer
	reportedAt time.Time
}

func serveWeights(parts agentParts) error {
	settings := parts.Settings.Agent
	store, err := transferrer.NewStore(transferrer.StoreConfig{Folder: settings.ChunkFolder, Limit: settings.ChunkMemory})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	w := &weightSync{
		parts:   parts,
		ctx:     ctx,
		cancel:  cancel,
		wake:    make(chan struct{}, 1),
		wants:   make(map[fetcher.Name]wantedManifest),
		peers:   make(map[identifier.Digest][]fetcher.Peer),
		paused:  make(map[identifier.Digest]bool),
		started: make(map[identifier.Digest]time.Time),
		ready:   make(map[identifier.Digest]time.Time),
	}
	w.transferrer = transferrer.New(transferConfig(parts), parts.Clock, store, transferrer.NewDialer(parts.Endpoint),
		newOriginLeaseClient(parts), parts.Metrics, parts.Logger, parts.Asserter)
	w.transferrer.OnEffect = w.onTransferEffect
	files := loader.NewFileServer(fmt.Sprintf("http://%s", parts.Settings.Admin), store.Open)
	parts.Exposer.Mount(loader.FilesPath, files)
	w.runner = loader.NewRunner(runnerConfig(settings), parts.Clock, files, parts.Logger, parts.Asserter)
	w.runner.OnEffect = w.onLoaderEffect
	for _, entry := range fetcher.Messages() {
		parts.Endpoint.Handle(entry.Kind(), w.transferrer.Handle)
	}
	parts.View.Watch(w.notify)
	parts.Announcer.OnLeaseChange(w.notify)
	parts.Announcer.SetTransferSource(w.progress)
	parts.Lifecycle.Append(fx.StartStopHook(w.start, w.stop))
	return nil
}

func transferConfig(parts agentParts) transferrer.Config {
	settings := parts.Settings
	cfg := fetcher.DefaultConfig()
	cfg.Self = fetcher.Peer{
		Upstream:         settings.Agent.Upstream,
		Region:           settings.Region,
		AvailabilityZone: settings.AvailabilityZone,
		Address:          settings.Address(),
		Incarnation:      parts.Incarnation,
	}
	cfg.StoreLimit = settings.Agent.ChunkMemory
	if settings.Agent.UploadRate > 0 {
		cfg.UploadRate = settings.Agent.UploadRate
	}
	if settings.Agent.DownloadRate > 0 {
		cfg.DownloadRate = settings.Agent.DownloadRate
	}
	return transferrer.Config{Fetcher: cfg, OriginStallTimeout: originStall, LeaseTimeout: leaseTimeout}
}

func runnerConfig(settings parser.AgentSettings) loader.RunnerConfig {
	cfg := loader.DefaultConfig()
	cfg.ChecksFencing = settings.ChecksFencing
	return loader.RunnerConfig{
		Loader:       cfg,
		EngineURL:    fmt.Sprintf("http://%s", settings.UpstreamAddress),
		StateTimeout: stateTimeout,
		OrderTimeout: orderTimeout,
	}
}

func (w *weightSync) start() {
	w.done.Go(func() {
		if err := w.transferrer.Run(w.ctx); err != nil {
			w.parts.Logger.Sugar().Errorf("Weight transfers stopped: %v", err)
		}
	})
	w.done.Go(func() { _ = w.runner.Run(w.ctx) })
	w.done.Go(w.run)
}

func (w *weightSync) stop() {
	w.cancel()
	w.done.Wait()
}

func (w *weightSync) notify() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// run passes the declared state, the lease and the measured delay to the transferrer and
// the loader until the context ends.
func (w *weightSync) run() {
	ticker := w.parts.Clock.NewTicker(leaseRefresh)
	defer ticker.Stop()
	for {
		select {
		case <-w.ctx.Done():
			return
		case <-w.wake:
			w.syncConfiguration()
			w.syncLease()
		case <-ticker.Chan():
			w.syncLease()
			w.transferrer.Send(w.ctx, fetcher.DelayMeasured{Delay: w.parts.Endpoint.QueueingDelay(certifier.Entry)})
		}
	}
}

func (w *weightSync) syncConfiguration() {
	cfg := w.parts.View.Configuration()
	wants := wantedManifests(cfg, w.parts.Settings.Agent.Service)
	for name := range w.wants {
		if _, ok := wants[name]; !ok {
			w.transferrer.Send(w.ctx, fetcher.Cancelled{Manifest: w.wants[name].manifest})
			delete(w.wants, name)
		}
	}
	for name, want := range wants {
		if w.wants[name] == want {
			continue
		}
		w.wants[name] = want
		w.recordStart(want.manifest)
		w.transferrer.Send(w.ctx, fetcher.Wanted{
			Manifest: want.manifest,
			Name:     name,
			Source:   want.source,
			Priority: want.priority,
			Favour:   want.favour,
		})
	}
	w.syncPause(cfg.Services[w.parts.Settings.Agent.Service].PauseRollout)
	w.syncPeers(cfg)
	w.syncBudgets(cfg.Transfers)
	w.syncDesired(cfg.Services[w.parts.Settings.Agent.Service], wants)
}

// syncPause pauses or resumes fetching. Chunks that are held are still served to peers.
func (w *weightSync) syncPause(paused bool) {
	for _, want := range w.wants {
		if w.paused[want.manifest] == paused {
			continue
		}
		w.paused[want.manifest] = paused
		if paused {
			w.transferrer.Send(w.ctx, fetcher.Paused{Manifest: want.manifest})
		} else {
			w.transferrer.Send(w.ctx, fetcher.Resumed{Manifest: want.manifest})
		}
	}
}

func (w *weightSync) recordStart(manifest identifier.Digest) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, ok := w.started[manifest]; !ok {
		w.started[manifest] = w.parts.Clock.Now()
	}
}

// syncPeers sends the transferrer the members that need each manifest.
func (w *weightSync) syncPeers(cfg configurer.Configuration) {
	members, _ := w.parts.View.Members()
	peers := make(map[identifier.Digest][]fetcher.Peer)
	for _, m := range members {
		for _, want := range wantedManifests(cfg, m.Service) {
			peers[want.manifest] = append(peers[want.manifest], fetcher.Peer{
				Upstream:         m.Upstream,
				Region:           m.Region,
				AvailabilityZone: m.AvailabilityZone,
				Address:          m.Address,
				Incarnation:      m.Incarnation,
				Token:            m.Token,
			})
		}
	}
	for _, want := range w.wants {
		now := peers[want.manifest]
		if slices.Equal(now, w.peers[want.manifest]) {
			continue
		}
		w.peers[want.manifest] = now
		w.transferrer.Send(w.ctx, fetcher.PeersChanged{Manifest: want.manifest, Peers: now})
	}
	maps.DeleteFunc(w.peers, func(manifest identifier.Digest, _ []fetcher.Peer) bool {
		return len(peers[manifest]) == 0
	})
}

// syncBudgets applies the rates of the configuration where they are below those of the
// settings. The rate of the thin link is divided among the members of the region that
// may send a stripe to another region.
func (w *weightSync) syncBudgets(transfers configurer.Transfers) {
	settings := w.parts.Settings.Agent
	defaults := fetcher.DefaultConfig()
	now := budgets{
		upload:   cmp.Or(lowerRate(settings.UploadRate, transfers.InstanceUploadRate), defaults.UploadRate),
		download: cmp.Or(lowerRate(settings.DownloadRate, transfers.InstanceDownloadRate), defaults.DownloadRate),
		thinLink: thinLinkShare(transfers.ThinLinkRate, w.crossRegionSenders()),
	}
	if now == w.budgets {
		return
	}
	w.budgets = now
	w.transferrer.Send(w.ctx, fetcher.BudgetsChanged{Upload: now.upload, Download: now.download})
	w.transferrer.SetInterRegionUploadRate(now.thinLink)
}

// thinLinkOversubscription is roughly the factor by which the budgets of the members that
// share a thin link may together exceed its rate. Some members send several stripes and most
// send none, so equal shares of the rate would leave the link idle.
const thinLinkOversubscription = 4

// thinLinkShare returns the budget of each of the members that may share a thin link.
func thinLinkShare(rate identifier.BytesPerSecond, senders int) identifier.BytesPerSecond {
	return min(rate, rate*thinLinkOversubscription/identifier.BytesPerSecond(senders))
}

// crossRegionSenders returns how many members of this region may send to another
// region at once: at most one for each stripe.
func (w *weightSync) crossRegionSenders() int {
	senders := 1
	for _, peers := range w.peers {
		local := 0
		for _, p := range peers {
			if p.Region == w.parts.Settings.Region {
				local++
			}
		}
		senders = max(senders, local)
	}
	return min(senders, fetcher.DefaultConfig().Stripes)
}

// budgets are the rates that transfers may use.
type budgets struct {
	upload, download, thinLink identifier.BytesPerSecond
}

// lowerRate returns the lower of two rates, where zero means no limit.
func lowerRate(a, b identifier.BytesPerSecond) identifier.BytesPerSecond {
	if a == 0 || (b > 0 && b < a) {
		return b
	}
	return a
}

func (w *weightSync) syncDesired(service configurer.Service, wants map[fetcher.Name]wantedManifest) {
	desired := loader.Desired{Role: loader.Role(service.Role), Paused: service.PauseRollout, Adapters: make(map[identifier.Adapter]loader.PinnedWeights)}
	for name, want := range wants {
		declared := loader.PinnedWeights{Version: want.version, Manifest: want.manifest}
		if name.Adapter != "" {
			desired.Adapters[name.Adapter] = declared
			continue
		}
		desired.Model = name.Model
		desired.Weights = declared
	}
	if reflect.DeepEqual(desired, w.desired) {
		return
	}
	w.desired = desired
	w.runner.Send(w.ctx, loader.DesiredChanged{Desired: desired})
}

func (w *weightSync) syncLease() {
	lease, holds := w.parts.Announcer.Lease()
	if !holds {
		w.runner.Send(w.ctx, loader.TokenLost{})
		return
	}
	w.runner.Send(w.ctx, loader.TokenGranted{Token: lease.Token, Expires: lease.Until, PreviousExpires: lease.From})
}

// onTransferEffect passes verified weights to the loader.
func (w *weightSync) onTransferEffect(effect fetcher.Effect) {
	if completed, ok := effect.(fetcher.Completed); ok {
		w.done.Go(func() { w.runner.Send(w.ctx, loader.WeightsVerified{Weights: completed.Weights}) })
	}
}

// onLoaderEffect announces to the control plane what the upstream serves.
func (w *weightSync) onLoaderEffect(effect loader.Effect) {
	serving, ok := effect.(loader.ServingChanged)
	if !ok {
		return
	}
	w.markReady(serving.State)
	w.parts.Announcer.SetServing(announcer.ServingState{
		Ready:    serving.State.Ready,
		Model:    serving.State.Model,
		Version:  serving.State.Version,
		Adapters: serving.State.Adapters,
	})
}
