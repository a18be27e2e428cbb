package parser

import (
	"fmt"
	"net/netip"

	"celeryvalve/explainer"
)

// settingsChecker finds settings that are missing or contradict each other.
type settingsChecker struct {
	settings    Settings
	doc         *Document
	faults      *explainer.Faults
	faultyPaths map[string]bool // paths that already have a fault
}

// checkSettings adds the faults of s to those of decoding.
func checkSettings(s Settings, doc *Document, faults *explainer.Faults) {
	c := &settingsChecker{settings: s, doc: doc, faults: faults, faultyPaths: make(map[string]bool)}
	for _, fault := range faults.List() {
		c.faultyPaths[fault.Path] = true
	}
	c.checkProcess()
	c.checkRoles()
	c.checkKeys()
	c.checkMembers()
	if s.HasRole(Agent) {
		c.checkAgent()
	}
	c.checkListeners()
}

// addFault adds a fault unless the path already has one, so that a value that
// couldn't be decoded is not reported as missing too.
func (c *settingsChecker) addFault(path Path, problem, remedy string) {
	if c.faultyPaths[string(path)] {
		return
	}
	c.faultyPaths[string(path)] = true
	c.faults.Add(c.doc.NewFault(path, problem, remedy))
}

func (c *settingsChecker) requireText(path Path, value, remedy string) {
	if value == "" {
		c.addFault(path, "value is missing", remedy)
	}
}

func (c *settingsChecker) requireAddress(path Path, address netip.AddrPort, remedy string) {
	if !address.IsValid() {
		c.addFault(path, "address is missing", remedy)
	}
}

func (c *settingsChecker) checkProcess() {
	s := c.settings
	c.requireText("Name", s.Name, "name the process")
	c.requireText("Instance", string(s.Instance), "name the instance as the platform does")
	c.requireText("Region", string(s.Region), "name the region")
	c.requireText("AvailabilityZone", string(s.AvailabilityZone), "name the availability zone")
	c.requireAddress("Listen", s.Listen, "set the address for the system's other processes")
	c.requireAddress("Admin", s.Admin, "set the address for metrics and health")
}

func (c *settingsChecker) checkRoles() {
	s := c.settings
	seen := make(map[Role]bool)
	for i, role := range s.Roles {
		if seen[role] {
			c.addFault(Path("Roles").Index(i), "role "+string(role)+" is named twice", "remove one of them")
		}
		seen[role] = true
	}
	if s.Memory > 0 && s.Memory < minMemory {
		c.addFault("Memory", fmt.Sprintf("%d bytes are too few for a process", s.Memory), fmt.Sprintf("write %dMB or more, or 0 if it isn't known", minMemory/1e6))
	}
	if s.HasRole(Control) && s.DataFolder == "" {
		c.addFault("DataFolder", "role Control has no data folder", "set DataFolder to a folder on a disk, or leave Control out of Roles")
	}
	if s.HasRole(Entry) {
		c.requireAddress("Entry.Listen", s.Entry.Listen, "set the address for callers, or leave Entry out of Roles")
	}
	if s.HasRole(Control) {
		c.requireAddress("Control.Operators", s.Control.Operators, "set the HTTPS address for operators, or leave Control out of Roles")
	} else if s.Control.Operators.IsValid() {
		c.addFault("Control.Operators", "operators' API belongs to role Control, which Roles leaves out", "add the role, or remove the key")
	}
	c.refuseUnusedTable(Entry, "Entry")
	c.refuseUnusedTable(Agent, "Agent")
}

// refuseUnusedTable refuses a table whose role this process doesn't have.
func (c *settingsChecker) refuseUnusedTable(role Role, table Path) {
	if c.doc.Has(table) && !c.settings.HasRole(role) {
		c.addFault(table, "table belongs to role "+string(role)+", which Roles leaves out", "add the role, or remove the table")
	}
}

func (c *settingsChecker) checkKeys() {
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
		c.requireText("Keys.Folder", k.Folder, "set Folder, or all of Authority, Certificate and PrivateKey")
		return
	}
	if c.doc.Has("Keys.Folder") {
		c.addFault("Keys.Folder", "folder is set together with single files", "set Folder, or all of Authority, Certificate and PrivateKey")
	}
	for _, file := range files {
		c.requireText(file.path, file.value, "set all of Authority, Certificate and PrivateKey")
	}
}

func (c *settingsChecker) checkMembers() {
	members := c.settings.Control.Members
	if len(members) == 0 {
		c.addFault("Control.Members", "no control process is named", "name at least one with its Name and Address")
	}
	names := make(map[string]bool)
	addresses := make(map[netip.AddrPort]bool)
	for i, m := range members {
		path := Path("Control.Members").Index(i)
		c.requireText(path.Key("Name"), m.Name, "name the control process")
		c.requireAddress(path.Key("Address"), m.Address, "set the address that it listens on")
		if m.Name != "" && names[m.Name] {
			c.addFault(path.Key("Name"), "name "+m.Name+" is used twice", "give each control process its own name")
		}
		if m.Address.IsValid() && addresses[m.Address] {
			c.addFault(path.Key("Address"), "address "+m.Address.String()+" is used twice", "give each control process its own address")
		}
		names[m.Name] = true
		addresses[m.Address] = true
	}
	c.checkOwnMemberPort(members)
}

// checkOwnMemberPort refuses a member with the name of this process whose port
// is not the one at which other processes reach this process.
func (c *settingsChecker) checkOwnMemberPort(members []Member) {
	s := c.settings
	for i, m := range members {
		portDiffers := m.Address.IsValid() && s.Address().IsValid() && m.Address.Port() != s.Address().Port()
		if m.Name == s.Name && s.HasRole(Control) && portDiffers {
			c.addFault(Path("Control.Members").Index(i).Key("Address"),
				"this process is reached at "+s.Address().String(), "use the port of Listen, or of Advertise where it is set")
		}
	}
}

func (c *settingsChecker) checkAgent() {
	a := c.settings.Agent
	c.requireText("Agent.Upstream", string(a.Upstream), "name the upstream, or leave Agent out of Roles")
	c.requireText("Agent.Service", string(a.Service), "name the service that the upstream serves")
	c.requireAddress("Agent.UpstreamAddress", a.UpstreamAddress, "set the HTTP address of the upstream")
	if a.Concurrency < 0 {
		c.addFault("Agent.Concurrency", "number is negative", "write 0 to let the limiter find it")
	}
	if a.Kind == Plain && a.ChecksFencing {
		c.addFault("Agent.ChecksFencing", "a plain upstream takes no orders", "remove the key, or set Kind to Engine")
	}
	if a.Kind == Engine && a.ChunkMemory == 0 && a.ChunkFolder == "" {
		c.addFault("Agent.ChunkMemory", "chunks have no storage", "set ChunkMemory or ChunkFolder")
	}
}

// checkListeners refuses two HTTP listeners on one address. QUIC uses UDP and
// can share a port number with HTTP.
func (c *settingsChecker) checkListeners() {
	s := c.settings
	if s.HasRole(Entry) && s.Admin.IsValid() && s.Admin == s.Entry.Listen && s.Admin.Port() != 0 {
		c.addFault("Entry.Listen", "address is also that of Admin", "give each its own port")
	}
}
