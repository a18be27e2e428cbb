package parser_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celeryvalve/explainer"
	"celeryvalve/identifier"
	"celeryvalve/parser"
)

func TestParseSettingsOfAnEmptyFileAreTheDefaults(t *testing.T) {
	s, err := parser.ParseSettings("empty.toml", nil)
	require.NoError(t, err)
	require.Equal(t, parser.DefaultSettings(), s)
	for _, role := range []parser.Role{parser.Entry, parser.Control, parser.Agent} {
		require.True(t, s.HasRole(role))
	}
}

func TestPrintIsReadBack(t *testing.T) {
	s := parser.DefaultSettings()
	s.Name = "a \"quoted\"\tname"
	s.Control.Members[0].Name = s.Name
	s.Drain.Deadline = 90 * time.Second
	s.Agent.UploadRate = 20e6 / 8
	s.Agent.DownloadRate = 1234567.0
	s.Agent.ChunkMemory = 3 << 19
	s.Memory = 184e6
	reparsed, err := parser.ParseSettings("printed.toml", parser.FormatSettings(s))
	require.NoError(t, err, "%s", parser.FormatSettings(s))
	require.Equal(t, s, reparsed)
}

func TestPrintOfOneRoleIsReadBack(t *testing.T) {
	const entry = `Name = "e1"
Roles = ["Entry"]
[[Control.Members]]
Name = "c1"
Address = "10.0.0.1:7400"
`
	s, err := parser.ParseSettings("entry.toml", []byte(entry))
	require.NoError(t, err)
	reparsed, err := parser.ParseSettings("printed.toml", parser.FormatSettings(s))
	require.NoError(t, err, "%s", parser.FormatSettings(s))
	require.Equal(t, s, reparsed)
}

func TestParseSettingsTellsEveryFaultAtOnce(t *testing.T) {
	const file = `Name = "a"
Listen = "localhost:7400"
Colour = "red"
Roles = ["Control", "Janitor", "Agent"]

[Drain]
Deadline = 3

[[Control.Members]]
Name = "a"
Address = "10.0.0.1:7400"

[[Control.Members]]
Name = "a"
Location = "10.0.0.2:7400"

[Agent]
Concurrency = "many"
UploadRate = "20Mbit"
ChunkMemory = "1GIB"
`
	_, err := parser.ParseSettings("bad.toml", []byte(file))
	require.Equal(t, explainer.InvalidInput, explainer.KindOf(err))
	for _, want := range []string{
		`bad.toml:2:1: Listen: address "localhost:7400" is not an IP number with a port`,
		"bad.toml:3:1: Colour: key is not known",
		`bad.toml:4:21: Roles[1]: value "Janitor" is not known`,
		"bad.toml:7:1: Drain.Deadline: value is a whole number, not text",
		"bad.toml:14:1: Control.Members[1].Name: name a is used twice",
		"bad.toml:15:1: Control.Members[1].Location: key is not known",
		"bad.toml:13:11: Control.Members[1].Address: address is missing",
		"bad.toml:18:1: Agent.Concurrency: value is text, not a whole number",
		`bad.toml:19:1: Agent.UploadRate: rate "20Mbit" does not end in /s`,
		`bad.toml:20:1: Agent.ChunkMemory: amount "1GIB"`,
		"DataFolder: role Control has no data folder",
		"Agent.Upstream: value is missing",
		"Agent.UpstreamAddress: address is missing",
	} {
		require.ErrorContains(t, err, want)
	}
	require.NotContains(t, err.Error(), "Listen: address is missing")
}

func TestParseSettingsTellsSyntaxFaultsWithThoseBefore(t *testing.T) {
	_, err := parser.ParseSettings("bad.toml", []byte("Colour = 1\nName = \n"))
	require.ErrorContains(t, err, "bad.toml:1:1: Colour")
	require.ErrorContains(t, err, "bad.toml:2:")
}

func TestParseSettingsRefusesContradictoryRoles(t *testing.T) {
	cases := map[string]string{
		"Roles = [\"Entry\"]\n[Agent]\nService = \"a\"\n":                "bad.toml:2:2: Agent: table belongs to role Agent",
		"Roles = [\"Control\", \"Control\"]\n":                           "bad.toml:1:21: Roles[1]: role Control is named twice",
		"[Agent]\nKind = \"Plain\"\nChecksFencing = true\n":              "bad.toml:3:1: Agent.ChecksFencing",
		"[Keys]\nFolder = \"k\"\nAuthority = \"a\"\n":                    "Keys.PrivateKey: value is missing",
		"Admin = \"127.0.0.1:80\"\n[Entry]\nListen = \"127.0.0.1:80\"\n": "bad.toml:3:1: Entry.Listen: address is also that of Admin",
		"[Agent]\nKind = \"Engine\"\nChunkMemory = \"0B\"\n":             "bad.toml:3:1: Agent.ChunkMemory: chunks have no storage",
		"Memory = \"1MB\"\n":                                             "bad.toml:1:1: Memory: 1000000 bytes are too few",
		"[Control]\nMembers = [{Name = \"a\", Address = \"[::1]:x\"}]\n": "bad.toml:2:25: Control.Members[0].Address: address",
	}
	for file, want := range cases {
		_, err := parser.ParseSettings("bad.toml", []byte(file))
		require.ErrorContains(t, err, want, file)
	}
}

func TestDecodeIntoChangesNoSharedMap(t *testing.T) {
	type object struct {
		Sizes map[string]identifier.ByteCount
	}
	first := object{Sizes: map[string]identifier.ByteCount{"a": 1}}
	second := first
	_, err := parser.DecodeInto("", []byte("[Sizes]\nb = \"2KiB\""), &second)
	require.NoError(t, err)
	require.Equal(t, map[string]identifier.ByteCount{"a": 1}, first.Sizes)
	require.Equal(t, map[string]identifier.ByteCount{"a": 1, "b": 2048}, second.Sizes)
}

func TestPathKeysAndParent(t *testing.T) {
	p := parser.JoinPath("Models", "llama 3.1", "Versions")
	keys, err := p.Keys()
	require.NoError(t, err)
	require.Equal(t, []string{"Models", "llama 3.1", "Versions"}, keys)
	parent, ok := p.Parent()
	require.True(t, ok)
	parent, _ = parent.Parent()
	require.Equal(t, parser.Path("Models"), parent)
	parent, _ = parser.Path(`Control.Members[0]."a.b[1]"`).Parent()
	require.Equal(t, parser.Path("Control.Members[0]"), parent)
	parent, _ = parent.Parent()
	require.Equal(t, parser.Path("Control.Members"), parent)
	_, err = parser.Path("Services.").Keys()
	require.Error(t, err)
}

func FuzzParseSettings(f *testing.F) {
	f.Add([]byte("Roles = [\"Entry\"]\n[[Control.Members]]\nName=\"a\"\n"))
	f.Add([]byte("Roles = [\"Entry\"]\n[[Control.Members]]\nName=\"a\"\nAddress=\"10.0.0.1:1\"\n"))
	f.Add(parser.FormatSettings(parser.DefaultSettings()))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := parser.ParseSettings("fuzz.toml", data)
		if err != nil {
			return
		}
		reparsed, err := parser.ParseSettings("again.toml", parser.FormatSettings(s))
		require.NoError(t, err, "%s", parser.FormatSettings(s))
		require.Equal(t, parser.FormatSettings(s), parser.FormatSettings(reparsed))
	})
}
