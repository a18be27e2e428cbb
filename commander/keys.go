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

// keysFrom is the flag for the first day on which keys are valid. It is needed for
// keys that are made during a build, because the clock of the machines that use
// them may differ from the clock of the build.
type keysFrom struct {
	From time.Time `help:"First day on which the keys are valid, as 2026-01-31; today unless given." format:"2006-01-02"`
}

// validFrom returns the time that the flag gives, or now without the flag.
func (f keysFrom) validFrom(s *session) time.Time {
	if f.From.IsZero() {
		return s.clock.Now()
	}
	return f.From
}

type keysInit struct {
	keysFolder
	keysFrom
}

// Run creates the authority. It fails with Conflict if the folder has one already.
func (c *keysInit) Run(s *session) error {
	if _, err := certifier.CreateAuthority(c.Folder, c.validFrom(s)); err != nil {
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

// Run issues a key and certificate to each name.
func (c *keysIssue) Run(s *session) error {
	authority, err := certifier.OpenAuthority(c.Folder)
	if err != nil {
		return err
	}
	for _, name := range c.Names {
		if err := authority.IssueFor(name, c.Role, c.validFrom(s), time.Duration(c.Days)*24*time.Hour); err != nil {
			return err
		}
	}
	return s.print(map[string][]string{"Issued": c.Names}, fmt.Sprintf("Issued %d keys in %s.\n", len(c.Names), c.Folder))
}

type keysRenew struct {
	keysFolder
	Names []string `arg:"" help:"Names of the holders."`
}

// Run issues a new key and certificate to each name, with its present roles.
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

// Run creates a new authority beside the old one.
func (c *keysRotate) Run(s *session) error {
	if _, err := certifier.RotateAuthority(c.Folder, s.clock.Now()); err != nil {
		return err
	}
	return s.print(map[string]string{"Folder": c.Folder},
		"Made a new authority. Copy authority.pem everywhere, then renew every key, then remove the old certificate.\n")
}
