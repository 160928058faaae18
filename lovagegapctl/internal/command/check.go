package command

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/lovagegap/lovagegap/core/settings"
)

// checkCommand prints every problem of a settings file.
type checkCommand struct {
	Offline   bool `long:"offline" description:"check locally, without a daemon"`
	Arguments struct {
		File string `positional-arg-name:"FILE" description:"settings tree (JSON); - for standard input" required:"true"`
	} `positional-args:"true"`
}

// checkOutput is the JSON output of a check.
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

// printProblems prints the problems of a settings error, or "ok" if err is nil. It
// returns an error with their number in place of a settings error; other errors are
// returned unchanged, without output.
func (s *session) printProblems(err error) error {
	problems := settings.Problems(err)
	if err != nil && len(problems) == 0 {
		return err
	}
	output := checkOutput{OK: err == nil, Problems: problems}
	printErr := s.print(output, func(w io.Writer) {
		for _, p := range problems {
			_, _ = fmt.Fprintln(w, replaceControlCharacters(p.String()))
		}
		if len(problems) == 0 {
			_, _ = fmt.Fprintln(w, "ok")
		}
	})
	if printErr != nil || err == nil {
		return printErr
	}
	return errors.Mark(errors.Newf("problems in the settings: %d", len(problems)), settings.ErrInvalid)
}

// readTreeFile reads a settings file, or the input for "-", up to one byte more than the
// limit, which suffices to detect a file that is too large.
func (s *session) readTreeFile(name string) ([]byte, error) {
	var source = s.Input
	if name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return nil, errors.Mark(err, errUsage)
		}
		defer func() { _ = f.Close() }()
		source = f
	}
	return io.ReadAll(io.LimitReader(source, settings.MaxTreeBytes+1))
}
