package callers

import (
	"fmt"
	"net/http"

	"github.com/lovagegap/lovagegap/core/query"
)

// refusal is an error as a caller sees it.
type refusal struct {
	status  int
	code    string
	message string
	ran     query.RunState
	owner   string
	address string
}

func refuse(status int, code, format string, args ...any) *refusal {
	return &refusal{status: status, code: code, message: fmt.Sprintf(format, args...), ran: query.NotRun}
}

func malformed(format string, args ...any) *refusal {
	return refuse(http.StatusBadRequest, "malformed", format, args...)
}

// after returns the refusal with what is known about the request having run.
func (r *refusal) after(ran query.RunState) *refusal {
	r.ran = ran
	return r
}

func (r *refusal) wire() wireError {
	return wireError{Error: wireErrorBody{
		Code: r.code, Message: r.message, Ran: r.ran.String(), Owner: r.owner, Address: r.address,
	}}
}
