package parser

import (
	"net/netip"

	"celeryvalve/explainer"
)

// settingsCheck looks for what is missing and for what contradicts itself.
type settingsCheck struct {
	settings Settings
	doc      *Document
	faults   *explainer.Faults
	known    map[string]bool // paths with a fault
}

// checkSettings adds the faults of s to those of decoding.
func checkSettings(s Settings, doc *Document, faults *explainer.Faults) {
	c := &settingsCheck{settings: s, doc: doc, faults: faults, known: make(map[string]bool)}
	for _, fault := range faults.List() {
		c.known[fault.Path] = true
	}
	c.process()
	c.roles()
	c.keys()
	c.members()
	if s.Has(Agent) {
		c.agent()
	}
	c.addresses()
}

// fault adds a fault, unless the path has one already: a value that couldn't be
// read isn't missing too.
func (c *settingsCheck) fault(path Path, problem, remedy string) {
	if c.known[string(path)] {
		return
	}
	c.known[string(path)] = true
	c.faults.Add(c.doc.Fault(path, problem, remedy))
}

func (c *settingsCheck) required(path Path, value, remedy string) {
	if value == "" {
		c.fault(path, "value is missing", remedy)
	}
}

func (c *settingsCheck) requiredAddress(path Path, address netip.AddrPort, remedy string) {
	if !address.IsValid() {
		c.fault(path, "address is missing", remedy)
	}
}

func (c *settingsCheck) process() {
	s := c.settings
	c.required("Name", s.Name, "name the process")
	c.required("Instance", string(s.Instance), "name the instance as the platform does")
	c.required("Region", string(s.Region), "name the region")
	c.required("AvailabilityZone", string(s.AvailabilityZone), "name the availability zone")
	c.requiredAddress("Listen", s.Listen, "set the address for the system's other processes")
	c.requiredAddress("Admin", s.Admin, "set the address for metrics and health")
}

func (c *settingsCheck) roles() {
	s := c.settings
	seen := make(map[Role]bool)
	for i, role := range s.Roles {
		if seen[role] {
			c.fault(Path("Roles").Index(i), "role "+string(role)+" is named twice", "remove one of them")
		}
		seen[role] = true
	}
	if s.Has(Control) && s.DataFolder == "" {
		c.fault("DataFolder", "role Control has no data folder", "set DataFolder to a folder on a disk, or leave Control out of Roles")
	}
	if s.Has(Entry) {
		c.requiredAddress("Entry.Listen", s.Entry.Listen, "set the address for callers, or leave Entry out of Roles")
	}
	if s.Has(Control) {
		c.requiredAddress("Control.Operators", s.Control.Operators, "set the HTTPS address for operators, or leave Control out of Roles")
	} else if s.Control.Operators.IsValid() {
		c.fault("Control.Operators", "operators' API belongs to role Control, which Roles leaves out", "add the role, or remove the key")
	}
	c.unused(Entry, "Entry")
	c.unused(Agent, "Agent")
}

// unused refuses a table whose role this process doesn't have.
func (c *settingsCheck) unused(role Role, table Path) {
	if c.doc.Has(table) && !c.settings.Has(role) {
		c.fault(table, "table belongs to role "+string(role)+", which Roles leaves out", "add the role, or remove the table")
	}
}

func (c *settingsCheck) keys() {
	k := c.settings.Keys
	files := []struct {
		path  Path
		value string
	}{
		{"Keys.Authority", k.Authority},
		{"Keys.Certificate", k.Certificate},
		{"Keys.PrivateKey", k.PrivateKey},
	}
	named := 0
	for _, file := range files {
		if file.value != "" {
			named++
		}
	}
	if named == 0 {
		c.required("Keys.Folder", k.Folder, "set Folder, or all of Authority, Certificate and PrivateKey")
		return
	}
	if c.doc.Has("Keys.Folder") {
		c.fault("Keys.Folder", "folder stands beside single files", "set Folder, or all of Authority, Certificate and PrivateKey")
	}
	for _, file := range files {
		c.required(file.path, file.value, "set all of Authority, Certificate and PrivateKey")
	}
}

func (c *settingsCheck) members() {
	members := c.settings.Control.Members
	if len(members) == 0 {
		c.fault("Control.Members", "no control process is named", "name at least one with its Name and Address")
	}
	names := make(map[string]bool)
	addresses := make(map[netip.AddrPort]bool)
	for i, m := range members {
		path := Path("Control.Members").Index(i)
		c.required(path.Key("Name"), m.Name, "name the control process")
		c.requiredAddress(path.Key("Address"), m.Address, "set the address that it listens on")
		if m.Name != "" && names[m.Name] {
			c.fault(path.Key("Name"), "name "+m.Name+" stands twice", "give each control process its own name")
		}
		if m.Address.IsValid() && addresses[m.Address] {
			c.fault(path.Key("Address"), "address "+m.Address.String()+" stands twice", "give each control process its own address")
		}
		names[m.Name] = true
		addresses[m.Address] = true
	}
	c.memberAddress(members)
}

// memberAddress refuses a control process that others would look for elsewhere.
func (c *settingsCheck) memberAddress(members []Member) {
	s := c.settings
	for i, m := range members {
		other := m.Address.IsValid() && s.Address().IsValid() && m.Address.Port() != s.Address().Port()
		if m.Name == s.Name && s.Has(Control) && other {
			c.fault(Path("Control.Members").Index(i).Key("Address"),
				"this process is reached at "+s.Address().String(), "use the port of Listen, or of Advertise where it is set")
		}
	}
}

func (c *settingsCheck) agent() {
	a := c.settings.Agent
	c.required("Agent.Upstream", string(a.Upstream), "name the upstream, or leave Agent out of Roles")
	c.required("Agent.Service", string(a.Service), "name the service that the upstream serves")
	c.requiredAddress("Agent.UpstreamAddress", a.UpstreamAddress, "set the HTTP address of the upstream")
	if a.Concurrency < 0 {
		c.fault("Agent.Concurrency", "number is negative", "write 0 to let the limiter find it")
	}
	if a.Kind == Plain && a.ChecksFencing {
		c.fault("Agent.ChecksFencing", "a plain upstream takes no orders", "remove the key, or set Kind to Engine")
	}
	if a.Kind == Engine && a.ChunkMemory == 0 && a.ChunkFolder == "" {
		c.fault("Agent.ChunkMemory", "chunks have no place", "set ChunkMemory or ChunkFolder")
	}
}

// addresses refuses two listeners on one address. QUIC is on UDP and can share a
// number with HTTP.
func (c *settingsCheck) addresses() {
	s := c.settings
	if s.Has(Entry) && s.Admin.IsValid() && s.Admin == s.Entry.Listen && s.Admin.Port() != 0 {
		c.fault("Entry.Listen", "address is also that of Admin", "give each its own port")
	}
}
