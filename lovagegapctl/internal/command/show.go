package command

import (
	"context"
	"fmt"
	"io"

	"github.com/lovagegap/lovagegap/core/settings"
)

// showCommand prints the tree in force, in a form that the apply command reads.
type showCommand struct{}

func (*showCommand) run(ctx context.Context, s *session) error {
	document, err := s.client.Settings(ctx)
	if err != nil {
		return err
	}
	text, err := settings.Format(document.Tree)
	if err != nil {
		s.notef("the tree in force is not valid for this version of lovagegapctl: %v", err)
		text = append([]byte(document.Tree), '\n')
	}
	if !s.JSON {
		s.notef("revision %d by %s, change %s", document.Revision, document.Author, document.ChangeID)
	}
	return s.print(document, func(w io.Writer) { _, _ = fmt.Fprint(w, replaceControlCharacters(string(text))) })
}
