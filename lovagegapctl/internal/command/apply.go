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

// errNotConfirmed means that the operator declined the change.
var errNotConfirmed = errors.New("not confirmed, nothing was changed")

// applyCommand applies a whole settings tree.
type applyCommand struct {
	changeOptions
	Yes         bool    `long:"yes" short:"y" description:"do not ask for confirmation"`
	Expect      *uint64 `long:"expect" description:"revision from which the file was edited (default: the one in force)"`
	Base        string  `long:"base" description:"tree from which the file was edited; on a conflict, the changes of both sides are shown against it"`
	ChangeID    string  `long:"change-id" description:"change id of an earlier run with unknown outcome; requires its --expect; applied at most once"`
	SaveCurrent string  `long:"save-current" description:"on a conflict, write the tree in force to this file"`
	Arguments   struct {
		File string `positional-arg-name:"FILE" description:"settings tree (JSON); - for standard input" required:"true"`
	} `positional-args:"true"`
}

func (c *applyCommand) run(ctx context.Context, s *session) error {
	if err := c.checkOptions(); err != nil {
		return err
	}
	tree, err := s.parseTreeFile(c.Arguments.File)
	if err != nil {
		return s.printProblems(err)
	}
	current, err := s.client.Settings(ctx)
	if err != nil {
		return err
	}
	p := proposal{
		tree: tree, expectedRevision: current.Revision, changeID: c.ChangeID, author: c.author(s),
		resubmitted: c.ChangeID != "",
	}
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
		s.notef("to resolve the outcome, repeat the command with --change-id %s --expect %d", p.changeID, p.expectedRevision)
	}
	return c.saveCurrent(s, err)
}

// checkOptions rejects combinations of options that would lose a file or apply a change
// twice.
func (c *applyCommand) checkOptions() error {
	if c.SaveCurrent != "" && filepath.Clean(c.SaveCurrent) == filepath.Clean(c.Arguments.File) {
		return errors.Mark(errors.New("--save-current would overwrite the file to apply"), errUsage)
	}
	if c.ChangeID != "" && c.Expect == nil {
		return errors.Mark(errors.New("--change-id requires the --expect of the earlier run"), errUsage)
	}
	return nil
}

// setBase sets the expected revision and the tree from which the file was edited: the
// one of --base, or the one in force if its revision is the expected one. Otherwise the
// base stays unknown.
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

// confirm prints the changes and, unless --yes is given, asks for confirmation. If the
// tree is unchanged it prints that as the result.
func (c *applyCommand) confirm(s *session, p *proposal) error {
	if p.unchanged() {
		return s.printApplied(operators.Applied{Revision: p.expectedRevision}, nil)
	}
	if p.base == nil {
		s.notef("the tree of revision %d is not in force or not valid for this version of lovagegapctl; cannot show the changes",
			p.expectedRevision)
	}
	for _, change := range p.changes() {
		s.notef("%s", change)
	}
	if c.Yes {
		return nil
	}
	if c.Arguments.File == "-" {
		return errors.Mark(errors.New("--yes is required when the tree is read from standard input"), errUsage)
	}
	_, _ = fmt.Fprintf(s.ErrorOutput, "apply on revision %d? [y/N] ", p.expectedRevision)
	answer, _ := bufio.NewReader(s.Input).ReadString('\n')
	switch strings.ToLower(strings.TrimSpace(answer)) {
	case "y", "yes":
		return nil
	}
	return errNotConfirmed
}

// saveCurrent writes the tree in force to the file of --save-current if err is a
// conflict. It returns err, with a failed write added to it.
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
	s.notef("tree in force written to %s; to apply changes based on it, use --expect %d",
		c.SaveCurrent, conflict.Current().Revision)
	return err
}

// parseTreeFile reads and parses a settings file. It returns a settings error if the tree
// is invalid.
func (s *session) parseTreeFile(name string) (*settings.Tree, error) {
	text, err := s.readTreeFile(name)
	if err != nil {
		return nil, err
	}
	return settings.Parse(text)
}
