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

// result is the outcome of a command line.
type result struct {
	code                int
	output, errorOutput string
	slept               time.Duration
}

// runCommand runs a command line against addresses, with a sleep that returns at once.
// It replaces the addresses in the output by ADDRESS1, ADDRESS2 and so on.
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

// requireGolden compares a result with testdata/NAME.golden, or rewrites that file with
// -update.
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

// unusedAddress returns an address on which no process listens.
func unusedAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

const reviewDeskPath = "users.association.services.review-desk"

// Guards against wrong exit codes and unintended changes of the output: each case
// compares both streams with a golden file and counts the changes applied.
func TestCommandOutput(t *testing.T) {
	apply := []string{"apply", "--yes", "testdata/mine.json"}
	for _, test := range []struct {
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
		suffixes := []string{""}
		if test.json {
			suffixes = append(suffixes, " json")
		}
		for _, suffix := range suffixes {
			daemon := newFakeDaemon(t)
			daemon.onApply = test.onApply
			arguments := test.arguments
			if suffix != "" {
				arguments = append([]string{"--json"}, arguments...)
			}
			r := runCommand([]string{daemon.start(t)}, test.input, arguments...)
			require.Equal(t, test.code, r.code, "%s: %s", test.name, r.errorOutput)
			require.Equal(t, test.applied, daemon.applied, test.name)
			requireGolden(t, test.name+suffix, r)
		}
	}
}

// Guards against a command that fails or waits if the first address refuses connections
// or its daemon answers 503 while it starts.
func TestNextAddressIsTried(t *testing.T) {
	for _, arguments := range [][]string{{"show"}, {"check", "testdata/tree.json"}, {"apply", "--yes", "testdata/mine.json"}} {
		daemon := newFakeDaemon(t)
		r := runCommand([]string{unusedAddress(t), daemon.start(t)}, "", arguments...)
		require.Equal(t, ExitOK, r.code, r.errorOutput)
		require.Zero(t, r.slept, "after a refused connection there is no unknown outcome to resolve")
	}
	starting := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer starting.Close()
	r := runCommand([]string{starting.Listener.Addr().String(), newFakeDaemon(t).start(t)}, "", "show")
	require.Equal(t, ExitOK, r.code, r.errorOutput)
	r = runCommand([]string{unusedAddress(t), unusedAddress(t)}, "", "show")
	require.Equal(t, ExitFailed, r.code)
	require.Contains(t, r.errorOutput, "no daemon answered")
}

// Guards against a change that is sent only to the same daemon although that daemon
// closes every connection without a reply, or never learns the outcome from the platform.
func TestUnknownOutcomeRetriesAtNextAddress(t *testing.T) {
	closeConnection := func(*fakeDaemon, http.ResponseWriter, operators.Change) bool { panic(http.ErrAbortHandler) }
	for _, fault := range []func(*fakeDaemon, http.ResponseWriter, operators.Change) bool{closeConnection, answerUnknownOutcome} {
		broken, good := newFakeDaemon(t), newFakeDaemon(t)
		broken.onApply = fault
		r := runCommand([]string{broken.start(t), good.start(t)}, "", "apply", "--yes", "testdata/mine.json")
		require.Equal(t, ExitOK, r.code, r.errorOutput)
		require.Equal(t, 1, broken.received)
		require.Equal(t, 1, good.applied)
	}
}

// Guards against an outcome that is decided by a daemon that lags behind. The daemon
// closes the connection during the change and then reports an older revision.
func TestLostReplyAtLaggingDaemon(t *testing.T) {
	daemon := newFakeDaemon(t)
	daemon.onApply = func(daemon *fakeDaemon, _ http.ResponseWriter, _ operators.Change) bool {
		daemon.setDocument(t, "theirs.json", 6, "bola", "c-6")
		panic(http.ErrAbortHandler)
	}
	r := runCommand([]string{daemon.start(t)}, "", "apply", "--yes", "testdata/mine.json")
	require.Equal(t, ExitUnknownOutcome, r.code, r.errorOutput)
	require.NotContains(t, r.errorOutput, "revision 6 by bola is in force")
	require.Equal(t, 1, daemon.received, "the change is not sent to a lagging daemon")
	require.Equal(t, resolveAttempts*resolveInterval, r.slept)
}

// Guards against an edit that is repeated on the outdated tree, because the daemon that
// reports the conflict does not have the new document in force yet.
func TestConflictBeforeWinnerIsKnown(t *testing.T) {
	daemon := newFakeDaemon(t)
	daemon.onApply = func(daemon *fakeDaemon, w http.ResponseWriter, _ operators.Change) bool {
		if daemon.received > 1 {
			return false
		}
		writeJSON(w, http.StatusConflict, map[string]any{"current": daemon.document})
		daemon.setDocument(t, "elsewhere.json", 8, "bola", "c-8")
		return true
	}
	r := runCommand([]string{daemon.start(t)}, "", "set", "fleet", "deadline", "2s")
	require.Equal(t, ExitOK, r.code, r.errorOutput)
	require.Equal(t, uint64(9), daemon.document.Revision)
	require.Equal(t, 2, daemon.received)
	require.Equal(t, resolveInterval, r.slept)
}

// Guards against a conflict error for a change that was applied: the daemon reports a
// conflict with a document that has the change id of the change itself.
func TestConflictWithOwnChange(t *testing.T) {
	daemon := newFakeDaemon(t)
	daemon.onApply = func(daemon *fakeDaemon, w http.ResponseWriter, c operators.Change) bool {
		daemon.applyChange(c)
		writeJSON(w, http.StatusConflict, map[string]any{"current": daemon.document})
		return true
	}
	r := runCommand([]string{daemon.start(t)}, "", "apply", "--yes", "testdata/mine.json")
	require.Equal(t, ExitOK, r.code, r.errorOutput)
}

// Guards against a lost reply that is reported as a conflict or as success after another
// operator has changed the settings: the change may have been in force before.
func TestLostReplyThenSuperseded(t *testing.T) {
	daemon := newFakeDaemon(t)
	daemon.onApply = func(daemon *fakeDaemon, _ http.ResponseWriter, c operators.Change) bool {
		daemon.applyChange(c)
		daemon.setDocument(t, "theirs.json", 9, "bola", "c-9")
		panic(http.ErrAbortHandler)
	}
	r := runCommand([]string{daemon.start(t)}, "", "apply", "--yes", "testdata/mine.json")
	require.Equal(t, ExitUnknownOutcome, r.code, r.errorOutput)
	require.Equal(t, 1, daemon.received, "the change is not sent again over a later revision")
}

// Guards against a conflict after which one of the two trees is lost: the file to apply
// must be unchanged, and --save-current must write the tree in force.
func TestSaveCurrentKeepsBothTrees(t *testing.T) {
	daemon := newFakeDaemon(t)
	daemon.onApply = winRaceOnce(t, "theirs.json")
	own := filepath.Join(t.TempDir(), "own.json")
	text, err := os.ReadFile("testdata/mine.json")
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(own, text, 0o600))
	saved := own + ".theirs"
	r := runCommand([]string{daemon.start(t)}, "", "apply", "--yes", "--save-current", saved, own)
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

// Guards against events that are merged in the wrong order, and against daemons whose
// events are missing without a note or an error.
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
	require.Contains(t, r.errorOutput, "events of 1 of 3 daemons are missing")
	require.Equal(t, 2, strings.Count(r.output, `"daemon"`))
}

// Guards against a drain of the second daemon because the first one does not answer.
func TestDrainRequiresOneAddress(t *testing.T) {
	daemon := newFakeDaemon(t)
	r := runCommand([]string{unusedAddress(t), daemon.start(t)}, "", "drain")
	require.Equal(t, ExitUsage, r.code)
}

// Guards against a wait that ends before its time while daemons lag, or that goes on
// after the settings are in force on all.
func TestRolloutWait(t *testing.T) {
	daemon := newFakeDaemon(t)
	r := runCommand([]string{daemon.start(t)}, "", "rollout", "--wait", "2s")
	require.Equal(t, 2*time.Second, r.slept)
	daemon.responses["/v1/rollout"] = strings.ReplaceAll(daemon.responses["/v1/rollout"], "true", "false")
	r = runCommand([]string{daemon.start(t)}, "", "rollout", "--wait", "2s")
	require.Equal(t, ExitOK, r.code)
	require.Zero(t, r.slept)
}
