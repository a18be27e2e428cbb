package assembler

import (
	"context"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/fx"

	"celeryvalve/announcer"
	"celeryvalve/certifier"
	"celeryvalve/configurer"
	"celeryvalve/controller"
	"celeryvalve/fetcher"
	"celeryvalve/identifier"
	"celeryvalve/loader"
	"celeryvalve/parser"
	"celeryvalve/submitter"
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
	// adapterPriority puts small adapters before models of the same service.
	adapterPriority = 1
)

// wanted is one manifest that the configuration asks of this upstream.
type wanted struct {
	name     fetcher.Name
	version  identifier.WeightVersion
	manifest identifier.Digest
	source   string
	priority fetcher.Priority
	favour   fetcher.Favour
}

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
	lessor := originLessor{
		upstream:    settings.Upstream,
		incarnation: parts.Incarnation,
		submitter:   parts.Submitter,
		clock:       parts.Clock,
		requests:    new(atomic.Uint64),
	}
	w.transferrer = transferrer.New(transferConfig(parts), parts.Clock, store, transferrer.Connect(parts.Endpoint),
		lessor, parts.Metrics, parts.Logger, parts.Asserter)
	w.transferrer.OnEffect = w.onTransfer
	files := loader.NewFiles(fmt.Sprintf("http://%s", parts.Settings.Admin), store.Open)
	parts.Exposer.Mount(loader.FilesPath, files)
	w.runner = loader.NewRunner(runnerConfig(settings), parts.Clock, files, parts.Logger, parts.Asserter)
	w.runner.OnEffect = w.onOrder
	for _, entry := range fetcher.Messages() {
		parts.Endpoint.Handle(entry.Kind(), w.transferrer.Handle)
	}
	parts.Book.Watch(w.nudge)
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
	cfg := w.parts.Book.Configuration()
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

// wantsOf returns the manifests that the service's upstreams serve, by name.
func wantsOf(cfg configurer.Configuration, name identifier.Service) map[fetcher.Name]wanted {
	wants := make(map[fetcher.Name]wanted)
	service, ok := cfg.Services[name]
	if !ok {
		return wants
	}
	add := func(n fetcher.Name, version identifier.WeightVersion, release configurer.Release, priority int) {
		wants[n] = wanted{
			name:     n,
			version:  version,
			manifest: release.Manifest,
			source:   strings.TrimSuffix(cfg.Transfers.OriginAddress, "/") + release.Source,
			priority: fetcher.Priority(priority),
			favour:   fetcher.Favour(cfg.FavourOf(name)),
		}
	}
	if release, ok := cfg.Models[service.Model].Versions[service.Version]; ok {
		add(fetcher.Name{Model: service.Model}, service.Version, release, service.Priority)
	}
	for adapter, version := range service.Adapters {
		if release, ok := cfg.Adapters[adapter].Versions[version]; ok {
			add(fetcher.Name{Model: service.Model, Adapter: adapter}, version, release, service.Priority+adapterPriority)
		}
	}
	return wants
}

// followPeers tells the transferrer who wants each manifest.
func (w *weights) followPeers(cfg configurer.Configuration) {
	members, _ := w.parts.Book.Members()
	peers := make(map[identifier.Digest][]fetcher.Peer)
	for _, m := range members {
		for _, want := range wantsOf(cfg, m.Service) {
			peers[want.manifest] = append(peers[want.manifest], fetcher.Peer{
				Upstream:         m.Upstream,
				Region:           m.Region,
				AvailabilityZone: m.AvailabilityZone,
				Address:          m.Address,
				Incarnation:      m.Incarnation,
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

func (w *weights) followDesired(service configurer.Service, wants map[fetcher.Name]wanted) {
	desired := loader.Desired{Paused: service.PauseRollout, Adapters: make(map[identifier.Adapter]loader.Declared)}
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

func (w *weights) markReady(state loader.State) {
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

// progress returns the transfers for a report, or nil where nothing changed.
func (w *weights) progress() []subscriber.Transfer {
	snapshot := w.transferrer.Snapshot()
	w.mu.Lock()
	defer w.mu.Unlock()
	transfers := make([]subscriber.Transfer, 0, len(snapshot))
	for _, p := range snapshot {
		transfers = append(transfers, w.transferOf(p))
	}
	now := w.parts.Clock.Now()
	if reflect.DeepEqual(transfers, w.reported) && now.Sub(w.at) < progressRepeat {
		return nil
	}
	w.reported, w.at = transfers, now
	return transfers
}

func (w *weights) transferOf(p fetcher.Progress) subscriber.Transfer {
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
	for _, blame := range p.Blamed {
		transfer.Blamed = append(transfer.Blamed, blame.Source.Peer)
	}
	return transfer
}

// originLessor asks control for the right to read from the origin.
type originLessor struct {
	upstream    identifier.Upstream
	incarnation identifier.Incarnation
	submitter   *submitter.Submitter
	clock       clockwork.Clock
	// requests numbers the requests of this incarnation, so that control knows a
	// resent one.
	requests *atomic.Uint64
}

// Lease asks for chunks of one copy.
func (l originLessor) Lease(ctx context.Context, ask fetcher.AskOriginLease) (fetcher.OriginLeaseAnswered, error) {
	sent := l.clock.Now()
	answered := fetcher.OriginLeaseAnswered{Manifest: ask.Manifest, Chunks: ask.Chunks, Copy: ask.Copy}
	answer, err := submit[*controller.OriginAnswer](ctx, l.submitter, &controller.LeaseOrigin{
		Upstream:    l.upstream,
		Incarnation: l.incarnation,
		ID:          l.requests.Add(1),
		Manifest:    ask.Manifest,
		Chunks:      controller.Chunks{First: int(ask.Chunks.First), Count: ask.Chunks.Count},
		Copy:        ask.Copy,
		Size:        ask.Size,
		TotalSize:   ask.TotalSize,
		Again:       ask.Again,
	})
	if err != nil {
		return answered, err
	}
	answered.Granted = answer.Status == controller.OriginGranted
	answered.Held = answer.Status == controller.OriginHeld
	answered.Holder = answer.Holder
	answered.RetryAfter = answer.RetryAfter
	answered.Expires = sent.Add(answer.LeaseDuration)
	return answered, nil
}
