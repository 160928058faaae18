package callers

import (
	"encoding/json"
	"io"
	"net/http"
	"regexp"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/query"
	"github.com/lovagegap/lovagegap/core/settings"
)

const (
	maxTimeout     = 10 * clock.Minute
	maxLabelLength = 128 // the same as in labelPattern
)

// labelPattern matches classes, tenants and request ids, which become part of
// metric names and log lines.
var labelPattern = regexp.MustCompile(`^[A-Za-z0-9_.:-]{0,128}$`)

// decodeRequest reads and validates the body of a query. Unknown fields are
// errors, because a request with a misspelt "idempotent" would count as
// idempotent and could run twice.
func decodeRequest(c echo.Context) (wireRequest, *refusal) {
	var body wireRequest
	decoder := json.NewDecoder(c.Request().Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&body); err != nil {
		var tooLarge *echo.HTTPError
		if errors.As(err, &tooLarge) && tooLarge.Code == http.StatusRequestEntityTooLarge {
			return body, newRefusal(http.StatusRequestEntityTooLarge, "too-large", "request body exceeds %s", maxBodySize)
		}
		return body, malformedRequest("request body: %v", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return body, malformedRequest("request body: more than one JSON value")
	}
	if len(body.Query) == 0 {
		return body, malformedRequest("query is missing")
	}
	return body, validate(body)
}

func validate(body wireRequest) *refusal {
	labels := []struct{ name, value string }{
		{"class", body.Class}, {"tenant", body.Tenant}, {"requestId", body.RequestID},
	}
	for _, l := range labels {
		if !labelPattern.MatchString(l.value) {
			return malformedRequest("%s: only letters, digits and _.:- are allowed, at most %d characters",
				l.name, maxLabelLength)
		}
	}
	if m := body.MinCoverage; m != nil && (*m < 0 || *m > 1) {
		return malformedRequest("minCoverage: %v is outside 0 to 1", *m)
	}
	return nil
}

// requestTimeout returns the time from now to the deadline of the request: that of
// the caller, or the default of the settings.
func requestTimeout(body wireRequest, effective *settings.Effective) (clock.Millis, *refusal) {
	if body.Deadline == "" {
		return effective.Deadline(), nil
	}
	timeout, err := clock.Parse(body.Deadline)
	if err != nil {
		return 0, malformedRequest("deadline: %q is not a duration such as 250ms", body.Deadline)
	}
	if timeout <= 0 || timeout > maxTimeout {
		return 0, malformedRequest("deadline: %s is outside 0 to %s", body.Deadline, maxTimeout.Duration())
	}
	return timeout, nil
}

// newRequest returns the query for a validated body.
func (h *handler) newRequest(service, id string, body wireRequest, timeout clock.Millis) query.Request {
	request := query.NewRequest(id, service, body.Query, h.deps.Clock.Now()+timeout).
		WithCaller(body.Class, body.Tenant)
	if body.MinCoverage != nil {
		request = request.WithMinCoverage(*body.MinCoverage)
	}
	if !isIdempotent(body) {
		request = request.NonIdempotent()
	}
	return request
}

// isIdempotent reports whether the request may run more than once, which is the
// default.
func isIdempotent(body wireRequest) bool {
	return body.Idempotent == nil || *body.Idempotent
}
