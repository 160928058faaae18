package command

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lovagegap/lovagegap/lovagegapctl/internal/operators"
)

var updateGolden = flag.Bool("update", false, "rewrite the golden files")

// result is what a command line left behind.
type result struct {
	code                int
	output, errorOutput string
	slept               time.Duration
}

// runCommand runs a command line against addresses, without waiting.
func runCommand(addresses []string, input string, arguments ...string) result {
	var output, remarks bytes.Buffer
	var r result
	changes := 0
	e := Environment{
		Input: strings.NewReader(input), Output: &output, ErrorOutput: &remarks, DefaultAuthor: "tester",
		NewChangeID: func() string { changes++; return fmt.Sprintf("new-%d", changes) },
		Sleep:       func(_ context.Context, d time.Duration) error { r.slept += d; return nil },
	}
	var line []string
	for _, a := range addresses {
		line = append(line, "--address", a)
	}
	r.code = Run(context.Background(), append(line, arguments...), e)
	r.output, r.errorOutput = output.String(), remarks.String()
	for i, a := range addresses {
		r.output = strings.ReplaceAll(r.output, a, fmt.Sprintf("ADDRESS%d", i+1))
		r.errorOutput = strings.ReplaceAll(r.errorOutput, a, fmt.Sprintf("ADDRESS%d", i+1))
	}
	return r
}

// requireGolden compares a result with testdata/name.golden.
func requireGolden(t *testing.T, name string, r result) {
	t.Helper()
	got := fmt.Sprintf("exit %d\n--- output\n%s--- errors\n%s", r.code, r.output, r.errorOutput)
	file := filepath.Join("testdata", strings.ReplaceAll(name, " ", "-")+".golden")
	if *updateGolden {
		require.NoError(t, os.WriteFile(file, []byte(got), 0o600))
	}
	want, err := os.ReadFile(file)
	require.NoError(t, err)
	require.Equal(t, string(want), got, name)
}

// unusedAddress returns an address on which nothing listens.
func unusedAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

const reviewDeskPath = "users.association.services.review-desk"

// Guards against a wrong exit code and against output that changes unnoticed.
func TestCommandOutput(t *testing.T) {
	apply := []string{"apply", "--yes", "testdata/mine.json"}
	for _, c := range []struct {
		name      string
		arguments []string
		input     string
		onApply   func(*fakeDaemon, http.ResponseWriter, operators.Change) bool
		code      int
		applied   int
		json      bool // also run with --json
	}{
		{name: "show", arguments: []string{"show"}, json: true},
		{name: "effective", arguments: []string{"eff", "fleet"}, json: true},
		{name: "effective unknown", arguments: []string{"effective", "users.nobody"}, code: ExitFailed},
		{name: "keys", arguments: []string{"keys"}},
		{name: "check", arguments: []string{"check", "testdata/tree.json"}, json: true},
		{name: "check ten mistakes", arguments: []string{"check", "testdata/ten-mistakes.json"}, code: ExitInvalid, json: true},
		{name: "check offline", arguments: []string{"check", "--offline", "testdata/ten-mistakes.json"}, code: ExitInvalid},
		{name: "check malformed", arguments: []string{"check", "testdata/malformed.json"}, code: ExitInvalid},
		{name: "check no file", arguments: []string{"check", "testdata/none.json"}, code: ExitUsage},
		{name: "apply", arguments: apply, applied: 1, json: true},
		{name: "apply confirmed", arguments: []string{"apply", "testdata/mine.json"}, input: "y\n", applied: 1},
		{name: "apply declined", arguments: []string{"apply", "testdata/mine.json"}, input: "\n", code: ExitFailed},
		{name: "apply unchanged", arguments: []string{"apply", "testdata/tree.json"}, json: true},
		{name: "apply invalid", arguments: []string{"apply", "testdata/ten-mistakes.json"}, code: ExitInvalid},
		{name: "apply old revision", arguments: append(apply, "--expect", "6"), code: ExitConflict},
		{name: "apply old revision with base", arguments: append(apply, "--expect", "6", "--base", "testdata/theirs.json"), code: ExitConflict},
		{name: "apply race", arguments: apply, onApply: winRaceOnce(t, "theirs.json"), code: ExitConflict, json: true},
		{name: "apply lost reply taken", arguments: apply, onApply: dropFirstReply(true), applied: 1},
		{name: "apply lost reply not taken", arguments: apply, onApply: dropFirstReply(false), applied: 1},
		{name: "apply unknown", arguments: apply, onApply: answerUnknownOutcome, code: ExitUnknownOutcome, json: true},
		{name: "apply change id alone", arguments: append(apply, "--change-id", "x"), code: ExitUsage},
		{name: "apply repeated in force", arguments: append(apply, "--change-id", "c-7", "--expect", "6")},
		{name: "apply repeated overtaken", arguments: append(apply, "--change-id", "x", "--expect", "6"), code: ExitUnknownOutcome},
		{name: "apply save over own", arguments: append(apply, "--save-current", "./testdata/mine.json"), code: ExitUsage},
		{name: "set", arguments: []string{"set", reviewDeskPath, "hedge.ratio", "0.03"}, applied: 1, json: true},
		{name: "set duration", arguments: []string{"set", "fleet", "deadline", "250ms"}, applied: 1},
		{name: "set same", arguments: []string{"set", "fleet", "deadline", "1s"}},
		{name: "set invalid", arguments: []string{"set", reviewDeskPath, "hedge.ratio", "3"}, code: ExitInvalid, json: true},
		{name: "set no such path", arguments: []string{"set", "users.nobody", "priority", "1"}, code: ExitUsage},
		{name: "set race elsewhere", arguments: []string{"set", "fleet", "deadline", "2s"}, onApply: winRaceOnce(t, "elsewhere.json"), applied: 1},
		{name: "set race same value", arguments: []string{"set", "fleet", "deadline", "2s"}, onApply: winRaceOnce(t, "theirs.json"), code: ExitConflict},
		{name: "set unknown", arguments: []string{"set", "fleet", "deadline", "2s"}, onApply: answerUnknownOutcome, code: ExitUnknownOutcome},
		{name: "unset", arguments: []string{"unset", reviewDeskPath, "upstreams.slots"}, applied: 1},
		{name: "unset not set", arguments: []string{"unset", reviewDeskPath, "priority"}, code: ExitFailed},
		{name: "out", arguments: []string{"out", "ikeja"}, applied: 1},
		{name: "out misspelt", arguments: []string{"out", "ikeya"}, code: ExitUsage},
		{name: "in misspelt", arguments: []string{"in", "ikeya"}, code: ExitUsage},
		{name: "out forced", arguments: []string{"out", "--force", "bodija"}, applied: 1},
		{name: "in already", arguments: []string{"in", "ikeja"}},
		{name: "rollout", arguments: []string{"rollout"}, json: true},
		{name: "rollout wait", arguments: []string{"rollout", "--wait", "2s"}, code: ExitFailed},
		{name: "fleet", arguments: []string{"fleet"}, json: true},
		{name: "upstreams", arguments: []string{"upstreams", "--service", "association/review-desk"}, json: true},
		{name: "events", arguments: []string{"events"}, json: true},
		{name: "upstreams none", arguments: []string{"upstreams", "--service", "tatra/nothing"}, code: ExitFailed},
		{name: "upstreams warm", arguments: []string{"upstreams", "--service", "tatra/certificates"}},
		{name: "metrics", arguments: []string{"metrics"}, json: true},
		{name: "drain", arguments: []string{"drain"}, json: true},
		{name: "help", arguments: []string{"--help"}},
		{name: "no command", code: ExitUsage},
		{name: "extra argument", arguments: []string{"show", "me"}, code: ExitUsage},
	} {
		forms := []string{""}
		if c.json {
			forms = append(forms, " json")
		}
		for _, form := range forms {
			s := newFakeDaemon(t)
			s.onApply = c.onApply
			arguments := c.arguments
			if form != "" {
				arguments = append([]string{"--json"}, arguments...)
			}
			r := runCommand([]string{s.start(t)}, c.input, arguments...)
			require.Equal(t, c.code, r.code, "%s: %s", c.name, r.errorOutput)
			require.Equal(t, c.applied, s.applied, c.name)
			requireGolden(t, c.name+form, r)
		}
	}
}

// Guards against a tool that gives up, or changes twice, when the first
// daemon is down or silent.
func TestNextAddressIsTried(t *testing.T) {
	for _, arguments := range [][]string{{"show"}, {"check", "testdata/tree.json"}, {"apply", "--yes", "testdata/mine.json"}} {
		s := newFakeDaemon(t)
		r := runCommand([]string{unusedAddress(t), s.start(t)}, "", arguments...)
		require.Equal(t, ExitOK, r.code, r.errorOutput)
		require.Zero(t, r.slept, "a refused connection leaves no doubt to resolve")
	}
	starting := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer starting.Close()
	r := runCommand([]string{starting.Listener.Addr().String(), newFakeDaemon(t).start(t)}, "", "show")
	require.Equal(t, ExitOK, r.code, r.errorOutput)
	r = runCommand([]string{unusedAddress(t), unusedAddress(t)}, "", "show")
	require.Equal(t, ExitFailed, r.code)
	require.Contains(t, r.errorOutput, "no daemon answers")
}

// Guards against a change that stays with a daemon that always breaks off, or
// that never reaches the platform.
func TestUnknownOutcomeRetriesAtNextAddress(t *testing.T) {
	breakOff := func(*fakeDaemon, http.ResponseWriter, operators.Change) bool { panic(http.ErrAbortHandler) }
	for _, fault := range []func(*fakeDaemon, http.ResponseWriter, operators.Change) bool{breakOff, answerUnknownOutcome} {
		broken, good := newFakeDaemon(t), newFakeDaemon(t)
		broken.onApply = fault
		r := runCommand([]string{broken.start(t), good.start(t)}, "", "apply", "--yes", "testdata/mine.json")
		require.Equal(t, ExitOK, r.code, r.errorOutput)
		require.Equal(t, 1, broken.received)
		require.Equal(t, 1, good.applied)
	}
}

// Guards against a lagging daemon whose older revision decides the outcome.
func TestLostReplyAtLaggingDaemon(t *testing.T) {
	s := newFakeDaemon(t)
	s.onApply = func(s *fakeDaemon, _ http.ResponseWriter, _ operators.Change) bool {
		s.setDocument(t, "theirs.json", 6, "bola", "c-6")
		panic(http.ErrAbortHandler)
	}
	r := runCommand([]string{s.start(t)}, "", "apply", "--yes", "testdata/mine.json")
	require.Equal(t, ExitUnknownOutcome, r.code, r.errorOutput)
	require.NotContains(t, r.errorOutput, "revision 6 by bola is in force")
	require.Equal(t, 1, s.received, "a daemon that lags is not asked to apply")
	require.Equal(t, resolveAttempts*resolveInterval, r.slept)
}

// Guards against an edit that is repeated on the tree that lost, because the
// daemon that reports the race does not know the winner yet.
func TestConflictBeforeWinnerIsKnown(t *testing.T) {
	s := newFakeDaemon(t)
	s.onApply = func(s *fakeDaemon, w http.ResponseWriter, _ operators.Change) bool {
		if s.received > 1 {
			return false
		}
		writeJSON(w, http.StatusConflict, map[string]any{"current": s.document})
		s.setDocument(t, "elsewhere.json", 8, "bola", "c-8")
		return true
	}
	r := runCommand([]string{s.start(t)}, "", "set", "fleet", "deadline", "2s")
	require.Equal(t, ExitOK, r.code, r.errorOutput)
	require.Equal(t, uint64(9), s.document.Revision)
	require.Equal(t, 2, s.received)
	require.Equal(t, resolveInterval, r.slept)
}

// Guards against an own change that is taken for somebody else's because the
// daemon reports it as a conflict.
func TestConflictWithOwnChange(t *testing.T) {
	s := newFakeDaemon(t)
	s.onApply = func(s *fakeDaemon, w http.ResponseWriter, c operators.Change) bool {
		s.applyChange(c)
		writeJSON(w, http.StatusConflict, map[string]any{"current": s.document})
		return true
	}
	r := runCommand([]string{s.start(t)}, "", "apply", "--yes", "testdata/mine.json")
	require.Equal(t, ExitOK, r.code, r.errorOutput)
}

// Guards against a lost reply that is taken for a lost race, or for success,
// when somebody else changed the settings meanwhile.
func TestLostReplyThenSuperseded(t *testing.T) {
	s := newFakeDaemon(t)
	s.onApply = func(s *fakeDaemon, _ http.ResponseWriter, c operators.Change) bool {
		s.applyChange(c)
		s.setDocument(t, "theirs.json", 9, "bola", "c-9")
		panic(http.ErrAbortHandler)
	}
	r := runCommand([]string{s.start(t)}, "", "apply", "--yes", "testdata/mine.json")
	require.Equal(t, ExitUnknownOutcome, r.code, r.errorOutput)
	require.Equal(t, 1, s.received, "the change is not sent again over a later revision")
}

// Guards against a lost race that loses one of the two trees.
func TestSaveCurrentKeepsBothTrees(t *testing.T) {
	s := newFakeDaemon(t)
	s.onApply = winRaceOnce(t, "theirs.json")
	own := filepath.Join(t.TempDir(), "own.json")
	text, err := os.ReadFile("testdata/mine.json")
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(own, text, 0o600))
	saved := own + ".theirs"
	r := runCommand([]string{s.start(t)}, "", "apply", "--yes", "--save-current", saved, own)
	require.Equal(t, ExitConflict, r.code, r.errorOutput)
	left, err := os.ReadFile(own)
	require.NoError(t, err)
	require.Equal(t, text, left)
	theirs, err := os.ReadFile("testdata/theirs.json")
	require.NoError(t, err)
	kept, err := os.ReadFile(saved)
	require.NoError(t, err)
	require.JSONEq(t, string(theirs), string(kept))
}

// Guards against events in the wrong order and against a missing daemon that
// nobody notices.
func TestFleetEventsAreMerged(t *testing.T) {
	first, second := newFakeDaemon(t), newFakeDaemon(t)
	second.responses["/v1/events?after=0"] = `{"daemon":"a-2","events":[{"sequence":9,"at":"2026-12-04T10:00:00.1+01:00","kind":"drain","subject":"a-2","cause":"operator"}]}`
	addresses := []string{first.start(t), second.start(t)}
	r := runCommand(addresses, "", "events", "--fleet")
	require.Equal(t, ExitOK, r.code, r.errorOutput)
	requireGolden(t, "events fleet", r)
	r = runCommand(addresses, "", "events", "--fleet", "--kind", "drain")
	require.Equal(t, ExitOK, r.code, r.errorOutput)
	requireGolden(t, "events of a kind", r)
	first.responses["/v1/fleet"] = `{"self":"a-1","members":[{"id":"a-1","state":"alive"},{"id":"a-2","state":"leaving"},{"id":"a-3","state":"left"}]}`
	r = runCommand(addresses[:1], "", "events", "--fleet")
	require.Equal(t, ExitOK, r.code, r.errorOutput)
	require.Contains(t, r.errorOutput, "asking 1 of 2 daemons")
	first.responses["/v1/fleet"] = fmt.Sprintf(`{"self":"a-1","members":[{"id":"a-2","state":"alive","operators":%q},{"id":"a-3","state":"dead","operators":%q}]}`,
		addresses[1], unusedAddress(t))
	r = runCommand(addresses[:1], "", "--json", "events", "--fleet")
	require.Equal(t, ExitOK, r.code, r.errorOutput)
	require.Contains(t, r.output, `"daemon": "a-2"`)
	first.responses["/v1/fleet"] = second.responses["/v1/fleet"]
	r = runCommand(append(addresses, unusedAddress(t)), "", "--json", "events", "--fleet")
	require.Equal(t, ExitFailed, r.code)
	require.Contains(t, r.errorOutput, "1 of 3 are missing")
	require.Equal(t, 2, strings.Count(r.output, `"daemon"`))
}

// Guards against a drain that reaches another daemon than the one meant.
func TestDrainRequiresOneAddress(t *testing.T) {
	s := newFakeDaemon(t)
	r := runCommand([]string{unusedAddress(t), s.start(t)}, "", "drain")
	require.Equal(t, ExitUsage, r.code)
}

// Guards against a wait that ends early, or late.
func TestRolloutWait(t *testing.T) {
	s := newFakeDaemon(t)
	r := runCommand([]string{s.start(t)}, "", "rollout", "--wait", "2s")
	require.Equal(t, 2*time.Second, r.slept)
	s.responses["/v1/rollout"] = strings.ReplaceAll(s.responses["/v1/rollout"], "true", "false")
	r = runCommand([]string{s.start(t)}, "", "rollout", "--wait", "2s")
	require.Equal(t, ExitOK, r.code)
	require.Zero(t, r.slept)
}
