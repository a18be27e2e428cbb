package commander

import (
	"context"
	"fmt"
	"path/filepath"
	"strings"
	"time"

	"github.com/google/uuid"

	"celeryvalve/administrator"
	"celeryvalve/configurer"
	"celeryvalve/controller"
	"celeryvalve/explainer"
	"celeryvalve/identifier"
	"celeryvalve/parser"
)

type validateCommand struct {
	File string `arg:"" help:"Settings file of the daemon, or with --patch a patch file."`
	// Patch checks the form of a patch; references are checked when it is submitted.
	Patch bool `help:"The file is a patch."`
}

// Run checks one file. It needs no running process.
func (c *validateCommand) Run(s *session) error {
	data, err := readFile(c.File)
	if err != nil {
		return err
	}
	name := filepath.Base(c.File)
	if c.Patch {
		_, err = configurer.ParsePatch(name, data)
	} else {
		_, err = parser.ParseSettings(name, data)
	}
	if err != nil {
		return err
	}
	return s.print(map[string]any{"File": name, "Valid": true}, name+" is valid.\n")
}

type patchCommand struct {
	Apply   patchApply   `cmd:"" help:"Submit a patch against a version."`
	Diff    patchDiff    `cmd:"" help:"Show the values that differ between two versions."`
	History patchHistory `cmd:"" help:"List accepted patches, the newest first."`
	Show    patchShow    `cmd:"" help:"Print a version as a patch file would declare it."`
}

type patchApply struct {
	File string                          `arg:"" help:"Patch file in TOML."`
	Base identifier.ConfigurationVersion `help:"Version that the patch was made against." required:""`
	ID   string                          `name:"id" help:"Name of the patch. Resend it under the same name. Default: a new one."`
	Wait time.Duration                   `help:"How long to go on trying while control has no leader." default:"10s"`
}

// Run submits the patch and prints the answer. A patch that is submitted again under
// the same id gets its first answer again.
func (c *patchApply) Run(s *session) error {
	data, err := readFile(c.File)
	if err != nil {
		return err
	}
	name := filepath.Base(c.File)
	if _, err := configurer.ParsePatch(name, data); err != nil {
		return err
	}
	if c.ID == "" {
		c.ID = uuid.NewString()
	}
	body := administrator.PatchSubmission{ID: identifier.PatchID(c.ID), Base: c.Base, File: name, Source: string(data)}
	answer, err := c.submit(s, body)
	if err != nil {
		return fmt.Errorf("patch %s: %w", c.ID, err)
	}
	if err := s.print(answer, answerText(answer)); err != nil {
		return err
	}
	return answerError(answer)
}

// submit tries until it gets an answer, an error other than Unavailable, or the wait
// is over. Resending is safe, since the patch keeps its id.
func (c *patchApply) submit(s *session, body administrator.PatchSubmission) (controller.PatchAnswer, error) {
	start := s.clock.Now()
	for {
		answer, err := administrator.Post[controller.PatchAnswer](context.Background(), s.client(), "/v1/patches", body)
		unavailable := explainer.KindOf(err) == explainer.Unavailable
		if err == nil || !unavailable || s.clock.Since(start) > c.Wait {
			return answer, err
		}
		s.clock.Sleep(pollInterval)
	}
}

func answerText(a controller.PatchAnswer) string {
	var b strings.Builder
	switch a.Outcome {
	case controller.Accepted:
		fmt.Fprintf(&b, "Accepted as version %d.\n", a.Version)
	case controller.Conflict:
		fmt.Fprintf(&b, "Conflict: version %d is in force. %s was accepted first, from %s.\n",
			a.Version, a.Winner.ID, a.Winner.Operator)
	case controller.Refused:
		fmt.Fprintf(&b, "Refused:\n%s\n", a.Faults)
	}
	if a.Resent {
		b.WriteString("The patch was submitted before; this is its first answer.\n")
	}
	b.WriteString(changesText(a.Changes))
	return b.String()
}

// answerError returns the error of a patch that was not accepted, from which the
// exit code follows.
func answerError(a controller.PatchAnswer) error {
	switch a.Outcome {
	case controller.Conflict:
		return explainer.New(explainer.Conflict, fmt.Sprintf("version %d is in force", a.Version),
			"read the changes and submit the patch against it")
	case controller.Refused:
		return explainer.New(explainer.InvalidInput, "the patch has faults", "correct them and submit the patch under a new id")
	default:
		return nil
	}
}

// changesText lists the changes, one per line: + for a new value, - for a removed
// value and ~ for a changed one.
func changesText(changes []configurer.Change) string {
	var b strings.Builder
	for _, change := range changes {
		switch {
		case change.Before == "":
			fmt.Fprintf(&b, "+ %s = %s\n", change.Path, change.After)
		case change.After == "":
			fmt.Fprintf(&b, "- %s = %s\n", change.Path, change.Before)
		default:
			fmt.Fprintf(&b, "~ %s = %s (was %s)\n", change.Path, change.After, change.Before)
		}
	}
	return b.String()
}

type patchDiff struct {
	From identifier.ConfigurationVersion `help:"Older version." required:""`
	To   identifier.ConfigurationVersion `help:"Newer version. Default: the one in force."`
}

// Run shows the values that differ between the two versions.
func (c *patchDiff) Run(s *session) error {
	path := fmt.Sprintf("/v1/diff?From=%d", c.From)
	if c.To > 0 {
		path += fmt.Sprintf("&To=%d", c.To)
	}
	v, err := administrator.Get[administrator.DiffView](context.Background(), s.client(), path)
	if err != nil {
		return err
	}
	return s.print(v, changesText(v.Changes))
}

type patchHistory struct {
	Limit int `help:"How many to list." default:"20"`
}

// Run lists the accepted patches, newest first.
func (c *patchHistory) Run(s *session) error {
	path := fmt.Sprintf("/v1/history?Limit=%d", c.Limit)
	v, err := administrator.Get[administrator.HistoryView](context.Background(), s.client(), path)
	if err != nil {
		return err
	}
	rows := [][]string{{"VERSION", "PATCH", "OPERATOR", "ACCEPTED"}}
	for _, p := range v.Patches {
		rows = append(rows, []string{fmt.Sprint(p.Version), string(p.ID), string(p.Operator), p.At.Time().Format(time.RFC3339)})
	}
	return s.print(v, table(rows...))
}

type patchShow struct {
	Version identifier.ConfigurationVersion `help:"Version to print. Default: the one in force."`
}

// Run prints a version of the configuration as a patch file would declare it.
func (c *patchShow) Run(s *session) error {
	path := "/v1/configuration"
	if c.Version > 0 {
		path += fmt.Sprintf("?Version=%d", c.Version)
	}
	v, err := administrator.Get[administrator.ConfigurationView](context.Background(), s.client(), path)
	if err != nil {
		return err
	}
	return s.print(v, fmt.Sprintf("# version %d\n%s", v.Version, v.Source))
}
