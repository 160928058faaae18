package callers

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/lovagegap/lovagegap/core/query"
)

// refusal is an error reply to a caller. runState says whether the request may
// have run. owner and address name the daemon that issued the ticket, if it is
// another one.
type refusal struct {
	status   int
	code     string
	message  string
	runState query.RunState
	owner    string
	address  string
}

// newRefusal returns a refusal of a request that has not run.
func newRefusal(status int, code, format string, args ...any) *refusal {
	return &refusal{status: status, code: code, message: fmt.Sprintf(format, args...), runState: query.NotRun}
}

func malformedRequest(format string, args ...any) *refusal {
	return newRefusal(http.StatusBadRequest, "malformed", format, args...)
}

// withRunState sets whether the request may have run and returns r.
func (r *refusal) withRunState(ran query.RunState) *refusal {
	r.runState = ran
	return r
}

func (r *refusal) wire() wireError {
	return wireError{Error: wireErrorBody{
		Code: r.code, Message: r.message, Ran: r.runState.String(), Owner: r.owner, Address: r.address,
	}}
}

// WriteBodyRefusal writes the refusal of a request whose body was not read, in the form of
// all other refusals. The request has not run.
func WriteBodyRefusal(w http.ResponseWriter, status int, message string) {
	code := map[int]string{
		http.StatusRequestEntityTooLarge: "too-large", http.StatusRequestTimeout: "body-timeout",
		http.StatusServiceUnavailable: "overloaded",
	}[status]
	if code == "" {
		code = "malformed"
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(newRefusal(status, code, "%s", message).wire())
}
