package command

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lovagegap/lovagegap/core/settings"
	"github.com/lovagegap/lovagegap/lovagegapctl/internal/operators"
)

// fakeDaemon serves the API of the operators' port from memory.
type fakeDaemon struct {
	document  operators.Document // in force
	responses map[string]string  // bodies of other pages; key: path and query
	applied   int                // changes that were applied
	received  int                // changes received
	// onApply is called before a change is applied. If it returns true, it has written
	// the reply itself.
	onApply func(d *fakeDaemon, w http.ResponseWriter, c operators.Change) bool
}

func newFakeDaemon(t *testing.T) *fakeDaemon {
	t.Helper()
	d := &fakeDaemon{responses: map[string]string{
		"/v1/settings/effective?path=fleet": `{"path":"fleet","revision":7,"values":[{"key":"deadline","value":"1s","origin":"fleet"},{"key":"priority","value":50,"origin":"default"}]}`,
		"/v1/rollout":                       `{"revision":7,"daemons":[{"id":"a-1","dataCentre":"ikeja","state":"alive","revision":7,"lags":false},{"id":"a-2","dataCentre":"lekki","state":"suspect","revision":6,"lags":true}]}`,
		"/v1/fleet":                         `{"self":"a-1","members":[{"id":"a-1","dataCentre":"ikeja","region":"ng","state":"alive","incarnation":3,"callers":"10.0.0.1:80","peers":"10.0.0.1:82","revision":7,"load":0.25}]}`,
		"/v1/upstreams?service=association%2Freview-desk": `{"upstreams":[{"id":"10.0.1.1:80","service":"association/review-desk","dataCentre":"ikeja","state":"cold","why":"new boot\u001b[2J","latency":"3.5ms","inFlight":1,"share":2,"level":1}]}`,
		"/v1/upstreams?service=tatra%2Fcertificates":      `{"upstreams":[{"id":"10.0.1.2:80","service":"tatra/certificates","dataCentre":"nitra","state":"serving","why":"","latency":"12.875976ms","inFlight":0,"share":7,"level":0},{"id":"10.0.1.3:80","service":"tatra/certificates","dataCentre":"nitra","state":"serving","why":"","latency":"0s","inFlight":0,"share":7,"level":0}]}`,
		"/v1/upstreams?service=tatra%2Fnothing":           `{"upstreams":[]}`,
		"/v1/events?after=0":                              `{"daemon":"a-1","events":[{"sequence":1,"at":"2026-12-04T09:00:00.2Z","kind":"settings","subject":"revision 7","cause":"asha"}]}`,
		"/v1/metrics":                                     `{"queries":{"count":1200000},"latency":{"p99":12.5,"mean":8915.499999999996}}`,
	}}
	d.setDocument(t, "tree.json", 7, "asha", "c-7")
	return d
}

func (d *fakeDaemon) setDocument(t *testing.T, file string, revision uint64, author, changeID string) {
	t.Helper()
	tree, err := os.ReadFile("testdata/" + file)
	require.NoError(t, err)
	d.document = operators.Document{Revision: revision, ChangeID: changeID, Author: author, Tree: tree}
}

func (d *fakeDaemon) start(t *testing.T) string {
	t.Helper()
	server := httptest.NewServer(d)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func (d *fakeDaemon) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	switch path := r.URL.RequestURI(); path {
	case "/v1/settings":
		writeJSON(w, http.StatusOK, d.document)
	case "/v1/settings/check":
		d.handleCheck(w, body)
	case "/v1/settings/apply":
		d.handleApply(w, body)
	case "/v1/drain":
		w.WriteHeader(http.StatusAccepted)
	default:
		page, ok := d.responses[path]
		if !ok {
			writeJSON(w, http.StatusNotFound, errorBody("no such page"))
			return
		}
		_, _ = io.WriteString(w, page)
	}
}

func errorBody(message string) map[string]any {
	return map[string]any{"error": map[string]string{"code": "test", "message": message}}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (d *fakeDaemon) handleCheck(w http.ResponseWriter, tree []byte) bool {
	_, err := settings.Parse(tree)
	if err != nil {
		writeJSON(w, http.StatusUnprocessableEntity, map[string]any{"problems": settings.Problems(err)})
		return false
	}
	writeJSON(w, http.StatusOK, map[string]bool{"ok": true})
	return true
}

func (d *fakeDaemon) handleApply(w http.ResponseWriter, body []byte) {
	var c operators.Change
	if err := json.Unmarshal(body, &c); err != nil {
		writeJSON(w, http.StatusBadRequest, errorBody("malformed"))
		return
	}
	d.received++
	if d.onApply != nil && d.onApply(d, w, c) {
		return
	}
	if !d.applyChange(c) {
		writeJSON(w, http.StatusConflict, map[string]any{"error": errorBody("conflict")["error"], "current": d.document})
		return
	}
	writeJSON(w, http.StatusOK, operators.Applied{Revision: d.document.Revision, ChangeID: c.ChangeID})
}

// applyChange applies a change and reports whether it is in force. It refuses a change
// whose expected revision is not in force, and does not apply one twice.
func (d *fakeDaemon) applyChange(c operators.Change) bool {
	if d.document.ChangeID == c.ChangeID {
		return true
	}
	if d.document.Revision != c.ExpectedRevision {
		return false
	}
	d.applied++
	d.document = operators.Document{Revision: c.ExpectedRevision + 1, ChangeID: c.ChangeID, Author: c.Author, Tree: c.Tree}
	return true
}

// winRaceOnce returns an onApply that puts another document in force before the first
// change, so that the change meets a conflict.
func winRaceOnce(t *testing.T, file string) func(*fakeDaemon, http.ResponseWriter, operators.Change) bool {
	return func(d *fakeDaemon, _ http.ResponseWriter, _ operators.Change) bool {
		if d.received == 1 {
			d.setDocument(t, file, 8, "bola", "c-8")
		}
		return false
	}
}

// dropFirstReply returns an onApply that closes the connection of the first change
// without a reply, after applying the change or not.
func dropFirstReply(apply bool) func(*fakeDaemon, http.ResponseWriter, operators.Change) bool {
	return func(d *fakeDaemon, _ http.ResponseWriter, c operators.Change) bool {
		if d.received > 1 {
			return false
		}
		if apply {
			d.applyChange(c)
		}
		panic(http.ErrAbortHandler)
	}
}

// answerUnknownOutcome answers that the outcome is unknown.
func answerUnknownOutcome(_ *fakeDaemon, w http.ResponseWriter, _ operators.Change) bool {
	writeJSON(w, http.StatusGatewayTimeout, errorBody("platform does not answer"))
	return true
}
