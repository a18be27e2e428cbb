package placer

import (
	"context"
	"hash/fnv"
	"io"
	"net/netip"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"celeryvalve/asserter"
	"celeryvalve/certifier"
	"celeryvalve/connector"
	"celeryvalve/coordinator"
	"celeryvalve/declarer"
	"celeryvalve/encoder"
	"celeryvalve/exposer"
	"celeryvalve/fetcher"
	"celeryvalve/parser"
	"celeryvalve/registrar"
	"celeryvalve/relayer"
	"celeryvalve/spreader"
	"celeryvalve/submitter"
)

const (
	// stopMargin is the part of the grace period that is left for the exit of the
	// process itself.
	stopMargin = 400 * time.Millisecond
	// reloadInterval is how often the settings are reloaded without a signal.
	reloadInterval = 2 * time.Second
	// memoryLimitFraction is the fraction of the memory that is the soft limit of the
	// Go runtime.
	memoryLimitFraction = 0.6
	// maxProcs is how many threads run Go code at once. Instances have one core.
	maxProcs = 2
	// staleHeartbeats is how many heartbeats may be missing before an upstream
	// counts as stale. refreshMargin is added, since processes pass heartbeats on
	// only at intervals.
	staleHeartbeats = 3
	refreshMargin   = 3 * time.Second
	forgetAfter     = time.Minute
	// metricsPort is the port in the roles of deploy/system.toml.
	metricsPort = 9464
	// logSampleFirst lines of one message are written in each second, and one in
	// logSampleThereafter beyond that.
	logSampleFirst      = 100
	logSampleThereafter = 50
)

// Options holds the settings of a process besides its placement.
type Options struct {
	// Keys is the folder of the keys that the build issued.
	Keys string
	// Settings are those that the platform does not give.
	Settings parser.PlacedSettings
	// Reload reads the placement again. It must be set.
	Reload func() (parser.Placement, error)
}

// Names of the keys in Options.Keys.
const (
	EntryKey = "entry"
	AgentKey = "agent"
)

// Run runs a process until SIGTERM or SIGINT, then drains and stops it.
func Run(options Options, placement parser.Placement, w io.Writer) error {
	runtime.GOMAXPROCS(min(maxProcs, runtime.NumCPU()))
	if placement.Memory > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(placement.Memory)))
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	log := newLogger(w).With(zap.String("instance", string(placement.Instance)))
	var parts lifecycle
	app := fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		options.modules(placement, log),
		fx.Populate(&parts),
	)
	if err := app.Err(); err != nil {
		return err
	}
	// No part waits for a disk or another process, so that only a machine that stands still delays the start.
	if err := app.Start(context.Background()); err != nil {
		return err
	}
	log.Info("Started.", zap.Stringers("seeds", placement.Seeds), zap.String("zone", string(placement.AvailabilityZone)), zap.Bool("firstStart", placement.FirstStart),
		zap.String("dataFolder", placement.DataFolder), zap.Stringer("inner", placement.InternalAddress))
	watchSettings(options, parts, signals, log)
	stopCtx, cancelStop := context.WithTimeout(context.Background(), placement.Bounds.ShutdownGrace-stopMargin)
	defer cancelStop()
	log.Info("Draining.")
	parts.Drainer.drain(stopCtx)
	err := app.Stop(stopCtx)
	log.Info("Stopped.", zap.Error(err))
	return err
}

// lifecycle holds the parts that Run uses once the app has started.
type lifecycle struct {
	fx.In

	Spreader *spreader.Spreader
	Drainer  drainer
}

// drainer finishes the work of a process before its parts stop.
type drainer interface {
	drain(ctx context.Context)
}

// watchSettings reloads the settings regularly, and on SIGHUP, until another signal
// asks the process to stop.
func watchSettings(options Options, parts lifecycle, signals <-chan os.Signal, log *zap.Logger) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case s := <-signals:
			if s != syscall.SIGHUP {
				return
			}
			log.Info("Reloading the settings.")
			reload(options, parts, log)
		case <-ticker.C:
			reload(options, parts, log)
		}
	}
}

func reload(options Options, parts lifecycle, log *zap.Logger) {
	placement, err := options.Reload()
	if err != nil {
		log.Warn("Can't reload the settings; the current ones stay in force.", zap.Error(err))
		return
	}
	if parts.Spreader.SetSeeds(placement.Seeds) {
		log.Info("Seeds changed.", zap.Stringers("seeds", placement.Seeds))
	}
}

// newLogger returns a logger that writes one JSON object per line. It samples the
// lines of each level and message separately, so that frequent messages do not
// suppress warnings and errors.
func newLogger(w io.Writer) *zap.Logger {
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	cfg.EncodeDuration = zapcore.MillisDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(cfg), zapcore.Lock(zapcore.AddSync(w)), zapcore.InfoLevel)
	return zap.New(zapcore.NewSamplerWithOptions(core, time.Second, logSampleFirst, logSampleThereafter))
}

func (o Options) modules(placement parser.Placement, log *zap.Logger) fx.Option {
	common := fx.Options(
		fx.Supply(placement, o.Settings, log),
		fx.Provide(
			clockwork.NewRealClock,
			metrics.NewSet,
			newAsserter,
			newCodec,
			o.newSource,
			newView,
			newEndpoint,
			newTable,
			newSpreader,
			newSubmitter,
			newExposer,
		),
		fx.Invoke(exposeMetrics),
	)
	if !placement.Callers.IsValid() {
		return fx.Options(common, agentModule())
	}
	if placement.DataFolder == "" {
		return fx.Options(common, entryModule(), cacheModule(), fx.Supply((*replica)(nil)))
	}
	return fx.Options(common, entryModule(), controlModule())
}

func newAsserter(set *metrics.Set, log *zap.Logger) asserter.Asserter {
	log = log.Named("asserter")
	return asserter.Reporting{Report: func(invariant asserter.Invariant, detail string) {
		set.GetOrCreateCounter(`celeryvalve_invariant_breaches_total{invariant="` + string(invariant) + `"}`).Inc()
		log.Error("An invariant is broken.", zap.String("invariant", string(invariant)), zap.String("detail", detail))
	}}
}

func newCodec() (*encoder.Codec, error) {
	var entries []encoder.MessageType
	entries = append(entries, spreader.Messages()...)
	entries = append(entries, declarer.Messages()...)
	entries = append(entries, submitter.Messages()...)
	entries = append(entries, coordinator.Messages()...)
	entries = append(entries, fetcher.Messages()...)
	entries = append(entries, controlAPIMessages()...)
	entries = append(entries, relayer.ExplainMessages()...)
	return encoder.New(entries...)
}

func (o Options) newSource(placement parser.Placement) *certifier.Source {
	name := AgentKey
	if placement.Callers.IsValid() {
		name = EntryKey
	}
	return certifier.NewSource(certifier.PathsIn(o.Keys, name))
}

func newView(a asserter.Asserter) *declarer.View {
	return declarer.NewView(a)
}

func newEndpoint(lc fx.Lifecycle, placement parser.Placement, codec *encoder.Codec, source *certifier.Source,
	view *declarer.View, set *metrics.Set, log *zap.Logger) *connector.Endpoint {
	e := connector.New(connector.Config{Listen: placement.InternalAddress, Metrics: set}, codec, source, versions{view}, log)
	set.NewGauge("celeryvalve_control_bytes_sent", func() float64 {
		sent, _ := e.Traffic()
		return float64(sent)
	})
	lc.Append(fx.StartStopHook(e.Start, e.Stop))
	return e
}

func newTable(placement parser.Placement) *registrar.Table {
	return registrar.New(registrar.Config{
		StaleAfter:  staleHeartbeats*placement.HeartbeatInterval + refreshMargin,
		ForgetAfter: forgetAfter,
	})
}

func newSpreader(lc fx.Lifecycle, placement parser.Placement, table *registrar.Table, view *declarer.View,
	e *connector.Endpoint, clock clockwork.Clock, set *metrics.Set, log *zap.Logger) *spreader.Spreader {
	cfg := spreader.Config{
		Process:          string(placement.Instance),
		Address:          placement.InternalAddress,
		Region:           placement.Region,
		AvailabilityZone: placement.AvailabilityZone,
		FollowAll:        placement.Callers.IsValid(),
		Metrics:          set,
	}
	s := spreader.New(cfg, placement.Seeds, table, view, e, clock, log)
	s.Register(e)
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error { s.Start(); return nil },
		OnStop:  func(context.Context) error { s.Stop(); return nil },
	})
	return s
}

func newSubmitter(placement parser.Placement, e *connector.Endpoint, clock clockwork.Clock, set *metrics.Set, log *zap.Logger) *submitter.Submitter {
	return submitter.New(e, placement.Seeds, clock, set, log)
}

func newExposer(placement parser.Placement, set *metrics.Set, clock clockwork.Clock, log *zap.Logger) *exposer.Exposer {
	return exposer.New(netip.AddrPortFrom(placement.IP, metricsPort), set, clock, log)
}

// exposeMetrics serves metrics and profiles on metricsPort. A process that can't
// serve them runs without them.
func exposeMetrics(lc fx.Lifecycle, e *exposer.Exposer, log *zap.Logger) {
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			if err := e.Start(); err != nil {
				log.Warn("Metrics can't be served.", zap.Error(err))
			}
			return nil
		},
		OnStop: e.Stop,
	})
}

// seedOf returns a seed for random numbers that differs between instances.
func seedOf(placement parser.Placement) uint64 {
	h := fnv.New64a()
	// Writing to a hash never fails.
	_, _ = h.Write([]byte(placement.InternalAddress.String()))
	return h.Sum64()
}
