package command

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/lovagegap/lovagegap/core/settings"
	"github.com/lovagegap/lovagegap/lovagegapctl/internal/operators"
)

// editAttempts limits the attempts to edit one value, each on the tree that is in force
// after the previous one met a conflict.
const editAttempts = 5

// edit changes one value of the tree in force with the function change. After a
// conflict with a change elsewhere in the tree, it repeats the edit on the new tree; a
// conflict with a change of the same value is an error.
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
		result, retry := s.tryEdit(ctx, p)
		if !retry {
			return s.finishEdit(p, result)
		}
		current = result.winner
	}
	return errors.Wrapf(operators.ErrConflict, "%d conflicts in a row", editAttempts)
}

// editResult is the result of applying an edit once.
type editResult struct {
	applied operators.Applied
	winner  operators.Document // document in force after a conflict
	err     error
}

// tryEdit applies an edit once and reports whether to repeat it because it met a
// conflict with an unrelated change. The repetition is a new change with another id.
func (s *session) tryEdit(ctx context.Context, p *proposal) (editResult, bool) {
	applied, err := s.applyUntilResolved(ctx, p)
	var conflict *operators.ConflictError
	if !errors.As(err, &conflict) {
		return editResult{applied: applied, err: err}, false
	}
	diff := newConflictDiff(p, conflict.Current())
	return editResult{winner: conflict.Current(), err: err}, diff.baseKnown && len(diff.overlapping) == 0
}

// finishEdit prints the result of the last attempt of an edit.
func (s *session) finishEdit(p *proposal, r editResult) error {
	if r.err != nil {
		return s.explainFailure(p, r.err)
	}
	for _, change := range p.changes() {
		s.notef("%s", change)
	}
	return s.printApplied(r.applied, p.changes())
}

// prepareEdit returns the proposal of an edit of the current document.
func (s *session) prepareEdit(
	o changeOptions, current operators.Document, change func([]byte) ([]byte, error),
) (*proposal, error) {
	base, err := settings.Parse(current.Tree)
	if err != nil {
		return nil, errors.Newf("the tree in force is not valid for this version of lovagegapctl: %v", err)
	}
	text, err := change(current.Tree)
	if err != nil {
		return nil, s.printProblems(err)
	}
	tree, err := settings.Parse(text)
	if err != nil {
		return nil, err
	}
	return &proposal{
		tree: tree, base: base, expectedRevision: current.Revision, changeID: s.NewChangeID(), author: o.author(s),
	}, nil
}
