package main

import (
	"net"
	"net/http"
	"strings"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"celeryvalve/explainer"
	"celeryvalve/identifier"
	"celeryvalve/imitator"
	"celeryvalve/linker"
)

type linkCommand struct {
	Control string        `help:"IP:PORT of the control interface." required:"" placeholder:"IP:PORT"`
	TCP     []string      `name:"tcp" help:"TCP forward as LISTEN=TARGET; may be repeated." placeholder:"IP:PORT=IP:PORT"`
	UDP     []string      `name:"udp" help:"UDP forward as LISTEN=TARGET; may be repeated." placeholder:"IP:PORT=IP:PORT"`
	BackTCP []string      `name:"back-tcp" help:"TCP forward whose target is at the near end." placeholder:"IP:PORT=IP:PORT"`
	BackUDP []string      `name:"back-udp" help:"UDP forward whose target is at the near end." placeholder:"IP:PORT=IP:PORT"`
	Rate    float64       `help:"Rate of each direction, in bytes a second; 0 is unlimited." default:"0"`
	Delay   time.Duration `help:"Delay of each direction." default:"0s"`
	Loss    float64       `help:"Share of UDP packets that are dropped." default:"0"`
	Seed    uint64        `help:"Seed of the loss." default:"1"`
}

// Run forwards until the context ends.
func (c *linkCommand) Run(env *environment) error {
	link := linker.New(linker.Settings{
		Rate:  identifier.BytesPerSecond(c.Rate),
		Delay: imitator.Duration(c.Delay),
		Loss:  c.Loss,
	}, c.Seed, env.clock)
	tcp, err := forwards(c.TCP, c.BackTCP)
	if err != nil {
		return err
	}
	udp, err := forwards(c.UDP, c.BackUDP)
	if err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(env.ctx)
	for _, f := range tcp {
		group.Go(func() error { return link.ForwardTCP(ctx, f) })
	}
	for _, f := range udp {
		group.Go(func() error { return link.ForwardUDP(ctx, f) })
	}
	sw := imitator.NewSwitch(imitator.Misbehaviour{})
	control := imitator.NewHost(c.Control, env.clock, env.log, sw, func(func()) http.Handler { return link.Handler() })
	group.Go(func() error { return control.Run(ctx) })
	env.log.Info("standin: link forwards", zap.Int("tcp", len(tcp)), zap.Int("udp", len(udp)))
	return group.Wait()
}

func forwards(there, back []string) ([]linker.Forward, error) {
	var list []linker.Forward
	for i, text := range append(there[:len(there):len(there)], back...) {
		listen, target, ok := strings.Cut(text, "=")
		_, _, listenErr := net.SplitHostPort(listen)
		_, _, targetErr := net.SplitHostPort(target)
		if !ok || listenErr != nil || targetErr != nil {
			return nil, explainer.New(explainer.InvalidInput, "forward "+text+" is malformed",
				"write LISTEN=TARGET such as 127.0.2.1:7000=127.0.1.1:7000")
		}
		list = append(list, linker.Forward{Listen: listen, Target: target, Reversed: i >= len(there)})
	}
	return list, nil
}
