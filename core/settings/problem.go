package settings

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
)

// Errors of Parse and of the edits.
var (
	// ErrMalformed: the text is not a JSON document.
	ErrMalformed = errors.New("settings: malformed JSON")
	// ErrInvalid: the text is JSON but not a valid settings tree.
	ErrInvalid = errors.New("settings: invalid")
	// ErrNoSuchPath: the tree has no level of that path.
	ErrNoSuchPath = errors.New("settings: no such path")
)

// maxProblems bounds the list of problems, since a tree of the largest size
// can hold about a hundred thousand of them.
const maxProblems = 1000

// Problem is one mistake in a settings tree.
type Problem struct {
	path    string
	text    string
	allowed string
}

// NewProblem returns a problem at a path.
func NewProblem(path, text, allowed string) Problem {
	return Problem{path: path, text: text, allowed: allowed}
}

// Path returns where the mistake is, for example
// "users.association.settings.deadline". It is empty for the whole tree.
func (p Problem) Path() string { return p.path }

// Text says what is wrong.
func (p Problem) Text() string { return p.text }

// Allowed says what would be right.
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

// Error carries every problem of a tree. It is ErrMalformed or ErrInvalid.
type Error struct {
	sentinel error
	problems []Problem
}

// NewError returns an invalid-settings error with the problems, such as a
// daemon reported.
func NewError(problems []Problem) *Error {
	return &Error{sentinel: ErrInvalid, problems: problems}
}

// Problems returns the mistakes: keys given more than once, then the others in
// the order of the text.
func (e *Error) Problems() []Problem { return e.problems }

// Error lists the problems, one a line.
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

// Problems returns the problems that err carries, if any.
func Problems(err error) []Problem {
	var e *Error
	if errors.As(err, &e) {
		return e.problems
	}
	return nil
}

// TrimSentinel returns the message of err without the text of the sentinel that it
// wraps, for places that name the sentinel in another way.
func TrimSentinel(err, sentinel error) string {
	return strings.TrimSuffix(err.Error(), ": "+sentinel.Error())
}

// problemList collects problems up to the bound and counts the rest.
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
