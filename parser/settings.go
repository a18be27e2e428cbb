package parser

import (
	"net/netip"
	"slices"
	"time"

	"celeryvalve/explainer"
	"celeryvalve/identifier"
)

// Role is one of the tasks of the daemon.
type Role string

// The roles.
const (
	Entry   Role = "Entry"   // takes callers' requests over HTTP
	Control Role = "Control" // keeps the replicated state; needs a disk
	Agent   Role = "Agent"   // stands beside one upstream
)

// Values returns the names of the roles.
func (Role) Values() []string {
	return []string{string(Entry), string(Control), string(Agent)}
}

// LogFormat is how lines of the log are written.
type LogFormat string

// The formats of the log.
const (
	LogText LogFormat = "text"
	LogJSON LogFormat = "json"
)

// Values returns the names of the formats.
func (LogFormat) Values() []string {
	return []string{string(LogText), string(LogJSON)}
}

// LogLevel is the least level that is written to the log.
type LogLevel string

// The levels of the log.
const (
	LogDebug LogLevel = "debug"
	LogInfo  LogLevel = "info"
	LogWarn  LogLevel = "warn"
	LogError LogLevel = "error"
)

// Values returns the names of the levels.
func (LogLevel) Values() []string {
	return []string{string(LogDebug), string(LogInfo), string(LogWarn), string(LogError)}
}

// UpstreamKind says what an upstream is.
type UpstreamKind string

// The kinds of upstreams.
const (
	Engine UpstreamKind = "Engine" // loads weights and takes orders
	Plain  UpstreamKind = "Plain"  // only answers requests
)

// Values returns the names of the kinds.
func (UpstreamKind) Values() []string {
	return []string{string(Engine), string(Plain)}
}

// Settings is what one daemon is started with. It doesn't change while the
// daemon runs; what operators change at run time is in package configurer.
type Settings struct {
	Name             string                      // of the process, unique in the system
	Instance         identifier.Instance         // the machine
	Region           identifier.Region           // of the instance
	AvailabilityZone identifier.AvailabilityZone // of the instance
	Roles            []Role                      // empty means all three
	DataFolder       string                      // on a disk; needed by Control
	Listen           netip.AddrPort              // QUIC, for the system's other processes
	Admin            netip.AddrPort              // HTTP, for metrics and health
	Keys             KeySettings
	Log              LogSettings
	Control          ControlSettings
	Entry            EntrySettings
	Agent            AgentSettings
	Drain            DrainSettings
}

// KeySettings says where the keys of mutual TLS are: in Folder, or in three
// files named one by one.
type KeySettings struct {
	Folder      string // holds authority.pem, NAME.pem and NAME-key.pem, NAME being that of the process
	Authority   string // file with the authority's certificates
	Certificate string // file with this process's certificate
	PrivateKey  string // file with this process's private key
}

// LogSettings says how the log is written.
type LogSettings struct {
	Format LogFormat
	Level  LogLevel
}

// ControlSettings says where control is.
type ControlSettings struct {
	// Members are the control processes to ask first. For a process of role
	// Control they are also the members of a new, empty log.
	Members []Member
	// Operators is the HTTPS address of the operators' API on role Control.
	Operators netip.AddrPort
}

// Member is one control process.
type Member struct {
	Name    string
	Address netip.AddrPort
}

// EntrySettings belong to role Entry.
type EntrySettings struct {
	Listen netip.AddrPort // HTTP, for callers
}

// AgentSettings belong to role Agent and describe its upstream.
type AgentSettings struct {
	Upstream        identifier.Upstream
	Service         identifier.Service
	UpstreamAddress netip.AddrPort // HTTP of the upstream
	Kind            UpstreamKind
	ChecksFencing   bool                      // the upstream refuses orders with an old token
	ReportsLoad     bool                      // the upstream reports its load
	Concurrency     int                       // requests at once; 0 lets the limiter find it
	UploadRate      identifier.BytesPerSecond // of chunks to other agents; 0 takes the configuration's
	DownloadRate    identifier.BytesPerSecond // of chunks; 0 takes the configuration's
	ChunkMemory     identifier.ByteCount      // for chunks kept in memory
	ChunkFolder     string                    // for chunks on disk; empty keeps them in memory
}

// DrainSettings say how the daemon stops.
type DrainSettings struct {
	Deadline time.Duration // after which requests are cut off; 0 waits for the last one
}

const (
	defaultName        = "celeryvalved"
	defaultUpstream    = "upstream"
	defaultService     = "default"
	defaultChunkMemory = 256 * identifier.ByteCount(1<<20)
)

// Defaults returns the settings of one process with all three roles on loopback.
func Defaults() Settings {
	listen := netip.MustParseAddrPort("127.0.0.1:7400")
	return Settings{
		Name:             defaultName,
		Instance:         "local",
		Region:           "local",
		AvailabilityZone: "local",
		DataFolder:       "data",
		Listen:           listen,
		Admin:            netip.MustParseAddrPort("127.0.0.1:7401"),
		Keys:             KeySettings{Folder: "keys"},
		Log:              LogSettings{Format: LogText, Level: LogInfo},
		Control: ControlSettings{
			Members:   []Member{{Name: defaultName, Address: listen}},
			Operators: netip.MustParseAddrPort("127.0.0.1:7402"),
		},
		Entry: EntrySettings{Listen: netip.MustParseAddrPort("127.0.0.1:8080")},
		Agent: AgentSettings{
			Upstream:        defaultUpstream,
			Service:         defaultService,
			UpstreamAddress: netip.MustParseAddrPort("127.0.0.1:9000"),
			Kind:            Plain,
			ChunkMemory:     defaultChunkMemory,
		},
	}
}

// Has reports whether the daemon has the role.
func (s Settings) Has(role Role) bool {
	return len(s.Roles) == 0 || slices.Contains(s.Roles, role)
}

// ParseSettings reads and checks the daemon's settings. The error lists every fault.
func ParseSettings(file string, data []byte) (Settings, error) {
	var probe Settings
	doc := Collect(file, data, &probe, &explainer.Faults{})
	s := base(doc, probe)
	var faults explainer.Faults
	doc = Collect(file, data, &s, &faults)
	checkSettings(s, doc, &faults)
	return s, faults.Err()
}

// base returns the defaults that a file is read over. A file that sets Roles
// describes a part of a system, so that what only the operator can know has no
// default then. The default control member is the process itself.
func base(doc *Document, named Settings) Settings {
	s := Defaults()
	if doc.Has("Name") {
		s.Control.Members[0].Name = named.Name
	}
	if doc.Has("Listen") {
		s.Control.Members[0].Address = named.Listen
	}
	if len(named.Roles) == 0 {
		return s
	}
	s.DataFolder = ""
	s.Control.Members = nil
	s.Control.Operators = netip.AddrPort{}
	s.Agent.Upstream = ""
	s.Agent.Service = ""
	s.Agent.UpstreamAddress = netip.AddrPort{}
	return s
}
