package administrator

import (
	"context"
	"net/netip"
	"slices"
)

// target is a process to query.
type target struct {
	name string
	addr netip.AddrPort
}

// gather sends the request to all targets at once. It returns the answers, and the
// sorted names of the targets that returned an error or an answer of another type,
// or did not answer within gatherTimeout.
func gather[T any](ctx context.Context, caller Caller, targets []target, request any) ([]T, []string) {
	ctx, cancel := context.WithTimeout(ctx, gatherTimeout)
	defer cancel()
	type result struct {
		name   string
		answer T
		ok     bool
	}
	results := make(chan result, len(targets))
	for _, t := range targets {
		go func() {
			msg, err := caller.Call(ctx, t.addr, request)
			answer, ok := msg.(T)
			results <- result{name: t.name, answer: answer, ok: ok && err == nil}
		}()
	}
	var answers []T
	var unreachable []string
	for range targets {
		r := <-results
		if !r.ok {
			unreachable = append(unreachable, r.name)
			continue
		}
		answers = append(answers, r.answer)
	}
	slices.Sort(unreachable)
	return answers, unreachable
}
