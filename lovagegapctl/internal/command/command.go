// Package command implements the commands of lovagegapctl.
//
// The table commands lists them; the options and the code of each are in a file of
// its own. A command writes its result to the output, as text or with --json as
// JSON, and notes and errors to the error output.
//
// # Usage
//
//	os.Exit(command.Run(ctx, os.Args[1:], command.SystemEnvironment()))
package command

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"github.com/lovagegap/lovagegap/core/settings"
	"github.com/lovagegap/lovagegap/lovagegapctl/internal/operators"
)

// Exit codes.
const (
	ExitOK             = 0
	ExitFailed         = 1
	ExitUsage          = 2
	ExitConflict       = 3 // the settings were changed concurrently
	ExitInvalid        = 4 // the settings are invalid
	ExitUnknownOutcome = 5 // the change may or may not have been applied
)

const exitHelp = `Exit codes: 0 ok, 1 failed, 2 usage, 3 conflict, 4 invalid settings, 5 outcome unknown.`

// runner is a command with its parsed options and arguments.
type runner interface {
	run(ctx context.Context, s *session) error
}

// commandEntry is a row of the table of commands.
type commandEntry struct {
	name, alias string
	help        string
	newRunner   func() runner // returns a pointer to a struct with go-flags tags
}

var commands = []commandEntry{
	{"show", "get", "show the settings tree in force", func() runner { return &showCommand{} }},
	{"effective", "eff", "show the values in force at a path, with their origins", func() runner { return &effectiveCommand{} }},
	{"keys", "k", "list the keys of the settings with their meaning", func() runner { return &keysCommand{} }},
	{"check", "c", "check a settings file", func() runner { return &checkCommand{} }},
	{"apply", "put", "apply a settings file", func() runner { return &applyCommand{} }},
	{"set", "s", "set one value", func() runner { return &setCommand{} }},
	{"unset", "rm", "remove one value, so that it is inherited", func() runner { return &unsetCommand{} }},
	{"rollout", "ro", "show which daemons have the settings in force", func() runner { return &rolloutCommand{} }},
	{"out", "o", "take a data centre out of service: its upstreams get no new requests", func() runner { return &outCommand{} }},
	{"in", "i", "bring a data centre back into service", func() runner { return &inCommand{} }},
	{"fleet", "f", "list the daemons", func() runner { return &fleetCommand{} }},
	{"upstreams", "u", "list the upstreams as a daemon sees them", func() runner { return &upstreamsCommand{} }},
	{"events", "e", "list the events of a daemon", func() runner { return &eventsCommand{} }},
	{"metrics", "m", "show the metrics of a daemon", func() runner { return &metricsCommand{} }},
	{"trace", "t", "merge log files of daemons by time, show one request, or count those not served", func() runner { return &traceCommand{} }},
	{"drain", "stop", "stop a daemon after its running queries have ended", func() runner { return &drainCommand{} }},
}

// globalOptions are the options that every command accepts.
type globalOptions struct {
	Addresses []string      `long:"address" short:"a" env:"LOVAGEGAP_ADDRESS" env-delim:"," default:"127.0.0.1:17110" description:"address of a daemon's operators' port (repeatable); the next one is tried if one does not answer"`
	JSON      bool          `long:"json" description:"print the result as JSON"`
	Timeout   time.Duration `long:"timeout" default:"5s" description:"time limit of each call to a daemon; a change gets 10s more"`
}

// Run parses and executes a command line, without the name of the program, and
// returns the exit code.
func Run(ctx context.Context, arguments []string, e Environment) int {
	var g globalOptions
	parser, runners := newParser(&g)
	rest, err := parser.ParseArgs(arguments)
	if flags.WroteHelp(err) {
		_, _ = fmt.Fprintln(e.Output, err)
		return ExitOK
	}
	if err == nil && len(rest) > 0 {
		err = errors.Newf("unexpected argument %q", rest[0])
	}
	if err != nil {
		return reportError(e.ErrorOutput, errors.Mark(err, errUsage))
	}
	s := &session{Environment: e, globalOptions: g, client: operators.New(g.Addresses, g.Timeout)}
	if err := runners[parser.Active.Name].run(ctx, s); err != nil {
		return reportError(e.ErrorOutput, err)
	}
	return ExitOK
}

// newParser returns the parser and the commands by name. Parsing fills in g and the
// options of the active command.
func newParser(g *globalOptions) (*flags.Parser, map[string]runner) {
	parser := flags.NewNamedParser("lovagegapctl", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Inspects a fleet of lovagegapd daemons and changes its settings.\n\n" + exitHelp
	if _, err := parser.AddGroup("Global options", "", g); err != nil {
		panic(err)
	}
	runners := make(map[string]runner, len(commands))
	for _, entry := range commands {
		r := entry.newRunner()
		c, err := parser.AddCommand(entry.name, entry.help, entry.help+".", r)
		if err != nil {
			panic(err)
		}
		c.Aliases = []string{entry.alias}
		runners[entry.name] = r
	}
	return parser, runners
}

// errUsage marks errors in the command line.
var errUsage = errors.New("usage")

// reportError prints an error and returns its exit code.
func reportError(w io.Writer, err error) int {
	_, _ = fmt.Fprintln(w, "lovagegapctl:", replaceControlCharacters(err.Error()))
	return exitCode(err)
}

func exitCode(err error) int {
	switch {
	case errors.Is(err, operators.ErrConflict):
		return ExitConflict
	case errors.Is(err, operators.ErrUnknownOutcome):
		return ExitUnknownOutcome
	case errors.Is(err, settings.ErrInvalid), errors.Is(err, settings.ErrMalformed):
		return ExitInvalid
	case errors.Is(err, errUsage), errors.Is(err, settings.ErrNoSuchPath):
		return ExitUsage
	}
	return ExitFailed
}
