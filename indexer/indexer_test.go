package indexer_test

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"celeryvalve/indexer"
)

// prompt returns the beginning of parts that are written as "id:tokens".
func prompt(t require.TestingT, parts ...string) indexer.Beginning {
	var list []indexer.Part
	for _, text := range parts {
		var p indexer.Part
		_, err := fmt.Sscanf(text, "%1s:%d", &p.ID, &p.Tokens)
		require.NoError(t, err)
		list = append(list, p)
	}
	b, fault := indexer.Chain(list)
	require.Empty(t, fault)
	return b
}

func TestPartsAtFaultAreIgnored(t *testing.T) {
	good := indexer.Part{ID: "a", Tokens: 40}
	many := make([]indexer.Part, 5000)
	for i := range many {
		many[i] = good
	}
	for name, c := range map[string]struct {
		parts  []indexer.Part
		blocks int
		fault  indexer.Fault
	}{
		"none":            {nil, 0, ""},
		"sound":           {[]indexer.Part{good, {ID: "b", Tokens: 600}}, 2, ""},
		"no id":           {[]indexer.Part{good, {Tokens: 5}, good}, 1, indexer.Unreadable},
		"no tokens":       {[]indexer.Part{{ID: "b"}, good}, 0, indexer.Unreadable},
		"negative tokens": {[]indexer.Part{good, {ID: "b", Tokens: math.MinInt}}, 1, indexer.Unreadable},
		"tokens overflow": {[]indexer.Part{good, good, {ID: "b", Tokens: math.MaxInt}}, 2, indexer.Oversized},
		"thousands":       {many, indexer.MaxParts, indexer.TooMany},
	} {
		t.Run(name, func(t *testing.T) {
			b, fault := indexer.Chain(c.parts)
			require.Len(t, b, c.blocks)
			require.Equal(t, c.fault, fault)
		})
	}
}

func TestHolderKnowsWhatIsHeld(t *testing.T) {
	long, other := prompt(t, "a:40", "b:500", "c:60"), prompt(t, "a:40", "b:500", "d:900")
	for name, c := range map[string]struct {
		then func(h *indexer.Holder)
		ask  indexer.Beginning
		held int
	}{
		"the same":                     {ask: long, held: 600},
		"as far as they are alike":     {ask: other, held: 540},
		"a shorter one":                {ask: long[:1], held: 40},
		"the same parts elsewhere":     {ask: prompt(t, "b:500"), held: 0},
		"all of a full memory":         {then: func(h *indexer.Holder) { h.Add(prompt(t, "e:400")) }, ask: long, held: 600},
		"the oldest end goes first":    {then: func(h *indexer.Holder) { h.Add(prompt(t, "e:401")) }, ask: long, held: 540},
		"what is used again stays":     {then: func(h *indexer.Holder) { h.Add(prompt(t, "e:400")); h.Add(long); h.Add(prompt(t, "f:300")) }, ask: long, held: 600},
		"what does not fit is left":    {then: func(h *indexer.Holder) { h.Add(prompt(t, "e:700", "f:400")) }, ask: prompt(t, "e:700", "f:400"), held: 700},
		"others displace it":           {then: func(h *indexer.Holder) { h.Displace(401) }, ask: long, held: 540},
		"a smaller memory":             {then: func(h *indexer.Holder) { h.SetCapacity(100) }, ask: long, held: 40},
		"fewer blocks":                 {then: func(h *indexer.Holder) { h.SetMaximum(2) }, ask: long, held: 540},
		"cleared":                      {then: (*indexer.Holder).Clear, ask: long, held: 0},
		"withdrawn before it was read": {then: func(h *indexer.Holder) { h.Add(other); h.Withdraw(other) }, ask: other, held: 540},
		"a restart by its report":      {then: func(h *indexer.Holder) { h.Report(100, 1000); h.Add(long); h.Report(7, 1000) }, ask: long, held: 0},
	} {
		t.Run(name, func(t *testing.T) {
			h := indexer.NewHolder(indexer.MaxBlocks)
			h.SetCapacity(1000)
			h.Add(long)
			h.Confirm(long)
			if c.then != nil {
				c.then(h)
			}
			require.Equal(t, c.held, h.Held(c.ask))
			require.Zero(t, testing.AllocsPerRun(10, func() { h.Held(c.ask) }))
		})
	}
}

// Whatever is sent, the index stays within its bounds, and no beginning is held without all
// that it continues.
func TestHolderStaysWithinItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := indexer.NewHolder(12)
		h.SetCapacity(1000)
		id := rapid.SampledFrom([]string{"a:300", "b:200", "c:100", "d:40"})
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			b := prompt(t, rapid.SliceOfN(id, 1, 5).Draw(t, "prompt")...)
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				h.Withdraw(b)
			case 1:
				h.Displace(rapid.IntRange(0, 300).Draw(t, "others"))
			default:
				h.Add(b)
				h.Confirm(b)
			}
			require.LessOrEqual(t, h.Len(), 12)
			require.LessOrEqual(t, h.Held(b), 1000)
		}
	})
}
