package command

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const logOfDaemonA = `  1.2 a {"logger":"routing","ts":"2026-05-01T10:00:02.000Z","level":0,"msg":"request not served","daemon":"a","request":"r1","status":504,"exchanges":[{"service":"s","replica":"i-1","purpose":"first","at":"0ms","result":"unanswered","inFlight":2,"listedAgo":"900ms"}]}
{"logger":"store","ts":"2026-05-01T10:00:01.500Z","level":0,"msg":"store lost","daemon":"a","error":"reset"}
{"logger":"routing","ts":"2026-05-01T10:00:01.700Z","level":0,"msg":"answer late","daemon":"a","request":"r2"}
{"logger":"store","ts":"2026-05-01T10:00:09.000Z","level":0,"msg":"store reached","daemon":"a"}
not a log line {
`

const logOfDaemonB = `{"logger":"routing","ts":"2026-05-01T10:00:00.900Z","level":0,"msg":"request not served","daemon":"b","request":"r1","status":503}
`

// Guards against a trace that misses the lines of a second daemon or the events that
// explain the failure, or that contains lines of other requests.
func TestTraceOfRequest(t *testing.T) {
	dir := t.TempDir()
	a, b := filepath.Join(dir, "a.log"), filepath.Join(dir, "b.log")
	require.NoError(t, os.WriteFile(a, []byte(logOfDaemonA), 0o600))
	require.NoError(t, os.WriteFile(b, []byte(logOfDaemonB), 0o600))
	var out, errs bytes.Buffer
	code := Run(context.Background(), []string{"trace", "--request", "r1", "--window", "1s", a, b}, Environment{Output: &out, ErrorOutput: &errs})
	require.Equal(t, ExitOK, code, errs.String())
	assert.Equal(t, `10:00:00.900 b routing: request not served request=r1 status=503
10:00:01.500 a store: store lost error=reset
10:00:02.000 a routing: request not served request=r1 status=504
    +0ms first to i-1 of s: unanswered (in flight there: 2, store data 900ms old)
`, out.String())

	out.Reset()
	require.Equal(t, ExitOK, Run(context.Background(), []string{"--json", "trace", "-r", "r2", a}, Environment{Output: &out, ErrorOutput: &errs}))
	var lines []map[string]any
	require.NoError(t, json.Unmarshal(out.Bytes(), &lines))
	assert.NotEmpty(t, lines)

	assert.Equal(t, ExitFailed, Run(context.Background(), []string{"trace", "-r", "none", a}, Environment{Output: &out, ErrorOutput: &errs}))
	assert.Contains(t, errs.String(), "only sampled")
	assert.Equal(t, ExitUsage, Run(context.Background(), []string{"trace"}, Environment{Output: &out, ErrorOutput: &errs}))
}
