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

// changeOptions are the options of commands that change the settings.
type changeOptions struct {
	Author string `long:"author" description:"who makes the change (default: the user of the shell)"`
}

func (o changeOptions) author(s *session) string {
	if o.Author != "" {
		return o.Author
	}
	return s.Environment.DefaultAuthor
}

// Attempts to resolve an unknown outcome. A daemon whose platform is down takes
// 10 s for each, so more of them would keep the operator waiting for minutes;
// a longer outage is left to the operator.
const (
	resolveAttempts = 3
	resolveInterval = 500 * time.Millisecond
)

// proposal is a tree to put in force.
type proposal struct {
	tree             *settings.Tree
	base             *settings.Tree // nil if it is not known
	expectedRevision uint64
	changeID         string
	author           string
	resubmitted      bool // an earlier attempt with the change id may have been applied
}

// changes lists what the proposal changes; it is empty for an unknown base.
func (p *proposal) changes() []settings.Change {
	if p.base == nil {
		return nil
	}
	return settings.Diff(p.base, p.tree)
}

func (p *proposal) unchanged() bool { return p.base != nil && len(p.changes()) == 0 }

// submit applies the proposal, prints the result and returns the error that
// decides the exit code.
func (s *session) submit(ctx context.Context, p *proposal) error {
	applied, err := s.applyUntilResolved(ctx, p)
	if err != nil {
		return s.explainFailure(p, err)
	}
	return s.printApplied(applied, p.changes())
}

// explainFailure explains a change that was not applied, or may not have been.
func (s *session) explainFailure(p *proposal, err error) error {
	var conflict *operators.ConflictError
	switch {
	case errors.As(err, &conflict):
		if printed := s.printConflict(p, conflict.Current()); printed != nil {
			return printed
		}
	case errors.Is(err, operators.ErrUnknownOutcome):
		if printed := s.printUnknown(p); printed != nil {
			return printed
		}
	case len(settings.Problems(err)) > 0:
		return s.printProblems(err)
	}
	return err
}

// applyUntilResolved sends the change until its outcome is known. Sending it again is
// safe: the change id and the expected revision let it take effect at most
// once.
func (s *session) applyUntilResolved(ctx context.Context, p *proposal) (operators.Applied, error) {
	applied, err := s.send(ctx, p)
	var conflict *operators.ConflictError
	if p.resubmitted && errors.As(err, &conflict) {
		return applied, supersededError(conflict.Current())
	}
	for attempt := range resolveAttempts {
		if !errors.Is(err, operators.ErrUnknownOutcome) {
			return applied, err
		}
		s.notef("the outcome is not known yet, asking again (%d of %d)", attempt+1, resolveAttempts)
		if paused := s.Sleep(ctx, resolveInterval); paused != nil {
			return applied, err
		}
		applied, err = s.resolveUnknown(ctx, p, err)
	}
	return applied, err
}

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

// awaitWinner waits for the document that won a race. The daemon learns of the
// race from the platform and may not have that document in force yet.
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

// resolveUnknown decides a lost reply by the change id in force; it sends the
// change again only while the expected revision is still in force. A later
// revision by somebody else leaves the outcome unknown, since the change may
// have been in force before.
func (s *session) resolveUnknown(ctx context.Context, p *proposal, before error) (operators.Applied, error) {
	var none operators.Applied
	current, err := s.client.Settings(ctx)
	switch {
	case err != nil:
		return none, before
	case current.ChangeID == p.changeID:
		return appliedFrom(current), nil
	case current.Revision > p.expectedRevision:
		return none, supersededError(current)
	case current.Revision < p.expectedRevision: // that daemon lags
		return none, before
	}
	applied, err := s.send(ctx, p)
	var conflict *operators.ConflictError
	switch {
	case errors.As(err, &conflict):
		return none, supersededError(conflict.Current())
	case errors.Is(err, operators.ErrUnreachable):
		return none, before
	}
	return applied, err
}

func supersededError(current operators.Document) error {
	return errors.Wrapf(operators.ErrUnknownOutcome, "revision %d by %s is in force; the change came before it or was refused",
		current.Revision, current.Author)
}

func appliedFrom(d operators.Document) operators.Applied {
	return operators.Applied{Revision: d.Revision, ChangeID: d.ChangeID}
}

// unknownOutput is the JSON form of an unknown outcome.
type unknownOutput struct {
	Outcome  string `json:"outcome"`
	Expected uint64 `json:"expected"`
	ChangeID string `json:"changeId"`
}

// printUnknown tells what is needed to resolve the outcome later.
func (s *session) printUnknown(p *proposal) error {
	return s.print(unknownOutput{"unknown", p.expectedRevision, p.changeID}, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "the change %s on revision %d may or may not be in force; show names the change that is\n", p.changeID, p.expectedRevision)
	})
}

// changeOutput is the JSON form of one difference; null stands for not set.
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

// appliedOutput is the JSON form of an accepted change.
type appliedOutput struct {
	Outcome  string         `json:"outcome"`
	Revision uint64         `json:"revision"`
	ChangeID string         `json:"changeId"`
	Changes  []changeOutput `json:"changes"`
}

// printApplied reports an accepted change, or with no change id that there
// was nothing to change.
func (s *session) printApplied(applied operators.Applied, changes []settings.Change) error {
	reply := appliedOutput{"applied", applied.Revision, applied.ChangeID, changeOutputs(changes)}
	if applied.ChangeID == "" {
		reply.Outcome = "unchanged"
	}
	return s.print(reply, func(w io.Writer) {
		if applied.ChangeID == "" {
			_, _ = fmt.Fprintf(w, "nothing to change in revision %d\n", applied.Revision)
			return
		}
		_, _ = fmt.Fprintf(w, "applied as revision %d\n", applied.Revision)
	})
}
