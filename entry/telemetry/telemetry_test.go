package telemetry_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lovagegap/lovagegap/entry/telemetry"
)

func readMetrics(t *testing.T, m *telemetry.Telemetry) map[string]map[string]any {
	t.Helper()
	var buffer bytes.Buffer
	m.WriteJSON(&buffer)
	var found map[string]map[string]any
	require.NoError(t, json.Unmarshal(buffer.Bytes(), &found))
	return found
}

// Guards against a success rate that cannot be calculated again: an answer is
// counted under the settings revision whose expression judged it.
func TestAnswersAreCountedByRevision(t *testing.T) {
	var m telemetry.Telemetry
	series := telemetry.Series{Service: "u/s", Class: "c", Tenant: "t"}
	m.RecordAnswer(series, telemetry.Answer{Good: true, Revision: 7, Status: 200, Latency: 12.5, Coverage: 1})
	m.RecordAnswer(series, telemetry.Answer{Good: false, Revision: 8, Status: 504, Code: "below-minimum"})
	m.RecordAnswer(series, telemetry.Answer{Good: true, Revision: 8, Status: 200, Coverage: 1})
	found := readMetrics(t, &m)
	require.EqualValues(t, 1, found["query.u/s.c.t.good.revision-7"]["count"])
	require.EqualValues(t, 1, found["query.u/s.c.t.bad.revision-8"]["count"])
	require.EqualValues(t, 1, found["query.u/s.c.t.good.revision-8"]["count"])
	require.EqualValues(t, 12500, found["query.u/s.c.t.latency-us"]["max"])
	m.RemoveRevisionsBefore(8)
	found = readMetrics(t, &m)
	require.NotContains(t, found, "query.u/s.c.t.good.revision-7")
	require.Contains(t, found, "query.u/s.c.t.good.revision-8")
}

// Guards against memory that grows with each tenant that a caller names.
func TestNumberOfSeriesIsBounded(t *testing.T) {
	var m telemetry.Telemetry
	for n := range 2000 {
		m.RecordAnswer(telemetry.Series{Service: "u/s", Tenant: fmt.Sprint(n)}, telemetry.Answer{Status: 200})
	}
	found := readMetrics(t, &m)
	require.EqualValues(t, 2000-256, found["query.u/s.other.other.answers"]["count"])
}
