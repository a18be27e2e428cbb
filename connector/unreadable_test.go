package connector_test

import (
	"bytes"
	"context"
	"net/netip"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"celeryvalve/certifier"
	"celeryvalve/connector"
	"celeryvalve/encoder"
	"celeryvalve/explainer"
)

// Guards against messages that a process can't read and that neither its log nor its metrics
// tell of: the peer, the kind and the cause.
func TestUnreadableMessageIsCountedAndLogged(t *testing.T) {
	folder := newFolder(t, "a", "b")
	codec, err := encoder.New(encoder.Message[struct{ N string }]("Ping"), encoder.Message[pong]("Pong"))
	require.NoError(t, err)
	cfg := connector.Config{Listen: netip.MustParseAddrPort("127.0.0.1:0")}
	sender := connector.New(cfg, codec, certifier.NewSource(certifier.PathsIn(folder, "a")), &versions{}, zap.NewNop())
	require.NoError(t, sender.Start())
	t.Cleanup(func() { require.NoError(t, sender.Stop()) })
	core, logs := observer.New(zap.WarnLevel)
	codec, err = encoder.New(encoder.Message[ping]("Ping"))
	require.NoError(t, err)
	cfg.Metrics = metrics.NewSet()
	reader := connector.New(cfg, codec, certifier.NewSource(certifier.PathsIn(folder, "b")), &versions{}, zap.New(core))
	require.NoError(t, reader.Start())
	t.Cleanup(func() { require.NoError(t, reader.Stop()) })

	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for _, msg := range []any{&struct{ N string }{N: "x"}, &pong{}} {
		_, err = sender.Call(ctx, reader.Address(), msg)
		require.Error(t, err)
	}
	var b bytes.Buffer
	cfg.Metrics.WritePrometheus(&b)
	require.Contains(t, b.String(), `celeryvalve_unreadable_messages_total{kind="Ping"} 1`)
	require.Contains(t, b.String(), `celeryvalve_unreadable_messages_total{kind="Unknown"} 1`)
	lines := logs.FilterMessage("Can't read a message.").All()
	require.Len(t, lines, 2)
	require.Equal(t, "a", lines[0].ContextMap()["peer"])
	require.Equal(t, "Ping", lines[0].ContextMap()["kind"])
	require.Contains(t, lines[0].ContextMap()["error"], "N")
}

// Guards against one message that can't be decoded and that ends a stream whose frames are intact.
func TestStreamGoesOnAfterAnUnreadableMessage(t *testing.T) {
	folder := newFolder(t, "a", "b")
	a := newEndpoint(t, folder, "a", &versions{})
	codec, err := encoder.New(encoder.Message[ping]("Ping"), encoder.Message[struct{ X int }]("Odd"))
	require.NoError(t, err)
	cfg := connector.Config{Listen: netip.MustParseAddrPort("127.0.0.1:0")}
	b := connector.New(cfg, codec, certifier.NewSource(certifier.PathsIn(folder, "b")), &versions{}, zap.NewNop())
	b.Handle("Ping", func(_ context.Context, s *connector.Stream, first any) {
		odd := &struct{ X int }{1}
		for _, msg := range []any{odd, first, odd, first} {
			if s.Send(msg) != nil {
				return
			}
		}
	})
	require.NoError(t, b.Start())
	t.Cleanup(func() { require.NoError(t, b.Stop()) })
	s, err := a.Open(t.Context(), b.Address(), &ping{N: 4})
	require.NoError(t, err)
	_, err = s.Receive(t.Context())
	require.True(t, connector.IsUnreadable(err), "%v", err)
	require.Equal(t, explainer.Corrupt, explainer.KindOf(err))
	msg, err := s.Receive(t.Context())
	require.NoError(t, err)
	require.Equal(t, &ping{N: 4}, msg)
	msg, err = s.ReceiveReadable(t.Context())
	require.NoError(t, err)
	require.Equal(t, &ping{N: 4}, msg)
}
