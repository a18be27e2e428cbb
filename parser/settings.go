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
// daemon runs; what operators change at run time is in package configurer. The
// help tags of the fields are the lines of the reference.
type Settings struct {
	Name             string                      `help:"name of the process, unique in the system"`
	Instance         identifier.Instance         `help:"name of the instance, as the platform knows it"`
	Region           identifier.Region           `help:"region of the instance"`
	AvailabilityZone identifier.AvailabilityZone `help:"availability zone of the instance"`
	Roles            []Role                      `help:"what the process does; none means all three"`
	DataFolder       string                      `help:"folder on a disk for the replicated state; needed by role Control"`
	Listen           netip.AddrPort              `help:"QUIC, for the system's other processes"`
	Advertise        netip.AddrPort              `help:"where others reach Listen; unset means at Listen itself"`
	Admin            netip.AddrPort              `help:"HTTP, for metrics and health"`
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
	Folder      string `help:"folder with authority.pem, NAME.pem and NAME-key.pem, NAME being that of the process"`
	Authority   string `help:"file with the authority's certificates, in place of Folder"`
	Certificate string `help:"file with the certificate of the process, in place of Folder"`
	PrivateKey  string `help:"file with the private key of the process, in place of Folder"`
}

// LogSettings says how the log is written.
type LogSettings struct {
	Format LogFormat `help:"how lines of the log are written"`
	Level  LogLevel  `help:"least level that is written"`
}

// ControlSettings says where control is. For a process of role Control, Members
// are also the members of a new, empty log.
type ControlSettings struct {
	Members   []Member
	Operators netip.AddrPort `help:"HTTPS, for operators; role Control only"`
}

// Member is one control process.
type Member struct {
	Name    string         `help:"name of a control process; the process itself unless Roles is set"`
	Address netip.AddrPort `help:"its Listen; the process's own unless Roles is set"`
}

// EntrySettings belong to role Entry.
type EntrySettings struct {
	Listen netip.AddrPort `help:"HTTP, for callers"`
}

// AgentSettings belong to role Agent and describe its upstream.
type AgentSettings struct {
	Upstream        identifier.Upstream       `help:"name of the upstream, unique in the system"`
	Service         identifier.Service        `help:"service that the upstream belongs to"`
	UpstreamAddress netip.AddrPort            `help:"HTTP of the upstream"`
	Kind            UpstreamKind              `help:"an engine takes orders to load weights, a plain upstream doesn't"`
	ChecksFencing   bool                      `help:"the upstream refuses orders that carry an old fencing token"`
	ReportsLoad     bool                      `help:"the upstream reports its load"`
	Concurrency     int                       `help:"requests that run at once; 0 lets the limiter find it"`
	UploadRate      identifier.BytesPerSecond `help:"limit of chunks sent to other agents; 0 takes that of the configuration"`
	DownloadRate    identifier.BytesPerSecond `help:"limit of chunks received; 0 takes that of the configuration"`
	ChunkMemory     identifier.ByteCount      `help:"memory for chunks"`
	ChunkFolder     string                    `help:"folder for chunks on disk; none keeps them in memory"`
}

// DrainSettings say how the daemon stops.
type DrainSettings struct {
	Deadline time.Duration `help:"how long a shutdown waits for requests in progress; 0 waits for the last one"`
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

// Address returns where the system's other processes reach this one.
func (s Settings) Address() netip.AddrPort {
	if s.Advertise.IsValid() {
		return s.Advertise
	}
	return s.Listen
}

// Has reports whether the daemon has the role.
func (s Settings) Has(role Role) bool {
	return len(s.Roles) == 0 || slices.Contains(s.Roles, role)
}

// ParseSettings reads and checks the daemon's settings. The error lists every fault.
func ParseSettings(file string, data []byte) (Settings, error) {
	var probe Settings
	var faults explainer.Faults
	doc := Parse(file, data, &faults)
	Fill(doc, &probe, &explainer.Faults{}) // its faults show again below
	s := base(doc, probe)
	Fill(doc, &s, &faults)
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
