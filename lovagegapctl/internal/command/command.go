// Package command holds the commands of lovagegapctl.
//
// The table below names each command; each has its options and its function
// in a file of its own. A command writes its result to the output, as text or
// with --json as JSON, and remarks to the error output.
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
	ExitConflict       = 3 // the settings were changed by somebody else meanwhile
	ExitInvalid        = 4 // the settings have mistakes
	ExitUnknownOutcome = 5 // the change may or may not have been applied
)

const exitHelp = `Exit codes: 0 ok, 1 failed, 2 usage, 3 conflict lost, 4 invalid settings, 5 outcome unknown.`

// runner is a command with its options and arguments filled in.
type runner interface {
	run(ctx context.Context, s *session) error
}

// commandEntry is a row of the command table.
type commandEntry struct {
	name, alias string
	help        string
	newRunner   func() runner
}

var commands = []commandEntry{
	{"show", "get", "show the settings tree in force", func() runner { return &showCommand{} }},
	{"effective", "eff", "show the values in force at a path, with their origins", func() runner { return &effectiveCommand{} }},
	{"keys", "k", "explain the keys of the settings", func() runner { return &keysCommand{} }},
	{"check", "c", "check a settings file", func() runner { return &checkCommand{} }},
	{"apply", "put", "put a settings file in force", func() runner { return &applyCommand{} }},
	{"set", "s", "set one value", func() runner { return &setCommand{} }},
	{"unset", "rm", "clear one value, so that it is inherited", func() runner { return &unsetCommand{} }},
	{"rollout", "ro", "show how far the settings in force have come", func() runner { return &rolloutCommand{} }},
	{"out", "o", "take a data centre out: its upstreams get no new work", func() runner { return &outCommand{} }},
	{"in", "i", "bring a data centre back in", func() runner { return &inCommand{} }},
	{"fleet", "f", "list the daemons", func() runner { return &fleetCommand{} }},
	{"upstreams", "u", "list the upstreams as a daemon sees them", func() runner { return &upstreamsCommand{} }},
	{"events", "e", "list the events of a daemon", func() runner { return &eventsCommand{} }},
	{"metrics", "m", "show the metrics of a daemon", func() runner { return &metricsCommand{} }},
	{"trace", "t", "merge saved logs of daemons, by time or around a request", func() runner { return &traceCommand{} }},
	{"drain", "stop", "have a daemon stop after its running queries", func() runner { return &drainCommand{} }},
}

// globalOptions holds the options of every command.
type globalOptions struct {
	Addresses []string      `long:"address" short:"a" env:"LOVAGEGAP_ADDRESS" env-delim:"," default:"127.0.0.1:17110" description:"operators' port of a daemon; the next one is tried when one does not answer"`
	JSON      bool          `long:"json" description:"write JSON for scripts"`
	Timeout   time.Duration `long:"timeout" default:"5s" description:"bound of each call; a change gets 10s more"`
}

// Run carries out a command line and returns the exit code.
func Run(ctx context.Context, arguments []string, e Environment) int {
	var g globalOptions
	parser, actions := newParser(&g)
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
	if err := actions[parser.Active.Name].run(ctx, s); err != nil {
		return reportError(e.ErrorOutput, err)
	}
	return ExitOK
}

func newParser(g *globalOptions) (*flags.Parser, map[string]runner) {
	parser := flags.NewNamedParser("lovagegapctl", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Shows and changes a fleet of lovagegapd daemons.\n\n" + exitHelp
	if _, err := parser.AddGroup("Global options", "", g); err != nil {
		panic(err)
	}
	actions := make(map[string]runner, len(commands))
	for _, row := range commands {
		a := row.newRunner()
		c, err := parser.AddCommand(row.name, row.help, row.help+".", a)
		if err != nil {
			panic(err)
		}
		c.Aliases = []string{row.alias}
		actions[row.name] = a
	}
	return parser, actions
}

// errUsage marks mistakes of the command line.
var errUsage = errors.New("usage")

// reportError reports an error and returns its exit code.
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
