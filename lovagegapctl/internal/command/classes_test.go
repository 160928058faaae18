package command

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a request that is counted under another cause than its line shows.
func TestClassOfUnservedRequest(t *testing.T) {
	cases := map[string]struct{ line, class string }{
		"served": {`{"msg":"answer late","status":200}`, ""},
		"of another daemon": {`{"msg":"request not served","delegated":true,"status":503,
			"reason":"too few shards have an available replica"}`, ""},
		"another line":     {`{"msg":"store lost"}`, ""},
		"disconnected":     {`{"msg":"caller disconnected","reason":"the caller disconnected"}`, classDisconnected},
		"no configuration": {`{"msg":"request not served","reason":"no configuration loaded yet"}`, classNoConfiguration},
		"no replica":       {`{"msg":"request not served","reason":"no replica of the service is available"}`, classNoReplica},
		"no shards":        {`{"msg":"request not served","reason":"too few shards have an available replica"}`, classNoReplica},
		"admission":        {`{"msg":"request not served","reason":"backlog exceeds the admission limit"}`, classAdmission},
		"no time":          {`{"msg":"request not served","reason":"too little time left before the deadline"}`, classTooLate},
		"quarantined":      {`{"msg":"request not served","reason":"the request is quarantined: it may crash replicas"}`, classQuarantined},
		"budget of retries": {`{"msg":"request not served","reason":"the retry budget is empty",
			"exchanges":[{"result":"shed"}]}`, classBudget},
		"budget of hedges": {`{"msg":"request not served","reason":"the deadline passed without an answer",
			"withheldHedges":[{"service":"s","reason":"overload"},{"service":"t","reason":"budget"}]}`, classBudget},
		"hedge withheld": {`{"msg":"request not served","reason":"the deadline passed without an answer",
			"withheldHedges":[{"service":"s","reason":"overload"}],"exchanges":[{"result":"unanswered"}]}`, classWithheld},
		"silent": {`{"msg":"request not served","reason":"the deadline passed without an answer",
			"exchanges":[{"result":"abandoned"},{"result":"abandoned"},{"result":"unanswered"}]}`, classSilent},
		"mostly shed": {`{"msg":"request not served","reason":"too few shards can answer",
			"exchanges":[{"result":"lost"},{"result":"shed"},{"result":"shed"}]}`, classShed},
		"failed": {`{"msg":"request not served","reason":"no replica can answer",
			"exchanges":[{"result":"garbled"}]}`, classFailed},
		"as many shed as silent": {`{"msg":"request not served","exchanges":[{"result":"shed"},{"result":"silent"}]}`, classSilent},
		"no exchange":            {`{"msg":"request not served","reason":"internal error"}`, classOther},
		"other types":            {`{"msg":"request not served","reason":7,"exchanges":{"a":1},"withheldHedges":[1]}`, classOther},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var line logLine
			require.NoError(t, json.Unmarshal([]byte(c.line), &line.fields))
			class, unserved := classifyUnserved(line)
			assert.Equal(t, c.class != "", unserved)
			assert.Equal(t, c.class, class)
		})
	}
}

// Guards against a table that leaves out a daemon's log, and against a request id that
// writes to the operator's terminal.
func TestTraceClasses(t *testing.T) {
	name := filepath.Join(t.TempDir(), "a.log")
	log := strings.ReplaceAll(`{"ts":"T","daemon":"a","msg":"request not served","request":"r\u001b[2J","status":503,"reason":"backlog exceeds the admission limit"}
{"ts":"T","daemon":"b","msg":"request not served","request":"r2","status":502,"reason":"the retry budget is empty"}
{"ts":"T","daemon":"b","msg":"request not served","request":"r3","status":503,"reason":"the retry budget is empty"}
{"ts":"T","daemon":"b","msg":"answer late","request":"r4","status":200}
`, `"T"`, `"2026-05-01T10:00:02.000Z"`)
	require.NoError(t, os.WriteFile(name, []byte(log), 0o600))
	var out, errs bytes.Buffer
	require.Equal(t, ExitOK, Run(context.Background(), []string{"trace", "--classes", name}, Environment{Output: &out, ErrorOutput: &errs}), errs.String())
	assert.Equal(t, `class                  requests  statuses         first request
retry budget empty            2  502:1 503:1      r2
refused by admission          1  503:1            r?[2J
`, out.String())
	out.Reset()
	require.Equal(t, ExitOK, Run(context.Background(), []string{"--json", "trace", "-c", name}, Environment{Output: &out, ErrorOutput: &errs}))
	assert.JSONEq(t, `[{"class":"retry budget empty","requests":2,"statuses":{"502":1,"503":1},"example":"r2"},
		{"class":"refused by admission","requests":1,"statuses":{"503":1},"example":"r\u001b[2J"}]`, out.String())
}
