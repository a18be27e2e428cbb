package commander

import (
	"fmt"
	"time"

	"celeryvalve/certifier"
)

type keysCommand struct {
	Init   keysInit   `cmd:"" help:"Make a new authority in a folder."`
	Issue  keysIssue  `cmd:"" help:"Issue a key and certificate to a process or an operator."`
	Renew  keysRenew  `cmd:"" help:"Renew certificates with the roles that they have. Running processes take them up."`
	Rotate keysRotate `cmd:"" help:"Make a new authority beside the old one. Both are trusted until the old certificate is removed from authority.pem."`
}

type keysFolder struct {
	Folder string `help:"Folder of the authority and the keys." default:"keys" type:"path"`
}

// keysFrom says since when keys are valid: those that a build makes may run
// where the time of day differs from that of the build.
type keysFrom struct {
	From time.Time `help:"First day on which the keys are valid, as 2026-01-31; today unless given." format:"2006-01-02"`
}

func (f keysFrom) at(s *session) time.Time {
	if f.From.IsZero() {
		return s.clock.Now()
	}
	return f.From
}

type keysInit struct {
	keysFolder
	keysFrom
}

// Run makes the authority.
func (c *keysInit) Run(s *session) error {
	if _, err := certifier.CreateAuthority(c.Folder, c.at(s)); err != nil {
		return err
	}
	return s.print(map[string]string{"Folder": c.Folder}, fmt.Sprintf("Made an authority in %s.\n", c.Folder))
}

type keysIssue struct {
	keysFolder
	keysFrom
	Days  int              `help:"For how many days the keys are valid." default:"90"`
	Names []string         `arg:"" help:"Names of the holders."`
	Role  []certifier.Role `help:"What the holders may do: Entry, Control, Agent, Operator. May be repeated." required:"" enum:"Entry,Control,Agent,Operator"`
}

// Run issues the keys.
func (c *keysIssue) Run(s *session) error {
	authority, err := certifier.OpenAuthority(c.Folder)
	if err != nil {
		return err
	}
	for _, name := range c.Names {
		if err := authority.IssueFor(name, c.Role, c.at(s), time.Duration(c.Days)*24*time.Hour); err != nil {
			return err
		}
	}
	return s.print(map[string][]string{"Issued": c.Names}, fmt.Sprintf("Issued %d keys in %s.\n", len(c.Names), c.Folder))
}

type keysRenew struct {
	keysFolder
	Names []string `arg:"" help:"Names of the holders."`
}

// Run renews the keys.
func (c *keysRenew) Run(s *session) error {
	authority, err := certifier.OpenAuthority(c.Folder)
	if err != nil {
		return err
	}
	for _, name := range c.Names {
		if err := authority.Renew(name, s.clock.Now()); err != nil {
			return err
		}
	}
	return s.print(map[string][]string{"Renewed": c.Names}, fmt.Sprintf("Renewed %d keys in %s.\n", len(c.Names), c.Folder))
}

type keysRotate struct{ keysFolder }

// Run rotates the authority.
func (c *keysRotate) Run(s *session) error {
	if _, err := certifier.RotateAuthority(c.Folder, s.clock.Now()); err != nil {
		return err
	}
	return s.print(map[string]string{"Folder": c.Folder},
		"Made a new authority. Copy authority.pem everywhere, then renew every key, then remove the old certificate.\n")
}
