package command

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/lovagegap/lovagegap/core/settings"
	"github.com/lovagegap/lovagegap/lovagegapctl/internal/operators"
)

// editAttempts bounds the races that an edit of one value may lose in a row.
const editAttempts = 5

// edit changes one value of the tree in force. A race lost to a change
// elsewhere in the tree is repeated on the new tree; one lost to a change of
// the same value is reported.
func (s *session) edit(ctx context.Context, o changeOptions, change func(text []byte) ([]byte, error)) error {
	current, err := s.client.Settings(ctx)
	if err != nil {
		return err
	}
	for range editAttempts {
		p, err := s.prepareEdit(o, current, change)
		if err != nil {
			return err
		}
		if p.unchanged() {
			return s.printApplied(operators.Applied{Revision: current.Revision}, nil)
		}
		next, again := s.tryEdit(ctx, p)
		if !again {
			return s.finishEdit(p, next)
		}
		current = next.winner
	}
	return errors.Wrapf(operators.ErrConflict, "%d races lost in a row", editAttempts)
}

// editResult is the result of one try.
type editResult struct {
	applied operators.Applied
	winner  operators.Document
	err     error
}

// tryEdit reports whether the race was lost to an unrelated change. The next
// try is a change of its own, with another change id.
func (s *session) tryEdit(ctx context.Context, p *proposal) (editResult, bool) {
	applied, err := s.applyUntilResolved(ctx, p)
	var conflict *operators.ConflictError
	if !errors.As(err, &conflict) {
		return editResult{applied: applied, err: err}, false
	}
	c := newConflictDiff(p, conflict.Current())
	return editResult{winner: conflict.Current(), err: err}, c.baseKnown && len(c.overlapping) == 0
}

func (s *session) finishEdit(p *proposal, a editResult) error {
	if a.err != nil {
		return s.explainFailure(p, a.err)
	}
	for _, change := range p.changes() {
		s.notef("%s", change)
	}
	return s.printApplied(a.applied, p.changes())
}

func (s *session) prepareEdit(o changeOptions, current operators.Document, change func([]byte) ([]byte, error)) (*proposal, error) {
	base, err := settings.Parse(current.Tree)
	if err != nil {
		return nil, errors.Newf("the tree in force is not valid for this version of lovagegapctl: %v", err)
	}
	text, err := change(current.Tree)
	if err != nil {
		return nil, s.printProblems(err)
	}
	mine, err := settings.Parse(text)
	if err != nil {
		return nil, err
	}
	return &proposal{tree: mine, base: base, expectedRevision: current.Revision, changeID: s.NewChangeID(), author: o.author(s)}, nil
}
