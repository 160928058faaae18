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

// standIn serves the operators' contract from memory.
type standIn struct {
	document operators.Document
	pages    map[string]string
	applied  int // changes that took effect
	posts    int // changes received
	// onApply runs before a change is taken; it returns true if it has
	// answered in the place of the stand-in.
	onApply func(s *standIn, w http.ResponseWriter, c operators.Change) bool
}

func newStandIn(t *testing.T) *standIn {
	t.Helper()
	s := &standIn{pages: map[string]string{
		"/v1/settings/effective?path=fleet": `{"path":"fleet","revision":7,"values":[{"key":"deadline","value":"1s","origin":"fleet"},{"key":"priority","value":50,"origin":"default"}]}`,
		"/v1/rollout":                       `{"revision":7,"daemons":[{"id":"a-1","dataCentre":"ikeja","state":"alive","revision":7,"lags":false},{"id":"a-2","dataCentre":"lekki","state":"suspect","revision":6,"lags":true}]}`,
		"/v1/fleet":                         `{"self":"a-1","members":[{"id":"a-1","dataCentre":"ikeja","region":"ng","state":"alive","incarnation":3,"callers":"10.0.0.1:80","peers":"10.0.0.1:82","revision":7,"load":0.25}]}`,
		"/v1/upstreams?service=association%2Freview-desk": `{"upstreams":[{"id":"10.0.1.1:80","service":"association/review-desk","dataCentre":"ikeja","state":"cold","why":"new boot\u001b[2J","latency":"3.5ms","inFlight":1,"share":2,"level":1}]}`,
		"/v1/upstreams?service=tatra%2Fcertificates":      `{"upstreams":[{"id":"10.0.1.2:80","service":"tatra/certificates","dataCentre":"nitra","state":"serving","why":"","latency":"12.875976ms","inFlight":0,"share":7,"level":0},{"id":"10.0.1.3:80","service":"tatra/certificates","dataCentre":"nitra","state":"serving","why":"","latency":"0s","inFlight":0,"share":7,"level":0}]}`,
		"/v1/upstreams?service=tatra%2Fnothing":           `{"upstreams":[]}`,
		"/v1/events?after=0":                              `{"daemon":"a-1","events":[{"sequence":1,"at":"2026-12-04T09:00:00.2Z","kind":"settings","subject":"revision 7","cause":"asha"}]}`,
		"/v1/metrics":                                     `{"queries":{"count":1200000},"latency":{"p99":12.5,"mean":8915.499999999996}}`,
	}}
	s.setTree(t, "tree.json", 7, "asha", "c-7")
	return s
}

func (s *standIn) setTree(t *testing.T, file string, revision uint64, author, changeID string) {
	t.Helper()
	tree, err := os.ReadFile("testdata/" + file)
	require.NoError(t, err)
	s.document = operators.Document{Revision: revision, ChangeID: changeID, Author: author, Tree: tree}
}

func (s *standIn) serve(t *testing.T) string {
	t.Helper()
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func (s *standIn) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	switch path := r.URL.RequestURI(); path {
	case "/v1/settings":
		answer(w, http.StatusOK, s.document)
	case "/v1/settings/check":
		s.check(w, body)
	case "/v1/settings/apply":
		s.apply(w, body)
	case "/v1/drain":
		w.WriteHeader(http.StatusAccepted)
	default:
		page, ok := s.pages[path]
		if !ok {
			answer(w, http.StatusNotFound, refusal("no such page"))
			return
		}
		_, _ = io.WriteString(w, page)
	}
}

func refusal(message string) map[string]any {
	return map[string]any{"error": map[string]string{"code": "test", "message": message}}
}

func answer(w http.ResponseWriter, status int, v any) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *standIn) check(w http.ResponseWriter, tree []byte) bool {
	_, err := settings.Parse(tree)
	if err != nil {
		answer(w, http.StatusUnprocessableEntity, map[string]any{"problems": settings.Problems(err)})
		return false
	}
	answer(w, http.StatusOK, map[string]bool{"ok": true})
	return true
}

func (s *standIn) apply(w http.ResponseWriter, body []byte) {
	var c operators.Change
	if err := json.Unmarshal(body, &c); err != nil {
		answer(w, http.StatusBadRequest, refusal("malformed"))
		return
	}
	s.posts++
	if s.onApply != nil && s.onApply(s, w, c) {
		return
	}
	if !s.take(c) {
		answer(w, http.StatusConflict, map[string]any{"error": refusal("conflict")["error"], "current": s.document})
		return
	}
	answer(w, http.StatusOK, operators.Applied{Revision: s.document.Revision, ChangeID: c.ChangeID})
}

// take puts a change in force unless its revision is not the expected one;
// one that is in force already is not applied again.
func (s *standIn) take(c operators.Change) bool {
	if s.document.ChangeID == c.ChangeID {
		return true
	}
	if s.document.Revision != c.ExpectedRevision {
		return false
	}
	s.applied++
	s.document = operators.Document{Revision: c.ExpectedRevision + 1, ChangeID: c.ChangeID, Author: c.Author, Tree: c.Tree}
	return true
}

// overtake returns an onApply that lets another operator win once.
func overtake(t *testing.T, file string) func(*standIn, http.ResponseWriter, operators.Change) bool {
	return func(s *standIn, _ http.ResponseWriter, _ operators.Change) bool {
		if s.posts == 1 {
			s.setTree(t, file, 8, "bola", "c-8")
		}
		return false
	}
}

// loseReply takes the change, or not, and breaks the connection the first
// time.
func loseReply(taken bool) func(*standIn, http.ResponseWriter, operators.Change) bool {
	return func(s *standIn, _ http.ResponseWriter, c operators.Change) bool {
		if s.posts > 1 {
			return false
		}
		if taken {
			s.take(c)
		}
		panic(http.ErrAbortHandler)
	}
}

// unknownForever answers that the outcome is unknown.
func unknownForever(_ *standIn, w http.ResponseWriter, _ operators.Change) bool {
	answer(w, http.StatusGatewayTimeout, refusal("platform does not answer"))
	return true
}
