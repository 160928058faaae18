package callers_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lovagegap/lovagegap/core/settings"
	"github.com/lovagegap/lovagegap/core/snapshot"
	"github.com/lovagegap/lovagegap/core/ticket"
	"github.com/lovagegap/lovagegap/core/upstream"
)

// FuzzQuery guards against a request body that makes the handler panic, gets a reply
// that is not JSON, or is refused without a statement of whether it has run.
func FuzzQuery(f *testing.F) {
	for _, seed := range []string{
		`{"query":1}`, `{"query":{"text":"relay"},"deadline":"250ms","class":"c","tenant":"t","explain":true}`,
		`{"query":1,"idempotent":false,"ticket":"x"}`, `{"query":1,"minCoverage":1e400}`, `{"query":1}{}`,
		`[`, `null`, `{"query":null}`, `{"deadline":"1e9h","query":0}`, "\xff", `{"requestId":"a\nb","query":1}`,
	} {
		f.Add(seed)
	}
	tree, err := settings.Parse([]byte(`{"users":{"u":{"services":{"s":{}}}}}`))
	require.NoError(f, err)
	f.Fuzz(func(t *testing.T, body string) {
		d := &testDaemon{
			tree: tree, shardCount: 2, issuer: ticket.NewIssuer("10.0.0.1:7200", 1, []byte("key")),
			attemptOutcome: func(snapshot.Shard) upstream.Outcome { return upstream.OK },
		}
		recorder := httptest.NewRecorder()
		d.handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, queryPath, strings.NewReader(body)))
		var r reply
		require.NoError(t, json.Unmarshal(recorder.Body.Bytes(), &r))
		if recorder.Code != http.StatusOK {
			require.Contains(t, []string{"not-run", "may-have-run", "ran"}, r.Error.Ran)
		}
		require.Zero(t, d.openRequests)
	})
}
