package command

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/lovagegap/lovagegap/core/settings"
	"github.com/lovagegap/lovagegap/lovagegapctl/internal/operators"
)

// errNotConfirmed is returned when the operator does not confirm.
var errNotConfirmed = errors.New("not confirmed, nothing was changed")

// applyCommand puts a whole tree in force.
type applyCommand struct {
	changeOptions
	Yes         bool    `long:"yes" short:"y" description:"do not ask for confirmation"`
	Expect      *uint64 `long:"expect" description:"revision from which the file was edited (default: the one in force)"`
	Base        string  `long:"base" description:"tree from which the file was edited, to show both sides of a lost race"`
	ChangeID    string  `long:"change-id" description:"id of an earlier attempt with unknown outcome, with its --expect; it is never applied twice"`
	SaveCurrent string  `long:"save-current" description:"after a lost race, write the tree in force to this file"`
	Arguments   struct {
		File string `positional-arg-name:"FILE" description:"settings tree; - reads the input" required:"true"`
	} `positional-args:"true"`
}

func (c *applyCommand) run(ctx context.Context, s *session) error {
	if err := c.checkOptions(); err != nil {
		return err
	}
	mine, err := s.parseTreeFile(c.Arguments.File)
	if err != nil {
		return s.printProblems(err)
	}
	current, err := s.client.Settings(ctx)
	if err != nil {
		return err
	}
	p := proposal{tree: mine, expectedRevision: current.Revision, changeID: c.ChangeID, author: c.author(s), resubmitted: c.ChangeID != ""}
	if !p.resubmitted {
		p.changeID = s.Environment.NewChangeID()
	}
	if current.ChangeID == p.changeID {
		return s.printApplied(operators.Applied{Revision: current.Revision, ChangeID: current.ChangeID}, nil)
	}
	if err := c.setBase(s, &p, current); err != nil {
		return err
	}
	if err := c.confirm(s, &p); err != nil || p.unchanged() {
		return err
	}
	err = s.submit(ctx, &p)
	if errors.Is(err, operators.ErrUnknownOutcome) {
		s.notef("to find out, repeat with --change-id %s --expect %d", p.changeID, p.expectedRevision)
	}
	return c.saveCurrent(s, err)
}

func (c *applyCommand) checkOptions() error {
	if c.SaveCurrent != "" && filepath.Clean(c.SaveCurrent) == filepath.Clean(c.Arguments.File) {
		return errors.Mark(errors.New("--save-current would overwrite the file to apply"), errUsage)
	}
	if c.ChangeID != "" && c.Expect == nil {
		return errors.Mark(errors.New("--change-id needs the --expect of the earlier attempt"), errUsage)
	}
	return nil
}

// setBase finds the tree from which the file was edited: the one given, or
// the one in force if that is the expected revision.
func (c *applyCommand) setBase(s *session, p *proposal, current operators.Document) error {
	if c.Expect != nil {
		p.expectedRevision = *c.Expect
	}
	if c.Base != "" {
		base, err := s.parseTreeFile(c.Base)
		p.base = base
		return err
	}
	if p.expectedRevision == current.Revision {
		p.base, _ = settings.Parse(current.Tree)
	}
	return nil
}

// confirm shows the difference and asks.
func (c *applyCommand) confirm(s *session, p *proposal) error {
	if p.unchanged() {
		return s.printApplied(operators.Applied{Revision: p.expectedRevision}, nil)
	}
	if p.base == nil {
		s.notef("revision %d is not in force any more or cannot be read here; the difference is not known", p.expectedRevision)
	}
	for _, change := range p.changes() {
		s.notef("%s", change)
	}
	if c.Yes {
		return nil
	}
	if c.Arguments.File == "-" {
		return errors.Mark(errors.New("with the tree from the input, --yes is required"), errUsage)
	}
	_, _ = fmt.Fprintf(s.ErrorOutput, "apply on revision %d? [y/N] ", p.expectedRevision)
	answer, _ := bufio.NewReader(s.Input).ReadString('\n')
	switch strings.ToLower(strings.TrimSpace(answer)) {
	case "y", "yes":
		return nil
	}
	return errNotConfirmed
}

// saveCurrent writes the tree that won a race.
func (c *applyCommand) saveCurrent(s *session, err error) error {
	var conflict *operators.ConflictError
	if c.SaveCurrent == "" || !errors.As(err, &conflict) {
		return err
	}
	text, formatErr := settings.Format(conflict.Current().Tree)
	if formatErr != nil {
		text = conflict.Current().Tree
	}
	if saveErr := os.WriteFile(c.SaveCurrent, text, 0o600); saveErr != nil {
		return errors.Wrapf(err, "%v", saveErr)
	}
	s.notef("the tree in force was written to %s; to go on from it: --expect %d", c.SaveCurrent, conflict.Current().Revision)
	return err
}

func (s *session) parseTreeFile(name string) (*settings.Tree, error) {
	text, err := s.readTreeFile(name)
	if err != nil {
		return nil, err
	}
	return settings.Parse(text)
}
