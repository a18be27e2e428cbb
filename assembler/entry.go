package assembler

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"go.uber.org/fx"
	"go.uber.org/zap"

	"celeryvalve/acceptor"
	"celeryvalve/asserter"
	"celeryvalve/configurer"
	"celeryvalve/connector"
	"celeryvalve/explainer"
	"celeryvalve/exposer"
	"celeryvalve/forwarder"
	"celeryvalve/identifier"
	"celeryvalve/parser"
	"celeryvalve/quarantiner"
	"celeryvalve/reporter"
	"celeryvalve/router"
	"celeryvalve/sampler"
	"celeryvalve/submitter"
	"celeryvalve/subscriber"
)

// lastAnswersTimeout limits the time to send answers after the drain deadline. The rest of
// stopGrace is for the other components.
const lastAnswersTimeout = stopGrace / 2

func entryOptions() fx.Option {
	return fx.Options(
		fx.Provide(reporter.NewTally, newSampler, newForwarder),
		fx.Invoke(serveEntry),
	)
}

// tokenAuthenticator authenticates callers by the token digests of the current
// configuration.
type tokenAuthenticator struct {
	view *subscriber.View
}

// Authenticate returns the organisation that the bearer token belongs to, or an error of
// kind Denied.
func (o tokenAuthenticator) Authenticate(token string) (identifier.Organisation, error) {
	digest := identifier.DigestOf([]byte(token))
	organisation, ok := o.view.Configuration().OrganisationByToken(digest)
	if !ok {
		return "", explainer.New(explainer.Denied, "the bearer token belongs to no organisation",
			"send the token that the operator gave you in the header Authorization")
	}
	return organisation, nil
}

func newForwarder(settings parser.Settings, e *connector.Endpoint, view *subscriber.View, s *submitter.Submitter,
	tally *reporter.Tally, clock clockwork.Clock, set *metrics.Set, a asserter.Asserter,
	logger *zap.Logger) *forwarder.Forwarder {
	cfg := forwarder.Config{Region: settings.Region, AvailabilityZone: settings.AvailabilityZone, MaxConnections: acceptor.Capacity(settings.Memory, 0)}
	if settings.Memory > 0 {
		cfg.MaxTotalBody = settings.Memory / requestShare
		cfg.MaxTotalAnswer = settings.Memory / requestShare
	}
	return forwarder.New(cfg, forwarder.Dependencies{
		Opener:        forwarder.NewOpener(e),
		Claims:        claimClient{process: settings.Name, submitter: s},
		Authenticator: tokenAuthenticator{view},
		Clock:         clock,
		Logger:        logger,
		Check:         a,
		Metrics:       set,
		OnAnswer:      func(o forwarder.Observation) { recordAnswer(tally, o) },
	})
}

// recordAnswer passes an answered request to the tally, which counts the objectives that
// it met.
func recordAnswer(tally *reporter.Tally, o forwarder.Observation) {
	tally.RecordAnswer(reporter.Answer{
		Service:      o.Service,
		Organisation: o.Organisation,
		Outcome:      o.Outcome,
		CallerGone:   o.CallerGone,
		FirstToken:   o.FirstByte,
		Gaps:         o.Gaps,
	})
}

func newSampler(settings parser.Settings, tally *reporter.Tally, clock clockwork.Clock) *sampler.Sampler {
	return sampler.New(settings.Name, tally, clock)
}

// entryParts holds the components that serveEntry connects.
type entryParts struct {
	fx.In

	Lifecycle fx.Lifecycle
	Settings  parser.Settings
	View      *subscriber.View
	Forwarder *forwarder.Forwarder
	Tally     *reporter.Tally
	Sampler   *sampler.Sampler
	Endpoint  *connector.Endpoint
	Exposer   *exposer.Exposer
	Logger    *zap.Logger
}

func serveEntry(parts entryParts) {
	applyView := func() {
		cfg := parts.View.Configuration()
		parts.Tally.SetConfiguration(cfg)
		parts.Forwarder.ChangePolicy(policyOf(cfg), serviceSettingsOf(cfg))
		members, _ := parts.View.Members()
		parts.Forwarder.ChangeUpstreams(upstreamViewsOf(members))
		parts.Forwarder.ChangeQuarantine(quarantineOf(parts.View))
	}
	parts.View.Watch(applyView)
	parts.Endpoint.Handle(sampler.RequestKind, parts.Sampler.Serve)
	var draining atomic.Bool
	parts.Exposer.AddReadinessCheck("entry", func() error {
		if draining.Load() {
			return explainer.New(explainer.Unavailable, "the entry is draining", "send requests to another entry")
		}
		return nil
	})
	parts.Lifecycle.Append(fx.StartStopHook(parts.Sampler.Start, parts.Sampler.Stop))
	server := parts.Forwarder.Server()
	parts.Lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			parts.Forwarder.Start()
			return listen(server, parts.Settings.Entry.Listen, parts.Logger)
		},
		OnStop: func(ctx context.Context) error {
			draining.Store(true)
			return drainEntry(ctx, parts, server)
		},
	})
}

func listen(server *acceptor.Server, address netip.AddrPort, logger *zap.Logger) error {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return explainer.Wrap(err, explainer.Unavailable, fmt.Sprintf("can't listen on TCP %s", address),
			"choose an address of this machine that no other process uses")
	}
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			logger.Error("The HTTP server for callers stopped.", zap.Error(err))
		}
	}()
	return nil
}

// drainEntry finishes the requests under way, then closes the connections. Only the drain
// deadline of the settings ends requests before. Their callers are told whether they may have
// run, unless a streamed answer has begun.
func drainEntry(ctx context.Context, parts entryParts, server *acceptor.Server) error {
	draining, cancel := drainContext(ctx, parts.Settings)
	defer cancel()
	err := errors.Join(parts.Forwarder.Drain(draining), server.Shutdown(draining))
	if err != nil {
		logCutOff(parts.Logger, parts.Forwarder.Unanswered())
		parts.Forwarder.EndRequests()
		ending, cancel := context.WithTimeout(ctx, lastAnswersTimeout)
		defer cancel()
		err = errors.Join(err, server.Shutdown(ending))
	}
	err = errors.Join(err, server.Close())
	parts.Forwarder.Stop()
	return err
}

func policyOf(cfg configurer.Configuration) router.Policy {
	var policy router.Policy
	for _, name := range slices.Sorted(maps.Keys(cfg.Services)) {
		service := cfg.Services[name]
		policy.Services = append(policy.Services, router.ServicePolicy{
			Service:    name,
			Model:      service.Model,
			Version:    service.Version,
			MaxQueued:  service.QueueLimit,
			RetryRatio: service.RetryBudget,
		})
	}
	for _, name := range slices.Sorted(maps.Keys(cfg.Organisations)) {
		policy.Organisations = append(policy.Organisations, router.OrganisationPolicy{
			Organisation: name,
			Weight:       float64(cfg.Organisations[name].Share),
		})
	}
	return policy
}

func quarantineOf(view *subscriber.View) (suspects, refused []quarantiner.Fingerprint) {
	quarantine := view.Quarantine()
	return fingerprintsOf(quarantine.Suspects), fingerprintsOf(quarantine.Refused)
}

func fingerprintsOf(list []uint64) []quarantiner.Fingerprint {
	fingerprints := make([]quarantiner.Fingerprint, 0, len(list))
	for _, f := range list {
		fingerprints = append(fingerprints, quarantiner.Fingerprint(f))
	}
	return fingerprints
}

func serviceSettingsOf(cfg configurer.Configuration) []forwarder.ServiceSettings {
	list := make([]forwarder.ServiceSettings, 0, len(cfg.Services))
	for name, service := range cfg.Services {
		list = append(list, forwarder.ServiceSettings{
			Service:    name,
			Repeatable: service.Idempotent,
			Allows:     service.Allows,
			Timeout:    service.Deadline,
		})
	}
	return list
}

func upstreamViewsOf(members []subscriber.Member) []router.UpstreamView {
	views := make([]router.UpstreamView, 0, len(members))
	for _, m := range members {
		views = append(views, router.UpstreamView{
			Upstream:         m.Upstream,
			Incarnation:      m.Incarnation,
			Address:          m.Address,
			Region:           m.Region,
			AvailabilityZone: m.AvailabilityZone,
			Service:          m.Service,
			Model:            m.Model,
			Version:          m.Version,
			Adapters:         slices.Sorted(maps.Keys(m.Adapters)),
			Ready:            m.Ready,
			Leaving:          m.Leaving,
			ReportsLoad:      m.ReportsLoad,
		})
	}
	return views
}
