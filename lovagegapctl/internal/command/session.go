package command

import (
	"bytes"
	"cmp"
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"
	"unicode"

	"github.com/lovagegap/lovagegap/lovagegapctl/internal/operators"
)

// Environment provides the streams, the clock and the defaults that commands use.
type Environment struct {
	Input         io.Reader
	Output        io.Writer
	ErrorOutput   io.Writer
	DefaultAuthor string
	NewChangeID   func() string
	Sleep         func(context.Context, time.Duration) error
}

// SystemEnvironment returns the environment of the process, with the user of the
// shell as the default author and random change ids.
func SystemEnvironment() Environment {
	return Environment{
		Input:         os.Stdin,
		Output:        os.Stdout,
		ErrorOutput:   os.Stderr,
		DefaultAuthor: cmp.Or(os.Getenv("USER"), "unknown"),
		NewChangeID:   rand.Text,
		Sleep:         sleep,
	}
}

// sleep waits for d, or returns the error of ctx if it ends first.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// session is the context of one command execution.
type session struct {
	Environment
	globalOptions
	client *operators.Client
}

// print writes a result to the output: v as JSON with --json, otherwise the text that
// writeText writes, with tab-separated cells aligned.
func (s *session) print(v any, writeText func(w io.Writer)) error {
	var out bytes.Buffer
	if s.JSON {
		encoder := json.NewEncoder(&out)
		encoder.SetEscapeHTML(false)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(v); err != nil {
			return err
		}
	} else {
		w := tabwriter.NewWriter(&out, 0, 8, 2, ' ', 0)
		writeText(w)
		if err := w.Flush(); err != nil {
			return err
		}
	}
	_, err := s.Output.Write(out.Bytes())
	return err
}

// notef writes a formatted line to the error output.
func (s *session) notef(format string, arguments ...any) {
	_, _ = fmt.Fprintln(s.ErrorOutput, replaceControlCharacters(fmt.Sprintf(format, arguments...)))
}

// writeRow writes a table row; an empty cell is written as "-".
func writeRow(w io.Writer, cells ...any) {
	texts := make([]string, len(cells))
	for i, c := range cells {
		texts[i] = strings.ReplaceAll(replaceControlCharacters(fmt.Sprint(c)), "\n", " ")
		if texts[i] == "" {
			texts[i] = "-"
		}
	}
	_, _ = fmt.Fprintln(w, strings.Join(texts, "\t"))
}

// replaceControlCharacters replaces control characters other than line feeds by "?",
// so that texts from the network cannot send escape sequences to the terminal.
func replaceControlCharacters(text string) string {
	return strings.Map(func(r rune) rune {
		if unicode.IsControl(r) && r != '\n' {
			return '?'
		}
		return r
	}, text)
}

// formatScalar returns a JSON value as text, a string without its quotes.
func formatScalar(raw json.RawMessage) string {
	var text string
	if err := json.Unmarshal(raw, &text); err == nil {
		return text
	}
	return string(raw)
}
