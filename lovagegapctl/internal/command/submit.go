package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagegap/lovagegap/core/settings"
	"github.com/lovagegap/lovagegap/lovagegapctl/internal/operators"
)

// changeOptions are the options of all commands that change the settings.
type changeOptions struct {
	Author string `long:"author" description:"author recorded with the change (default: the user of the shell)"`
}

func (o changeOptions) author(s *session) string {
	if o.Author != "" {
		return o.Author
	}
	return s.Environment.DefaultAuthor
}

// Limits of the attempts to resolve an unknown outcome. A daemon that cannot reach the
// platform takes 10 s for each, so a higher number would block the command for minutes
// during an outage; the operator then repeats it with the same change id.
const (
	resolveAttempts = 3
	resolveInterval = 500 * time.Millisecond
)

// proposal is a tree to apply and the revision on which it is based.
type proposal struct {
	tree             *settings.Tree
	base             *settings.Tree // tree of expectedRevision; nil if not known
	expectedRevision uint64
	changeID         string
	author           string
	resubmitted      bool // an earlier attempt with the change id may have been applied
}

// changes returns the differences from the base, or none if the base is not known.
func (p *proposal) changes() []settings.Change {
	if p.base == nil {
		return nil
	}
	return settings.Diff(p.base, p.tree)
}

// unchanged reports whether the base is known and equal to the tree.
func (p *proposal) unchanged() bool { return p.base != nil && len(p.changes()) == 0 }

// submit applies the proposal and prints the result, also of a conflict and of an
// unknown outcome. The error that it returns determines the exit code.
func (s *session) submit(ctx context.Context, p *proposal) error {
	applied, err := s.applyUntilResolved(ctx, p)
	if err != nil {
		return s.explainFailure(p, err)
	}
	return s.printApplied(applied, p.changes())
}

// explainFailure prints the details of a change that was not applied, or may not have
// been, and returns the error that determines the exit code.
func (s *session) explainFailure(p *proposal, err error) error {
	var conflict *operators.ConflictError
	switch {
	case errors.As(err, &conflict):
		if printErr := s.printConflict(p, conflict.Current()); printErr != nil {
			return printErr
		}
	case errors.Is(err, operators.ErrUnknownOutcome):
		if printErr := s.printUnknown(p); printErr != nil {
			return printErr
		}
	case len(settings.Problems(err)) > 0:
		return s.printProblems(err)
	}
	return err
}

// applyUntilResolved sends the change until its outcome is known, or resolveAttempts
// have failed. Sending it again is safe: because of the change id and the expected
// revision it is applied at most once.
func (s *session) applyUntilResolved(ctx context.Context, p *proposal) (operators.Applied, error) {
	applied, err := s.send(ctx, p)
	var conflict *operators.ConflictError
	if p.resubmitted && errors.As(err, &conflict) {
		return applied, supersededError(conflict.Current())
	}
	for i := range resolveAttempts {
		if !errors.Is(err, operators.ErrUnknownOutcome) {
			return applied, err
		}
		s.notef("outcome of the change not known yet; checking again (%d of %d)", i+1, resolveAttempts)
		if sleepErr := s.Sleep(ctx, resolveInterval); sleepErr != nil {
			return applied, err
		}
		applied, err = s.resolveUnknown(ctx, p, err)
	}
	return applied, err
}

// send sends the change once. A conflict with the change itself, which a daemon reports
// if the change was stored by an earlier attempt, counts as applied.
func (s *session) send(ctx context.Context, p *proposal) (operators.Applied, error) {
	applied, err := s.client.Apply(ctx, operators.Change{
		ExpectedRevision: p.expectedRevision, ChangeID: p.changeID, Author: p.author, Tree: p.tree.Text(),
	})
	var conflict *operators.ConflictError
	if !errors.As(err, &conflict) {
		return applied, err
	}
	winner := s.awaitWinner(ctx, p, conflict.Current())
	if winner.ChangeID == p.changeID {
		return appliedFrom(winner), nil
	}
	return applied, operators.NewConflictError(winner)
}

// awaitWinner returns the document that caused a conflict. The daemon learns of the
// conflict from the platform, possibly before it has that document in force, so the
// settings are read again, at most resolveAttempts times, until their revision is past
// the expected one.
func (s *session) awaitWinner(ctx context.Context, p *proposal, current operators.Document) operators.Document {
	for range resolveAttempts {
		if current.Revision > p.expectedRevision || s.Sleep(ctx, resolveInterval) != nil {
			break
		}
		if next, err := s.client.Settings(ctx); err == nil {
			current = next
		}
	}
	return current
}

// resolveUnknown determines the outcome of a change by the change id in force. It sends
// the change again only while the expected revision is in force. A later revision with
// another change id leaves the outcome unknown, since the change may have been in force
// before it.
func (s *session) resolveUnknown(ctx context.Context, p *proposal, lastErr error) (operators.Applied, error) {
	var zero operators.Applied
	current, err := s.client.Settings(ctx)
	switch {
	case err != nil:
		return zero, lastErr
	case current.ChangeID == p.changeID:
		return appliedFrom(current), nil
	case current.Revision > p.expectedRevision:
		return zero, supersededError(current)
	case current.Revision < p.expectedRevision: // the daemon lags behind
		return zero, lastErr
	}
	applied, err := s.send(ctx, p)
	var conflict *operators.ConflictError
	switch {
	case errors.As(err, &conflict):
		return zero, supersededError(conflict.Current())
	case errors.Is(err, operators.ErrUnreachable):
		return zero, lastErr
	}
	return applied, err
}

// supersededError returns the error for a change that may have been in force before
// current, a later revision with another change id.
func supersededError(current operators.Document) error {
	return errors.Wrapf(operators.ErrUnknownOutcome, "revision %d by %s is in force; the change was superseded by it or refused",
		current.Revision, current.Author)
}

func appliedFrom(d operators.Document) operators.Applied {
	return operators.Applied{Revision: d.Revision, ChangeID: d.ChangeID}
}

// unknownOutput is the JSON output of a change with unknown outcome.
type unknownOutput struct {
	Outcome  string `json:"outcome"`
	Expected uint64 `json:"expected"`
	ChangeID string `json:"changeId"`
}

// printUnknown prints the change id and the expected revision, with which the outcome
// can be resolved later.
func (s *session) printUnknown(p *proposal) error {
	return s.print(unknownOutput{"unknown", p.expectedRevision, p.changeID}, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "the change %s on revision %d may or may not be in force; the show command names the change in force\n",
			p.changeID, p.expectedRevision)
	})
}

// changeOutput is the JSON output of one difference; null means that the value is not
// set.
type changeOutput struct {
	Path string          `json:"path"`
	Old  json.RawMessage `json:"old"`
	New  json.RawMessage `json:"new"`
}

func changeOutputs(changes []settings.Change) []changeOutput {
	list := []changeOutput{}
	for _, c := range changes {
		list = append(list, changeOutput{Path: c.Path(), Old: orNull(c.Old()), New: orNull(c.New())})
	}
	return list
}

func orNull(text string) json.RawMessage {
	if text == "" {
		return json.RawMessage("null")
	}
	return json.RawMessage(text)
}

// appliedOutput is the JSON output of a change that was applied or changes nothing.
type appliedOutput struct {
	Outcome  string         `json:"outcome"`
	Revision uint64         `json:"revision"`
	ChangeID string         `json:"changeId"`
	Changes  []changeOutput `json:"changes"`
}

// printApplied prints the result of a change that was applied or, if applied has no
// change id, that there was nothing to change.
func (s *session) printApplied(applied operators.Applied, changes []settings.Change) error {
	output := appliedOutput{"applied", applied.Revision, applied.ChangeID, changeOutputs(changes)}
	if applied.ChangeID == "" {
		output.Outcome = "unchanged"
	}
	return s.print(output, func(w io.Writer) {
		if applied.ChangeID == "" {
			_, _ = fmt.Fprintf(w, "nothing to change in revision %d\n", applied.Revision)
			return
		}
		_, _ = fmt.Fprintf(w, "applied as revision %d\n", applied.Revision)
	})
}
