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
	// leaseRefresh is how often the loader hears how long its lease holds.
	leaseRefresh = 500 * time.Millisecond
	// progressRepeat is how often unchanged progress is reported again, since a
	// subscription may have moved to a replica that does not know it.
	progressRepeat = 10 * time.Second
)

// weights ties the transfer of weights and the orders to the upstream to what
// the configuration, the members and the lease say.
type weights struct {
	parts       agentParts
	transferrer *transferrer.Transferrer
	runner      *loader.Runner

	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup
	wake   chan struct{}

	// wants and peers are what the transferrer was told last.
	wants   map[fetcher.Name]wanted
	peers   map[identifier.Digest][]fetcher.Peer
	paused  map[identifier.Digest]bool
	desired loader.Desired
	budgets budgets

	mu       sync.Mutex
	started  map[identifier.Digest]time.Time
	ready    map[identifier.Digest]time.Time
	reported []subscriber.Transfer
	at       time.Time
}

func serveWeights(parts agentParts) error {
	settings := parts.Settings.Agent
	store, err := transferrer.NewStore(transferrer.StoreConfig{Folder: settings.ChunkFolder, Limit: settings.ChunkMemory})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	w := &weights{
		parts:   parts,
		ctx:     ctx,
		cancel:  cancel,
		wake:    make(chan struct{}, 1),
		wants:   make(map[fetcher.Name]wanted),
		peers:   make(map[identifier.Digest][]fetcher.Peer),
		paused:  make(map[identifier.Digest]bool),
		started: make(map[identifier.Digest]time.Time),
		ready:   make(map[identifier.Digest]time.Time),
	}
	w.transferrer = transferrer.New(transferConfig(parts), parts.Clock, store, transferrer.Connect(parts.Endpoint),
		newOriginLessor(parts), parts.Metrics, parts.Logger, parts.Asserter)
	w.transferrer.OnEffect = w.onTransfer
	files := loader.NewFiles(fmt.Sprintf("http://%s", parts.Settings.Admin), store.Open)
	parts.Exposer.Mount(loader.FilesPath, files)
	w.runner = loader.NewRunner(runnerConfig(settings), parts.Clock, files, parts.Logger, parts.Asserter)
	w.runner.OnEffect = w.onOrder
	for _, entry := range fetcher.Messages() {
		parts.Endpoint.Handle(entry.Kind(), w.transferrer.Handle)
	}
	parts.View.Watch(w.nudge)
	parts.Announcer.OnChange(w.nudge)
	parts.Announcer.OnReport(w.progress)
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
		cfg.UploadBudget = settings.Agent.UploadRate
	}
	if settings.Agent.DownloadRate > 0 {
		cfg.DownloadBudget = settings.Agent.DownloadRate
	}
	return transferrer.Config{Fetcher: cfg, OriginStall: originStall, LeaseTimeout: leaseTimeout}
}

func runnerConfig(settings parser.AgentSettings) loader.RunnerConfig {
	cfg := loader.DefaultConfig()
	cfg.ChecksFencing = settings.ChecksFencing
	return loader.RunnerConfig{
		Loader:       cfg,
		Engine:       fmt.Sprintf("http://%s", settings.UpstreamAddress),
		StateTimeout: stateTimeout,
		OrderTimeout: orderTimeout,
	}
}

func (w *weights) start() {
	w.done.Go(func() {
		if err := w.transferrer.Run(w.ctx); err != nil {
			w.parts.Logger.Sugar().Errorf("Transfers ended: %v", err)
		}
	})
	w.done.Go(func() { _ = w.runner.Run(w.ctx) })
	w.done.Go(w.follow)
}

func (w *weights) stop() {
	w.cancel()
	w.done.Wait()
}

func (w *weights) nudge() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// follow brings the transfers and the loader to what is declared.
func (w *weights) follow() {
	ticker := w.parts.Clock.NewTicker(leaseRefresh)
	defer ticker.Stop()
	for {
		select {
		case <-w.ctx.Done():
			return
		case <-w.wake:
			w.followDeclared()
			w.followLease()
		case <-ticker.Chan():
			w.followLease()
			w.transferrer.Send(w.ctx, fetcher.DelayMeasured{Delay: w.parts.Endpoint.Delay(certifier.Entry)})
		}
	}
}

func (w *weights) followDeclared() {
	cfg := w.parts.View.Configuration()
	wants := wantsOf(cfg, w.parts.Settings.Agent.Service)
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
		w.begin(want.manifest)
		w.transferrer.Send(w.ctx, fetcher.Wanted{
			Manifest: want.manifest,
			Name:     name,
			Source:   want.source,
			Priority: want.priority,
			Favour:   want.favour,
		})
	}
	w.followPause(cfg.Services[w.parts.Settings.Agent.Service].PauseRollout)
	w.followPeers(cfg)
	w.followBudgets(cfg.Transfers)
	w.followDesired(cfg.Services[w.parts.Settings.Agent.Service], wants)
}

// followPause stops or continues fetching. What is held goes on being served.
func (w *weights) followPause(paused bool) {
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

func (w *weights) begin(manifest identifier.Digest) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, ok := w.started[manifest]; !ok {
		w.started[manifest] = w.parts.Clock.Now()
	}
}

// followPeers tells the transferrer who wants each manifest.
func (w *weights) followPeers(cfg configurer.Configuration) {
	members, _ := w.parts.View.Members()
	peers := make(map[identifier.Digest][]fetcher.Peer)
	for _, m := range members {
		for _, want := range wantsOf(cfg, m.Service) {
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

// followBudgets takes up the rates of the configuration, below those of the
// settings. The members of a region that may send a stripe to another one share
// the thin link.
func (w *weights) followBudgets(transfers configurer.Transfers) {
	settings := w.parts.Settings.Agent
	defaults := fetcher.DefaultConfig()
	now := budgets{
		upload:   cmp.Or(least(settings.UploadRate, transfers.InstanceUploadRate), defaults.UploadBudget),
		download: cmp.Or(least(settings.DownloadRate, transfers.InstanceDownloadRate), defaults.DownloadBudget),
		thin:     transfers.ThinLinkRate / identifier.BytesPerSecond(max(1, w.crossingSenders()/sendersThatFill)),
	}
	if now == w.budgets {
		return
	}
	w.budgets = now
	w.transferrer.Send(w.ctx, fetcher.BudgetsChanged{Upload: now.upload, Download: now.download})
	w.transferrer.SetThinLinkBudget(now.thin)
}

// sendersThatFill is how many members may fill a thin link together. Some send
// several stripes and most none, so even shares would leave the link idle.
const sendersThatFill = 4

// crossingSenders returns how many members of this region may send to another
// region at once: at most one for each stripe.
func (w *weights) crossingSenders() int {
	most := 1
	for _, peers := range w.peers {
		here := 0
		for _, p := range peers {
			if p.Region == w.parts.Settings.Region {
				here++
			}
		}
		most = max(most, here)
	}
	return min(most, fetcher.DefaultConfig().Stripes)
}

// budgets are the rates that transfers may use.
type budgets struct {
	upload, download, thin identifier.BytesPerSecond
}

// least returns the lower of two rates, where zero is no limit.
func least(a, b identifier.BytesPerSecond) identifier.BytesPerSecond {
	if a == 0 || (b > 0 && b < a) {
		return b
	}
	return a
}

func (w *weights) followDesired(service configurer.Service, wants map[fetcher.Name]wanted) {
	desired := loader.Desired{Role: loader.Role(service.Role), Paused: service.PauseRollout, Adapters: make(map[identifier.Adapter]loader.Declared)}
	for name, want := range wants {
		declared := loader.Declared{Version: want.version, Manifest: want.manifest}
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

func (w *weights) followLease() {
	lease, holds := w.parts.Announcer.Lease()
	if !holds {
		w.runner.Send(w.ctx, loader.TokenLost{})
		return
	}
	w.runner.Send(w.ctx, loader.TokenGranted{Token: lease.Token, Expires: lease.Until, PreviousExpires: lease.From})
}

// onTransfer hands verified weights to the loader.
func (w *weights) onTransfer(effect fetcher.Effect) {
	if completed, ok := effect.(fetcher.Completed); ok {
		w.done.Go(func() { w.runner.Send(w.ctx, loader.WeightsVerified{Weights: completed.Weights}) })
	}
}

// onOrder tells control what the upstream serves.
func (w *weights) onOrder(effect loader.Effect) {
	serving, ok := effect.(loader.ServingChanged)
	if !ok {
		return
	}
	w.markReady(serving.State)
	w.parts.Announcer.SetServing(announcer.Serving{
		Ready:    serving.State.Ready,
		Model:    serving.State.Model,
		Version:  serving.State.Version,
		Adapters: serving.State.Adapters,
	})
}
