package callers

import (
	"fmt"
	"net/http"

	"github.com/lovagegap/lovagegap/core/query"
)

// refusal is an error as a caller sees it.
type refusal struct {
	status   int
	code     string
	message  string
	runState query.RunState
	owner    string
	address  string
}

func newRefusal(status int, code, format string, args ...any) *refusal {
	return &refusal{status: status, code: code, message: fmt.Sprintf(format, args...), runState: query.NotRun}
}

func malformedRequest(format string, args ...any) *refusal {
	return newRefusal(http.StatusBadRequest, "malformed", format, args...)
}

// withRunState returns the refusal with what is known about the request having run.
func (r *refusal) withRunState(ran query.RunState) *refusal {
	r.runState = ran
	return r
}

func (r *refusal) wire() wireError {
	return wireError{Error: wireErrorBody{
		Code: r.code, Message: r.message, Ran: r.runState.String(), Owner: r.owner, Address: r.address,
	}}
}
