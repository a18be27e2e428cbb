package configurer_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"celeryvalve/configurer"
	"celeryvalve/encoder"
	"celeryvalve/identifier"
)

// withTombstones returns a configuration of n services, of as many versions as MaximumTombstones
// that each removed an organisation.
func withTombstones(t require.TestingT, n int) configurer.Configuration {
	var source strings.Builder
	for i := range n {
		fmt.Fprintf(&source, "[Services.service-%04d]\nKind = \"Plain\"\n", i)
	}
	c := apply(t, configurer.New(), source.String())
	source.Reset()
	for i := range configurer.MaximumTombstones {
		fmt.Fprintf(&source, "[Organisations.o-%04d]\nShare = 1\n", i)
	}
	c = apply(t, c, source.String())
	for i := range configurer.MaximumTombstones {
		c = apply(t, c, fmt.Sprintf("Remove = [\"Organisations.o-%04d\"]\n", i))
	}
	return c
}

// BenchmarkDelta measures the update of an entry that has no configuration, one older than all
// tombstones, or one of the version before.
func BenchmarkDelta(b *testing.B) {
	codec, err := encoder.New(encoder.Message[configurer.Delta]("Delta"))
	require.NoError(b, err)
	for _, services := range []int{100, 1000} {
		c := withTombstones(b, services)
		for name, since := range map[string]identifier.ConfigurationVersion{"none": 0, "first": 2, "previous": c.Version - 1} {
			b.Run(fmt.Sprintf("services=%d/has=%s", services, name), func(b *testing.B) {
				size := 0
				for b.Loop() {
					data, err := codec.Encode(0, c.DeltaFor(since, configurer.Need{All: true}))
					require.NoError(b, err)
					size = len(data)
				}
				b.ReportMetric(float64(size), "bytes")
			})
		}
	}
}
