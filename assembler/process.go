package assembler

import (
	"context"
	"net/netip"
	"os"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"go.uber.org/fx"
	"go.uber.org/zap"

	"celeryvalve/administrator"
	"celeryvalve/asserter"
	"celeryvalve/certifier"
	"celeryvalve/configurer"
	"celeryvalve/connector"
	"celeryvalve/controller"
	"celeryvalve/coordinator"
	"celeryvalve/encoder"
	"celeryvalve/explainer"
	"celeryvalve/exposer"
	"celeryvalve/fetcher"
	"celeryvalve/identifier"
	"celeryvalve/parser"
	"celeryvalve/publisher"
	"celeryvalve/router"
	"celeryvalve/sampler"
	"celeryvalve/submitter"
	"celeryvalve/subscriber"
)

// options returns the fx options of the daemon that the settings describe. connectView
// is invoked first, so that the endpoint is constructed first: it then starts before and
// stops after every component that communicates through it.
func options(settings parser.Settings, logger *zap.Logger) fx.Option {
	all := []fx.Option{
		fx.Supply(settings, logger),
		fx.Provide(
			clockwork.NewRealClock,
			metrics.NewSet,
			newAsserter,
			newSource,
			newView,
			newCodec,
			newEndpoint,
			newExposer,
			newSubmitter,
		),
		fx.Invoke(connectView),
	}
	if settings.HasRole(parser.Control) {
		all = append(all, controlOptions())
	}
	if settings.HasRole(parser.Agent) {
		all = append(all, agentOptions())
	}
	if settings.HasRole(parser.Entry) {
		all = append(all, entryOptions())
	}
	if !settings.HasRole(parser.Agent) {
		all = append(all, fx.Invoke(subscribeWithoutUpstream))
	}
	if len(settings.Roles) == 0 {
		all = append(all, fx.Invoke(declareDefaults))
	}
	return fx.Options(all...)
}

// newAsserter returns an asserter that logs and counts breaches of invariants. It does
// not end the process, so the caller must fail safe.
func newAsserter(set *metrics.Set, logger *zap.Logger) asserter.Asserter {
	logger = logger.Named("asserter")
	return asserter.Reporting{Report: func(invariant asserter.Invariant, detail string) {
		set.GetOrCreateCounter(`celeryvalve_invariant_breaches_total{invariant="` + string(invariant) + `"}`).Inc()
		logger.Error("An invariant is broken.", zap.String("invariant", string(invariant)), zap.String("detail", detail))
	}}
}

// newSource returns the source of the keys that the settings name. A process that runs
// all roles by default first creates an authority and its own key if there is none.
func newSource(settings parser.Settings, clock clockwork.Clock, logger *zap.Logger) (*certifier.Source, error) {
	keys := settings.Keys
	if keys.Folder == "" {
		return certifier.NewSource(certifier.Paths{
			Authority:   keys.Authority,
			Certificate: keys.Certificate,
			PrivateKey:  keys.PrivateKey,
		}), nil
	}
	paths := certifier.PathsIn(keys.Folder, settings.Name)
	if len(settings.Roles) == 0 {
		if err := createKeys(settings, paths, clock, logger); err != nil {
			return nil, err
		}
	}
	return certifier.NewSource(paths), nil
}

func createKeys(settings parser.Settings, paths certifier.Paths, clock clockwork.Clock, logger *zap.Logger) error {
	if _, err := os.Stat(paths.Certificate); err == nil {
		return nil
	}
	authority, err := certifier.OpenAuthority(settings.Keys.Folder)
	if explainer.KindOf(err) == explainer.NotFound {
		authority, err = certifier.CreateAuthority(settings.Keys.Folder, clock.Now())
	}
	if err != nil {
		return err
	}
	logger.Info("Created keys for a process with all roles.", zap.String("folder", settings.Keys.Folder))
	roles := []certifier.Role{certifier.Entry, certifier.Control, certifier.Agent}
	if err := authority.Issue(settings.Name, roles, clock.Now()); err != nil {
		return err
	}
	return authority.Issue("operator", []certifier.Role{certifier.Operator}, clock.Now())
}

// newView returns a view of the whole configuration on entries and control replicas, and
// of the part for one service on agents.
func newView(settings parser.Settings, a asserter.Asserter, clock clockwork.Clock) *subscriber.View {
	return subscriber.NewView(needOf(settings), a, clock)
}

func needOf(settings parser.Settings) configurer.Need {
	if settings.HasRole(parser.Entry) || settings.HasRole(parser.Control) {
		return configurer.Need{All: true}
	}
	return configurer.Need{Services: []identifier.Service{settings.Agent.Service}}
}

func newCodec() (*encoder.Codec, error) {
	var entries []encoder.MessageType
	entries = append(entries, subscriber.Messages()...)
	entries = append(entries, publisher.Messages()...)
	entries = append(entries, submitter.Messages()...)
	entries = append(entries, administrator.Messages()...)
	entries = append(entries, coordinator.Messages()...)
	entries = append(entries, controller.Messages()...)
	entries = append(entries, router.Messages()...)
	entries = append(entries, fetcher.Messages()...)
	entries = append(entries, sampler.Messages()...)
	return encoder.New(entries...)
}

func newEndpoint(lc fx.Lifecycle, settings parser.Settings, codec *encoder.Codec, source *certifier.Source,
	view *subscriber.View, set *metrics.Set, logger *zap.Logger) *connector.Endpoint {
	e := connector.New(connector.Config{Listen: settings.Listen, Metrics: set}, codec, source, view, logger)
	set.NewGauge("celeryvalve_control_bytes_sent", func() float64 {
		sent, _ := e.Traffic()
		return float64(sent)
	})
	set.NewGauge("celeryvalve_control_bytes_received", func() float64 {
		_, received := e.Traffic()
		return float64(received)
	})
	set.NewGauge("celeryvalve_configuration_version", func() float64 { return float64(view.Current()) })
	lc.Append(fx.StartStopHook(e.Start, e.Stop))
	return e
}

func connectView(view *subscriber.View, e *connector.Endpoint) {
	view.Connect(e)
	e.Handle(subscriber.ConfigurationRequestKind, view.ServeRequest)
}

func newExposer(lc fx.Lifecycle, settings parser.Settings, set *metrics.Set, clock clockwork.Clock, view *subscriber.View,
	logger *zap.Logger) *exposer.Exposer {
	e := exposer.New(settings.Admin, set, clock, logger)
	e.AddReadinessCheck("configuration", func() error {
		if view.Current() == 0 {
			return explainer.New(explainer.Unavailable, "this process has received no configuration yet", "wait for the control plane, or submit the first patch")
		}
		return nil
	})
	lc.Append(fx.StartStopHook(e.Start, e.Stop))
	return e
}

func controlAddresses(settings parser.Settings) []netip.AddrPort {
	addresses := make([]netip.AddrPort, 0, len(settings.Control.Members))
	for _, m := range settings.Control.Members {
		addresses = append(addresses, m.Address)
	}
	return addresses
}

func newSubmitter(settings parser.Settings, e *connector.Endpoint, clock clockwork.Clock, set *metrics.Set, logger *zap.Logger) *submitter.Submitter {
	return submitter.New(e, controlAddresses(settings), clock, set, logger)
}

func subscribeWithoutUpstream(lc fx.Lifecycle, settings parser.Settings, view *subscriber.View,
	e *connector.Endpoint, clock clockwork.Clock, logger *zap.Logger) {
	subscribe(lc, settings, view, e, nil, clock, logger)
}

func subscribe(lc fx.Lifecycle, settings parser.Settings, view *subscriber.View, e *connector.Endpoint,
	holder subscriber.LeaseHolder, clock clockwork.Clock, logger *zap.Logger) {
	cfg := subscriber.Config{
		Process:   settings.Name,
		Need:      needOf(settings),
		Addresses: controlAddresses(settings),
	}
	if holder != nil {
		cfg.Upstream = settings.Agent.Upstream
	}
	s := subscriber.New(cfg, view, e, holder, clock, logger)
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error { s.Start(); return nil },
		OnStop:  func(context.Context) error { s.Stop(); return nil },
	})
}
