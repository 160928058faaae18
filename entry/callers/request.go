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
	maxDeadline = 10 * clock.Minute
	maxID       = 128
)

// label is the form of classes, tenants and request ids. They appear in
// metrics names and log lines.
var label = regexp.MustCompile(`^[A-Za-z0-9_.:-]{0,128}$`)

// decode reads the body of a query. Unknown fields are errors: a misspelt
// "idempotent" must not make a request run twice.
func decode(c echo.Context) (wireRequest, *refusal) {
	var body wireRequest
	decoder := json.NewDecoder(c.Request().Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&body); err != nil {
		var tooLarge *echo.HTTPError
		if errors.As(err, &tooLarge) && tooLarge.Code == http.StatusRequestEntityTooLarge {
			return body, refuse(http.StatusRequestEntityTooLarge, "too-large", "body exceeds %s", maxBody)
		}
		return body, malformed("body: %v", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return body, malformed("body: more than one JSON value")
	}
	if len(body.Query) == 0 {
		return body, malformed("query is missing")
	}
	return body, check(body)
}

func check(body wireRequest) *refusal {
	labels := []struct{ name, value string }{
		{"class", body.Class}, {"tenant", body.Tenant}, {"requestId", body.RequestID},
	}
	for _, l := range labels {
		if !label.MatchString(l.value) {
			return malformed("%s: letters, digits and _.:- are allowed, at most %d", l.name, maxID)
		}
	}
	if m := body.MinCoverage; m != nil && (*m < 0 || *m > 1) {
		return malformed("minCoverage: %v is outside 0 to 1", *m)
	}
	return nil
}

// deadline returns the time that the caller gives the request, or the default
// of the settings.
func deadline(body wireRequest, effective *settings.Effective) (clock.Millis, *refusal) {
	if body.Deadline == "" {
		return effective.Deadline(), nil
	}
	span, err := clock.Parse(body.Deadline)
	if err != nil {
		return 0, malformed("deadline: %q is not a duration such as 250ms", body.Deadline)
	}
	if span <= 0 || span > maxDeadline {
		return 0, malformed("deadline: %s is outside 0 to %s", body.Deadline, maxDeadline.Duration())
	}
	return span, nil
}

// request builds the query from a checked body.
func (h *handler) request(service, id string, body wireRequest, span clock.Millis) query.Request {
	request := query.NewRequest(id, service, body.Query, h.ports.Clock.Now()+span).
		WithCaller(body.Class, body.Tenant)
	if body.MinCoverage != nil {
		request = request.WithMinCoverage(*body.MinCoverage)
	}
	if !idempotent(body) {
		request = request.NonIdempotent()
	}
	return request
}

func idempotent(body wireRequest) bool {
	return body.Idempotent == nil || *body.Idempotent
}
