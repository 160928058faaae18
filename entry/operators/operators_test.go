package operators_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/lovagegap/lovagegap/core/journal"
	"github.com/lovagegap/lovagegap/core/settings"
	"github.com/lovagegap/lovagegap/entry/operators"
)

// fakeDaemon implements the dependencies of the handler.
type fakeDaemon struct {
	journal  journal.Journal
	document settings.Document
	present  settings.Document
	applyErr error
	applied  []settings.Document
	drained  bool
}

func (f *fakeDaemon) Document() settings.Document { return f.document }

func (f *fakeDaemon) Tree() *settings.Tree {
	tree, err := settings.Parse([]byte(`{"settings":{"deadline":"2s"},"users":{"u":{"services":{"s":{}}}}}`))
	if err != nil {
		return &settings.Tree{}
	}
	return tree
}

func (f *fakeDaemon) Apply(_ context.Context, expect uint64, d settings.Document) (settings.Document, error) {
	if f.applyErr != nil {
		return f.present, f.applyErr
	}
	f.applied = append(f.applied, d)
	return d.WithRevision(expect + 1), nil
}

func (f *fakeDaemon) Rollout() operators.Rollout { return operators.Rollout{Revision: 3} }
func (f *fakeDaemon) Fleet() operators.Fleet     { return operators.Fleet{Self: "10.0.0.1:7200"} }
func (f *fakeDaemon) Upstreams(string) []operators.Upstream {
	return nil
}

func (f *fakeDaemon) WriteJSON(w io.Writer) { _, _ = io.WriteString(w, "{}") }

func (f *fakeDaemon) handler() http.Handler {
	return operators.New(operators.Dependencies{
		Daemon: "d-1", Settings: f, View: f, Events: &f.journal, Metrics: f, Drain: func() { f.drained = true },
	})
}

func call(t *testing.T, f *fakeDaemon, method, path, body string) (int, map[string]any) {
	t.Helper()
	recorder := httptest.NewRecorder()
	f.handler().ServeHTTP(recorder, httptest.NewRequest(method, path, strings.NewReader(body)))
	var found map[string]any
	if recorder.Body.Len() > 0 {
		require.NoError(t, json.Unmarshal(recorder.Body.Bytes(), &found), recorder.Body.String())
	}
	return recorder.Code, found
}

// Guards against a change of the status or error code of an outcome, on which
// lovagegapctl relies, and against a refused request that is applied.
func TestApplyStatusCodes(t *testing.T) {
	good := `{"expect":2,"changeId":"c-1","author":"a","tree":{}}`
	present := settings.NewDocument(9, "c-0", "somebody", []byte(`{}`))
	cases := []struct {
		name   string
		body   string
		err    error
		status int
		code   string
	}{
		{name: "accepted", body: good, status: 200},
		{name: "conflict", body: good, err: operators.ErrConflict, status: 409, code: "conflict"},
		{name: "lost reply", body: good, err: operators.ErrUnknownOutcome, status: 504, code: "unknown-outcome"},
		{name: "platform down", body: good, err: operators.ErrUnavailable, status: 503, code: "platform-unavailable"},
		{name: "document too large", body: good, err: operators.ErrTooLarge, status: 413, code: "too-large"},
		{name: "malformed", body: `{"expect":`, status: 400, code: "malformed"},
		{name: "no change id", body: `{"expect":2,"tree":{}}`, status: 400, code: "malformed"},
		{name: "no expected revision", body: `{"changeId":"c","tree":{}}`, status: 400, code: "malformed"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := &fakeDaemon{present: present}
			if tc.err != nil {
				f.applyErr = errors.Wrap(tc.err, "returned by the rollout")
			}
			status, reply := call(t, f, http.MethodPost, "/v1/settings/apply", tc.body)
			require.Equal(t, tc.status, status)
			if tc.code == "" {
				require.EqualValues(t, 3, reply["revision"])
				require.Len(t, f.applied, 1)
				return
			}
			require.Empty(t, f.applied)
			require.Equal(t, tc.code, reply["error"].(map[string]any)["code"])
			if tc.status == 409 {
				require.EqualValues(t, 9, reply["current"].(map[string]any)["revision"])
			}
		})
	}
}

// Guards against reporting only the first problem of an invalid tree, and against
// applying such a tree.
func TestInvalidTreeReportsAllProblems(t *testing.T) {
	tree := `{"settings":{"deadline":"soon","minCoverage":2,"hedge":{"ratio":9}},"nothing":1}`
	f := &fakeDaemon{}
	status, reply := call(t, f, http.MethodPost, "/v1/settings/check", tree)
	require.Equal(t, 422, status)
	require.Len(t, reply["problems"], 4)
	status, reply = call(t, f, http.MethodPost, "/v1/settings/apply", `{"expect":0,"changeId":"c","tree":`+tree+`}`)
	require.Equal(t, 422, status)
	require.Len(t, reply["problems"], 4)
	require.Empty(t, f.applied)
}

// Guards against effective values without their origin, and against a path that is
// not in the tree but does not give 404.
func TestEffectiveSettings(t *testing.T) {
	status, reply := call(t, &fakeDaemon{}, http.MethodGet, "/v1/settings/effective?path=users.u.services.s", "")
	require.Equal(t, 200, status)
	first := reply["values"].([]any)[0].(map[string]any)
	require.Equal(t, map[string]any{"key": "deadline", "value": "2s", "origin": "fleet"}, first)
	status, _ = call(t, &fakeDaemon{}, http.MethodGet, "/v1/settings/effective?path=users.nobody", "")
	require.Equal(t, 404, status)
}

// Guards against sending events that the operator has already read, and against an
// invalid sequence number that is taken for 0.
func TestEventsAfterSequence(t *testing.T) {
	f := &fakeDaemon{}
	f.journal.Add(1000, journal.Drain, "d-1", "asked by an operator")
	f.journal.Add(2000, journal.Drain, "d-1", "no request in flight")
	status, reply := call(t, f, http.MethodGet, "/v1/events?after=1", "")
	require.Equal(t, 200, status)
	require.Equal(t, "d-1", reply["daemon"])
	require.Equal(t, []any{map[string]any{
		"sequence": 2.0, "at": "1970-01-01T00:00:02Z", "kind": "drain", "subject": "d-1", "cause": "no request in flight",
	}}, reply["events"])
	status, _ = call(t, f, http.MethodGet, "/v1/events?after=x", "")
	require.Equal(t, 400, status)
}

// Guards against a drain request that is accepted without starting the stop.
func TestDrainStartsPlannedStop(t *testing.T) {
	f := &fakeDaemon{}
	status, _ := call(t, f, http.MethodPost, "/v1/drain", "")
	require.Equal(t, 202, status)
	require.True(t, f.drained)
}
