package command

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/lovagegap/lovagegap/core/settings"
)

// checkCommand reports every mistake of a settings file.
type checkCommand struct {
	Offline   bool `long:"offline" description:"check here, without asking a daemon"`
	Arguments struct {
		File string `positional-arg-name:"FILE" description:"settings tree; - reads the input" required:"true"`
	} `positional-args:"true"`
}

// checkOutput is the JSON form of the result.
type checkOutput struct {
	OK       bool               `json:"ok"`
	Problems []settings.Problem `json:"problems,omitempty"`
}

func (c *checkCommand) run(ctx context.Context, s *session) error {
	text, err := s.readTreeFile(c.Arguments.File)
	if err != nil {
		return err
	}
	if c.Offline {
		_, err = settings.Parse(text)
	} else {
		err = s.client.Check(ctx, text)
	}
	return s.printProblems(err)
}

// printProblems writes the problems that err carries to the output, and
// returns a short error in its place.
func (s *session) printProblems(err error) error {
	problems := settings.Problems(err)
	if err != nil && len(problems) == 0 {
		return err
	}
	reply := checkOutput{OK: err == nil, Problems: problems}
	printed := s.print(reply, func(w io.Writer) {
		for _, p := range problems {
			_, _ = fmt.Fprintln(w, replaceControlCharacters(p.String()))
		}
		if len(problems) == 0 {
			_, _ = fmt.Fprintln(w, "ok")
		}
	})
	if printed != nil || err == nil {
		return printed
	}
	return errors.Mark(errors.Newf("problems in the settings: %d", len(problems)), settings.ErrInvalid)
}

// readTreeFile reads a settings file of bounded size.
func (s *session) readTreeFile(name string) ([]byte, error) {
	var from = s.Input
	if name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return nil, errors.Mark(err, errUsage)
		}
		defer func() { _ = f.Close() }()
		from = f
	}
	return io.ReadAll(io.LimitReader(from, settings.MaxTreeBytes+1))
}
