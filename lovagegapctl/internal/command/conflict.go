package command

import (
	"fmt"
	"io"
	"strings"

	"github.com/lovagegap/lovagegap/core/settings"
	"github.com/lovagegap/lovagegap/lovagegapctl/internal/operators"
)

// conflictOutput is the JSON output of a conflict.
type conflictOutput struct {
	Outcome  string             `json:"outcome"`
	Expected uint64             `json:"expected"`
	Current  operators.Document `json:"current"`
	Mine     []changeOutput     `json:"mine"`
	Theirs   []changeOutput     `json:"theirs"`
	Both     []string           `json:"both"`
}

// conflictDiff holds the changes of both sides of a conflict, relative to the base of
// the proposal. If the base is not known, mine is the difference from the tree in force
// and theirs is empty.
type conflictDiff struct {
	mine, theirs []settings.Change
	overlapping  []string // paths that both sides changed, as in mine
	baseKnown    bool
}

// newConflictDiff compares a refused proposal with the document in force. If the tree
// in force is not valid for this version, it returns only the own changes.
func newConflictDiff(p *proposal, current operators.Document) conflictDiff {
	winner, err := settings.Parse(current.Tree)
	if err != nil {
		return conflictDiff{mine: p.changes()}
	}
	if p.base == nil {
		return conflictDiff{mine: settings.Diff(winner, p.tree)}
	}
	diff := conflictDiff{mine: p.changes(), theirs: settings.Diff(p.base, winner), baseKnown: true}
	for _, own := range diff.mine {
		for _, other := range diff.theirs {
			if overlaps(own.Path(), other.Path()) {
				diff.overlapping = append(diff.overlapping, own.Path())
				break
			}
		}
	}
	return diff
}

// overlaps reports whether the paths are equal or one is an ancestor of the other.
func overlaps(a, b string) bool {
	return a == b || strings.HasPrefix(a, b+".") || strings.HasPrefix(b, a+".")
}

// printConflict prints the changes of both sides.
func (s *session) printConflict(p *proposal, current operators.Document) error {
	diff := newConflictDiff(p, current)
	output := conflictOutput{
		Outcome: "conflict", Expected: p.expectedRevision, Current: current,
		Mine: changeOutputs(diff.mine), Theirs: changeOutputs(diff.theirs), Both: append([]string{}, diff.overlapping...),
	}
	return s.print(output, func(w io.Writer) { diff.write(w, p.expectedRevision, current) })
}

// write prints the changes of both sides as text.
func (d conflictDiff) write(w io.Writer, expectedRevision uint64, current operators.Document) {
	line := func(format string, arguments ...any) {
		_, _ = fmt.Fprintln(w, replaceControlCharacters(fmt.Sprintf(format, arguments...)))
	}
	line("revision %d by %s is in force, not %d; nothing was applied", current.Revision, current.Author, expectedRevision)
	if !d.baseKnown {
		line("the tree of revision %d is not known; yours against the tree in force:", expectedRevision)
		writeChanges(line, d.mine)
		return
	}
	line("yours, against revision %d:", expectedRevision)
	writeChanges(line, d.mine)
	line("in force, against revision %d:", expectedRevision)
	writeChanges(line, d.theirs)
	if len(d.overlapping) > 0 {
		line("changed on both sides: %s", strings.Join(d.overlapping, ", "))
	}
}

func writeChanges(line func(string, ...any), changes []settings.Change) {
	for _, change := range changes {
		line("  %s", change)
	}
	if len(changes) == 0 {
		line("  no difference")
	}
}
