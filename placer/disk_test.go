package placer

import (
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"celeryvalve/asserter"
	"celeryvalve/declarer"
	"celeryvalve/identifier"
	"celeryvalve/registrar"
	"celeryvalve/spreader"
)

// Guards against a replica that rebuilds its index and tells its watchers for each declaration that it catches up with.
func TestViewChangesOnceForABatch(t *testing.T) {
	const versions = 3
	core, logs := observer.New(zap.InfoLevel)
	clock, view := clockwork.NewFakeClock(), declarer.NewView(asserter.Strict{})
	changes := 0
	view.Watch(func() { changes++ })
	machine := &stateMachine{
		State: declarer.New(asserter.Strict{}), view: view, clock: clock, log: zap.New(core),
		spreader: spreader.New(spreader.Config{}, nil, registrar.New(registrar.Config{}), view, nil, clock, zap.NewNop()),
	}
	for version := range identifier.ConfigurationVersion(versions) {
		d := largeDeclaration(version + 1)
		command, err := declarer.EncodeCommand(&declarer.Replace{Declaration: d, Document: []byte("document")})
		require.NoError(t, err)
		answer := machine.Apply(uint64(version)+1, clock.Now(), command)
		require.Equal(t, &declarer.Answer{Changed: true, Version: version + 1}, answer)
	}
	require.Zero(t, changes)
	machine.Publish()
	require.Equal(t, 1, changes)
	require.Equal(t, identifier.ConfigurationVersion(versions), view.CurrentVersion())
	require.Equal(t, 1, logs.FilterMessage("Declaration is in force.").Len())
}
