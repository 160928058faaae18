// Package callers is the HTTP interface for callers.
//
// # Usage
//
//	handler := callers.New(callers.Dependencies{...})
//	http.Serve(listener, handler)
package callers

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"
	"github.com/labstack/echo/v4/middleware"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/query"
	"github.com/lovagegap/lovagegap/core/settings"
	"github.com/lovagegap/lovagegap/core/ticket"
	"github.com/lovagegap/lovagegap/entry/engine"
	"github.com/lovagegap/lovagegap/entry/telemetry"
)

const maxBodySize = "1M"

// Service runs queries of one service.
type Service interface {
	Run(ctx context.Context, request query.Request, caller engine.Caller) (*query.Answer, error)
}

// Services finds a service by its name in the form user/service.
type Services interface {
	Service(name string) (Service, bool)
}

// Settings gives the tree in force and its revision.
type Settings interface {
	InForce() (*settings.Tree, uint64)
}

// Fleet knows the daemons that callers may use.
type Fleet interface {
	// Advice returns the addresses that a caller in dataCentre should use, and
	// for how long.
	Advice(dataCentre, caller string) ([]string, clock.Millis)
	// CallersAddress returns the callers' address of a daemon, or "".
	CallersAddress(daemon string) string
}

// Lifecycle tells in which phase of its life the daemon is.
type Lifecycle interface {
	// Refusing returns why no new request is taken at present, or "".
	Refusing() string
	// Leaving reports whether callers on open connections should connect
	// elsewhere.
	Leaving() bool
	// Begin and End count a request of a caller.
	Begin()
	End()
}

// Dependencies are the parts of the daemon that callers use.
type Dependencies struct {
	Clock     clock.Clock
	Daemon    string
	Services  Services
	Settings  Settings
	Fleet     Fleet
	Lifecycle Lifecycle
	Telemetry *telemetry.Telemetry
	Tickets   *ticket.Issuer
}

type handler struct {
	deps     Dependencies
	tickets  ticketIssuer
	sequence atomic.Uint64
}

// New returns the HTTP handler for callers.
func New(deps Dependencies) *echo.Echo {
	h := &handler{deps: deps, tickets: ticketIssuer{clock: deps.Clock, issuer: deps.Tickets}}
	e := echo.New()
	e.HideBanner = true
	e.HTTPErrorHandler = h.handleError
	e.Use(h.trackRequests, middleware.BodyLimit(maxBodySize))
	e.GET("/health", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.GET("/ready", h.handleReady)
	e.GET("/v1/addresses", h.handleAddresses)
	e.POST("/v1/tickets", h.handleTicket)
	e.POST("/v1/users/:user/services/:service/query", h.handleQuery)
	return e
}

// trackRequests counts requests for a planned stop and asks callers to connect
// elsewhere while the daemon is leaving.
func (h *handler) trackRequests(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		h.deps.Lifecycle.Begin()
		defer h.deps.Lifecycle.End()
		if h.deps.Lifecycle.Leaving() {
			c.Response().Header().Set("Connection", "close")
		}
		return next(c)
	}
}

// handleError turns errors of the HTTP library into the documented form.
func (h *handler) handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	status := http.StatusInternalServerError
	var httpError *echo.HTTPError
	if errors.As(err, &httpError) {
		status = httpError.Code
	}
	code := map[int]string{
		http.StatusNotFound: "unknown-path", http.StatusMethodNotAllowed: "unknown-method",
		http.StatusRequestEntityTooLarge: "too-large",
	}[status]
	if code == "" {
		code = "internal"
	}
	_ = h.writeRefusal(c, newRefusal(status, code, "%s", http.StatusText(status)))
}

func (h *handler) notReady() *refusal {
	if reason := h.deps.Lifecycle.Refusing(); reason != "" {
		return newRefusal(http.StatusServiceUnavailable, "not-ready", "%s", reason)
	}
	return nil
}

func (h *handler) handleReady(c echo.Context) error {
	if r := h.notReady(); r != nil {
		return c.String(http.StatusServiceUnavailable, r.message+"\n")
	}
	if h.deps.Lifecycle.Leaving() {
		return c.String(http.StatusServiceUnavailable, "leaving\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

func (h *handler) handleAddresses(c echo.Context) error {
	list, lifetime := h.deps.Fleet.Advice(c.QueryParam("dataCentre"), c.RealIP())
	if len(list) == 0 {
		return h.writeRefusal(c, newRefusal(http.StatusServiceUnavailable, "not-ready", "no entry address is known"))
	}
	return c.JSON(http.StatusOK, wireAddresses{Addresses: list, Lifetime: lifetime.Duration().String()})
}

func (h *handler) writeRefusal(c echo.Context, r *refusal) error {
	return c.JSON(r.status, r.wire())
}

func (h *handler) newRequestID() string {
	return h.deps.Daemon + "-" + strconv.FormatUint(h.sequence.Add(1), 10)
}
