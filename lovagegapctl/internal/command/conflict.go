package command

import (
	"fmt"
	"io"
	"strings"

	"github.com/lovagegap/lovagegap/core/settings"
	"github.com/lovagegap/lovagegap/lovagegapctl/internal/operators"
)

// conflictOutput is the JSON form of a lost race.
type conflictOutput struct {
	Outcome  string             `json:"outcome"`
	Expected uint64             `json:"expected"`
	Current  operators.Document `json:"current"`
	Mine     []changeOutput     `json:"mine"`
	Theirs   []changeOutput     `json:"theirs"`
	Both     []string           `json:"both"`
}

// conflictDiff holds the changes of both sides of a race. Without a common base,
// mine is the difference from the tree in force and theirs is empty.
type conflictDiff struct {
	mine, theirs []settings.Change
	overlapping  []string
	baseKnown    bool
}

func newConflictDiff(p *proposal, current operators.Document) conflictDiff {
	winner, err := settings.Parse(current.Tree)
	if err != nil {
		return conflictDiff{mine: p.changes()}
	}
	if p.base == nil {
		return conflictDiff{mine: settings.Diff(winner, p.tree)}
	}
	both := conflictDiff{mine: p.changes(), theirs: settings.Diff(p.base, winner), baseKnown: true}
	for _, m := range both.mine {
		for _, t := range both.theirs {
			if overlaps(m.Path(), t.Path()) {
				both.overlapping = append(both.overlapping, m.Path())
				break
			}
		}
	}
	return both
}

// overlaps reports whether one path is the other or lies within it.
func overlaps(a, b string) bool {
	return a == b || strings.HasPrefix(a, b+".") || strings.HasPrefix(b, a+".")
}

// printConflict shows what both sides changed.
func (s *session) printConflict(p *proposal, current operators.Document) error {
	c := newConflictDiff(p, current)
	reply := conflictOutput{
		Outcome: "conflict", Expected: p.expectedRevision, Current: current,
		Mine: changeOutputs(c.mine), Theirs: changeOutputs(c.theirs), Both: append([]string{}, c.overlapping...),
	}
	return s.print(reply, func(w io.Writer) { c.write(w, p.expectedRevision, current) })
}

func (c conflictDiff) write(w io.Writer, expect uint64, current operators.Document) {
	line := func(format string, arguments ...any) {
		_, _ = fmt.Fprintln(w, replaceControlCharacters(fmt.Sprintf(format, arguments...)))
	}
	line("revision %d by %s is in force, not %d; nothing was applied", current.Revision, current.Author, expect)
	if !c.baseKnown {
		line("the tree of revision %d is not known; yours against the tree in force:", expect)
		writeChanges(line, c.mine)
		return
	}
	line("yours, against revision %d:", expect)
	writeChanges(line, c.mine)
	line("in force, against revision %d:", expect)
	writeChanges(line, c.theirs)
	if len(c.overlapping) > 0 {
		line("changed on both sides: %s", strings.Join(c.overlapping, ", "))
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
