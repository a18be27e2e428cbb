package parser

import (
	"net/netip"
	"slices"
	"time"

	"celeryvalve/explainer"
	"celeryvalve/identifier"
)

// Role is a task of the daemon. One process can have several roles.
type Role string

// The roles.
const (
	Entry   Role = "Entry"   // takes callers' requests over HTTP
	Control Role = "Control" // keeps the replicated state; needs a disk
	Agent   Role = "Agent"   // runs next to one upstream, as its sidecar
)

// Values returns the names of the roles.
func (Role) Values() []string {
	return []string{string(Entry), string(Control), string(Agent)}
}

// LogFormat is the format of log lines.
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

// LogLevel is the minimum level of the lines that are logged.
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

// UpstreamKind tells whether an upstream loads weights.
type UpstreamKind string

// The kinds of upstreams.
const (
	Engine UpstreamKind = "Engine" // loads weights when it is ordered to
	Plain  UpstreamKind = "Plain"  // only serves requests
)

// Values returns the names of the kinds.
func (UpstreamKind) Values() []string {
	return []string{string(Engine), string(Plain)}
}

// Settings configures one daemon process at its start. It doesn't change while
// the daemon runs; package configurer holds the configuration that operators
// change at run time. The help tags of the fields are the descriptions in the
// settings reference.
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
	Memory           identifier.ByteCount        `help:"memory that the process may take; 0 if it isn't known"`
	Keys             KeySettings
	Log              LogSettings
	Control          ControlSettings
	Entry            EntrySettings
	Agent            AgentSettings
	Drain            DrainSettings
}

// KeySettings locates the files for mutual TLS: either Folder is set, or all of
// Authority, Certificate and PrivateKey.
type KeySettings struct {
	Folder      string `help:"folder with authority.pem, NAME.pem and NAME-key.pem, NAME being that of the process"`
	Authority   string `help:"file with the authority's certificates, in place of Folder"`
	Certificate string `help:"file with the certificate of the process, in place of Folder"`
	PrivateKey  string `help:"file with the private key of the process, in place of Folder"`
}

// LogSettings selects the format and the minimum level of the log.
type LogSettings struct {
	Format LogFormat `help:"how lines of the log are written"`
	Level  LogLevel  `help:"least level that is written"`
}

// ControlSettings lists the control processes. A process of role Control also
// uses Members as the initial members of a new, empty replicated log.
type ControlSettings struct {
	Members   []Member
	Operators netip.AddrPort `help:"HTTPS, for operators; role Control only"`
}

// Member is the name and the address of one control process.
type Member struct {
	Name    string         `help:"name of a control process; the process itself unless Roles is set"`
	Address netip.AddrPort `help:"its Listen; the process's own unless Roles is set"`
}

// EntrySettings configures role Entry.
type EntrySettings struct {
	Listen netip.AddrPort `help:"HTTP, for callers"`
}

// AgentSettings configures role Agent and describes its upstream.
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

// DrainSettings configures the shutdown of the daemon.
type DrainSettings struct {
	Deadline time.Duration `help:"how long a shutdown waits for requests in progress; 0 waits for the last one"`
}

// minMemory is the least memory with which a process can work.
const minMemory = 64 * identifier.ByteCount(1e6)

const (
	defaultName        = "celeryvalved"
	defaultUpstream    = "upstream"
	defaultService     = "default"
	defaultChunkMemory = 256 * identifier.ByteCount(1<<20)
)

// DefaultSettings returns the settings of one process that has all three roles and
// listens on loopback.
func DefaultSettings() Settings {
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

// Address returns the address at which the system's other processes reach this
// one: Advertise or, where that is unset, Listen.
func (s Settings) Address() netip.AddrPort {
	if s.Advertise.IsValid() {
		return s.Advertise
	}
	return s.Listen
}

// HasRole reports whether the process has the role. A process without Roles has all
// of them.
func (s Settings) HasRole(role Role) bool {
	return len(s.Roles) == 0 || slices.Contains(s.Roles, role)
}

// ParseSettings reads and checks the daemon's settings. The error lists every fault.
func ParseSettings(file string, data []byte) (Settings, error) {
	var firstPass Settings
	var faults explainer.Faults
	doc := Parse(file, data, &faults)
	DecodeDocument(doc, &firstPass, &explainer.Faults{}) // the DecodeDocument below reports these faults
	s := defaultsFor(doc, firstPass)
	DecodeDocument(doc, &s, &faults)
	checkSettings(s, doc, &faults)
	return s, faults.Err()
}

// defaultsFor returns the defaults that doc is decoded over; firstPass is doc
// decoded into empty settings. The default control member is the process
// itself, with its Name and Listen from the file. A file that sets Roles
// describes one process of a larger system, so the values that only the
// operator can know have no default then.
func defaultsFor(doc *Document, firstPass Settings) Settings {
	s := DefaultSettings()
	if doc.Has("Name") {
		s.Control.Members[0].Name = firstPass.Name
	}
	if doc.Has("Listen") {
		s.Control.Members[0].Address = firstPass.Listen
	}
	if len(firstPass.Roles) == 0 {
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
