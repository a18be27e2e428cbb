package administrator

import (
	"context"
	"net/netip"
	"slices"
)

// source is a process that holds a share of an answer.
type source struct {
	name string
	addr netip.AddrPort
}

// gather calls every source at once. It returns the answers, and the names of
// the sources that gave none in time.
func gather[T any](ctx context.Context, caller Caller, sources []source, request any) ([]T, []string) {
	ctx, cancel := context.WithTimeout(ctx, gatherTimeout)
	defer cancel()
	type share struct {
		name   string
		answer T
		ok     bool
	}
	shares := make(chan share, len(sources))
	for _, s := range sources {
		go func() {
			msg, err := caller.Call(ctx, s.addr, request)
			answer, ok := msg.(T)
			shares <- share{name: s.name, answer: answer, ok: ok && err == nil}
		}()
	}
	var answers []T
	var unheard []string
	for range sources {
		got := <-shares
		if !got.ok {
			unheard = append(unheard, got.name)
			continue
		}
		answers = append(answers, got.answer)
	}
	slices.Sort(unheard)
	return answers, unheard
}
