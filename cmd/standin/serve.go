package main

import (
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"celeryvalve/explainer"
	"celeryvalve/identifier"
	"celeryvalve/imitator"
)

// addresses says where the stand-ins of one process listen.
type addresses struct {
	Listen []string `help:"IP:PORT to listen on, one stand-in each; may be repeated." placeholder:"IP:PORT"`
	BaseIP string   `help:"First IP number of a row of stand-ins, one IP number each." placeholder:"IP"`
	Count  int      `help:"How many stand-ins the row has." default:"1"`
	Port   uint16   `help:"Port of every stand-in of the row." default:"9000"`
}

// list returns every address in order.
func (a addresses) list() ([]string, error) {
	list := a.Listen
	if a.BaseIP != "" {
		ip, err := netip.ParseAddr(a.BaseIP)
		if err != nil {
			return nil, explainer.Wrap(err, explainer.InvalidInput, "base-ip is no IP number", "write one such as 127.0.1.1")
		}
		for range a.Count {
			list = append(list, netip.AddrPortFrom(ip, a.Port).String())
			ip = ip.Next()
		}
	}
	if len(list) == 0 {
		return nil, explainer.New(explainer.InvalidInput, "no address to listen on", "set --listen or --base-ip")
	}
	return list, nil
}

// fault sets what a stand-in does wrong from its start.
type fault struct {
	Misbehave string `help:"Misbehaviour as JSON, as for POST /misbehave." placeholder:"JSON"`
}

// serveAll runs one stand-in on each address until the context ends.
func serveAll(env *environment, a addresses, f fault,
	build func(addr string, sw *imitator.Switch) func(crash func()) http.Handler) error {
	list, err := a.list()
	if err != nil {
		return err
	}
	misbehaviour, err := imitator.ParseMisbehaviour(f.Misbehave)
	if err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(env.ctx)
	for _, addr := range list {
		sw := imitator.NewSwitch(misbehaviour)
		host := imitator.NewHost(addr, env.clock, env.log, sw, build(addr, sw))
		group.Go(func() error { return host.Run(ctx) })
	}
	env.log.Info("standin: listening", zap.Strings("addresses", list))
	return group.Wait()
}

type engineCommand struct {
	addresses          `embed:""`
	fault              `embed:""`
	FirstTokenDelay    time.Duration `help:"Time to the first token of an uncached prompt." default:"50ms"`
	TokenInterval      time.Duration `help:"Time between tokens of a request that runs alone." default:"10ms"`
	SlowdownPerRequest float64       `help:"Share that each other running request adds to the token interval." default:"0.05"`
	BatchSize          int           `help:"How many requests run together." default:"8"`
	LoadTime           time.Duration `help:"Time of a load after its files are verified." default:"100ms"`
	ReportLag          time.Duration `help:"Age of the reported load." default:"250ms"`
	CacheBlocks        int           `help:"Capacity of the prefix cache, in blocks." default:"1024"`
	EventLag           time.Duration `help:"Delay of cache events." default:"200ms"`
	EventLoss          float64       `help:"Share of cache events that are lost." default:"0.05"`
	IgnoreFencing      bool          `help:"Take orders with any fencing token."`
	Seed               uint64        `help:"Seed of the loss of events." default:"1"`
}

// Run plays the engines.
func (c *engineCommand) Run(env *environment) error {
	cfg := imitator.EngineConfig{
		FirstTokenDelay:    c.FirstTokenDelay,
		TokenInterval:      c.TokenInterval,
		SlowdownPerRequest: c.SlowdownPerRequest,
		BatchSize:          c.BatchSize,
		LoadTime:           c.LoadTime,
		ReportLag:          c.ReportLag,
		CacheBlocks:        c.CacheBlocks,
		EventLag:           c.EventLag,
		EventLoss:          c.EventLoss,
		IgnoreFencing:      c.IgnoreFencing,
		Seed:               c.Seed,
	}
	return serveAll(env, c.addresses, c.fault, func(_ string, sw *imitator.Switch) func(func()) http.Handler {
		history := imitator.NewHistory(env.clock)
		return func(crash func()) http.Handler {
			return imitator.NewEngine(cfg, imitator.NewProcess(env.clock, sw, history, crash)).Handler()
		}
	})
}

type serviceCommand struct {
	addresses   `embed:""`
	fault       `embed:""`
	Delay       time.Duration `help:"Time that each request takes." default:"5ms"`
	ReportLag   time.Duration `help:"Age of the reported load." default:"250ms"`
	Concurrency int           `help:"How many requests run together." default:"16"`
}

// Run plays the services.
func (c *serviceCommand) Run(env *environment) error {
	return serveAll(env, c.addresses, c.fault, func(addr string, sw *imitator.Switch) func(func()) http.Handler {
		cfg := imitator.ServiceConfig{Delay: c.Delay, ReportLag: c.ReportLag, Concurrency: c.Concurrency, Name: addr}
		history := imitator.NewHistory(env.clock)
		return func(crash func()) http.Handler {
			return imitator.NewService(cfg, imitator.NewProcess(env.clock, sw, history, crash)).Handler()
		}
	})
}

type originCommand struct {
	fault      `embed:""`
	Listen     string  `help:"IP:PORT to listen on." required:"" placeholder:"IP:PORT"`
	Folder     string  `help:"Folder of the weight files." required:"" type:"existingdir"`
	LinkRate   float64 `help:"Rate of all answers together, in bytes a second; 0 is unlimited." default:"0"`
	StoreRate  float64 `help:"Rate of the store, in bytes a second; beyond it requests get 429. 0 is unlimited." default:"0"`
	StoreBurst size    `help:"Bytes that the store gives beyond its rate." default:"1MiB"`
	Seed       uint64  `help:"Seed of the choice of corrupted answers." default:"1"`
}

// Run plays the origin.
func (c *originCommand) Run(env *environment) error {
	misbehaviour, err := imitator.ParseMisbehaviour(c.Misbehave)
	if err != nil {
		return err
	}
	sw := imitator.NewSwitch(misbehaviour)
	origin, err := imitator.NewOrigin(imitator.OriginConfig{
		Folder:     c.Folder,
		LinkRate:   identifier.BytesPerSecond(c.LinkRate),
		StoreRate:  identifier.BytesPerSecond(c.StoreRate),
		StoreBurst: identifier.ByteCount(c.StoreBurst),
		Seed:       c.Seed,
	}, env.clock, sw)
	if err != nil {
		return err
	}
	host := imitator.NewHost(c.Listen, env.clock, env.log, sw, func(func()) http.Handler { return origin.Handler() })
	env.log.Info("standin: listening", zap.String("address", c.Listen))
	return host.Run(env.ctx)
}

type weightsCommand struct {
	Folder    string  `help:"Folder to write below." required:"" type:"path"`
	Model     string  `help:"Name of the model." required:""`
	Adapter   string  `help:"Name of the adapter, for the weights of an adapter of the model."`
	Version   string  `help:"Name of the version." required:""`
	Size      size    `help:"Size of all files together." default:"8MiB"`
	Files     int     `help:"Number of files." default:"3"`
	ChunkSize size    `help:"Size of a chunk." default:"256KiB"`
	Shared    float64 `help:"Share of chunks that versions with one seed have in common." default:"0"`
	Seed      uint64  `help:"Seed of the content." default:"1"`
}

// Run writes the weights.
func (c *weightsCommand) Run(env *environment) error {
	digest, err := imitator.WriteWeights(imitator.WeightsConfig{
		Folder:    c.Folder,
		Model:     identifier.Model(c.Model),
		Adapter:   identifier.Adapter(c.Adapter),
		Version:   identifier.WeightVersion(c.Version),
		ChunkSize: identifier.ByteCount(c.ChunkSize),
		Size:      identifier.ByteCount(c.Size),
		Files:     c.Files,
		Shared:    c.Shared,
		Seed:      c.Seed,
	})
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(env.out, digest)
	return err
}
