package settings

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
)

// Errors of parsing and editing a tree.
var (
	// ErrMalformed is returned for a text that is not a JSON document.
	ErrMalformed = errors.New("settings: malformed JSON")
	// ErrInvalid is returned for JSON that is not a valid settings tree.
	ErrInvalid = errors.New("settings: invalid")
	// ErrNoSuchPath is returned if the tree has no level with the path.
	ErrNoSuchPath = errors.New("settings: no such path")
)

// maxProblems is the maximum number of problems listed. A tree of the largest size
// can have about a hundred thousand of them.
const maxProblems = 1000

// Problem is one mistake in a settings tree.
type Problem struct {
	path    string
	text    string
	allowed string
}

// NewProblem returns a problem at a path: what is wrong, and what is allowed there.
func NewProblem(path, text, allowed string) Problem {
	return Problem{path: path, text: text, allowed: allowed}
}

// Path returns the path of the value, for example
// "users.association.settings.deadline". It is empty for the whole tree.
func (p Problem) Path() string { return p.path }

// Text returns what is wrong, for example "is out of range".
func (p Problem) Text() string { return p.text }

// Allowed returns a description of what is allowed at the path.
func (p Problem) Allowed() string { return p.allowed }

// String formats the problem in one line.
func (p Problem) String() string {
	text := p.text
	if p.path != "" {
		text = p.path + ": " + text
	}
	if p.allowed != "" {
		text += " (allowed: " + p.allowed + ")"
	}
	return text
}

// Error carries every problem of a tree. It wraps ErrMalformed or ErrInvalid.
type Error struct {
	sentinel error
	problems []Problem
}

// NewError returns an ErrInvalid with the problems, for example those that a daemon
// reported.
func NewError(problems []Problem) *Error {
	return &Error{sentinel: ErrInvalid, problems: problems}
}

// Problems returns the problems: first those of the JSON structure (duplicate keys,
// nesting), then those of keys and values in the order of the checks.
func (e *Error) Problems() []Problem { return e.problems }

// Error returns the message of the wrapped error and the problems, one per line.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.problems)+1)
	lines = append(lines, e.sentinel.Error())
	for _, p := range e.problems {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns ErrMalformed or ErrInvalid.
func (e *Error) Unwrap() error { return e.sentinel }

// Problems returns the problems of the Error that err wraps, or nil.
func Problems(err error) []Problem {
	var e *Error
	if errors.As(err, &e) {
		return e.problems
	}
	return nil
}

// TrimSentinel returns the message of err without that of the sentinel error which
// it wraps, for messages that state the sentinel's meaning in another way.
func TrimSentinel(err, sentinel error) string {
	return strings.TrimSuffix(err.Error(), ": "+sentinel.Error())
}

// problemList collects up to maxProblems problems and counts the others.
type problemList struct {
	problems []Problem
	unlisted int
}

func (l *problemList) full() bool { return len(l.problems) >= maxProblems }

func (l *problemList) add(path, text, allowed string) {
	if l.full() {
		l.unlisted++
		return
	}
	l.problems = append(l.problems, Problem{path: path, text: text, allowed: allowed})
}

func (l *problemList) err() error {
	if len(l.problems) == 0 {
		return nil
	}
	list := l.problems
	if l.unlisted > 0 {
		list = append(list, Problem{text: fmt.Sprintf("%d more problems are not listed", l.unlisted)})
	}
	return &Error{sentinel: ErrInvalid, problems: list}
}
