// Package callers serves the HTTP interface for callers: queries, tickets, entry
// addresses, health and readiness.
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

const (
	// MaxBodyBytes is the limit of the body of a request.
	MaxBodyBytes = 1_000_000
	maxBodySize  = "1M" // the same in the notation of middleware.BodyLimit
)

// Service runs queries of one service. It is safe for concurrent use.
type Service interface {
	// Run returns the answer to a query. Errors are engine.ErrRefused if
	// admission refused the request, or another error if the caller disconnected
	// before it ran.
	Run(ctx context.Context, request query.Request, caller engine.Caller) (*query.Answer, error)
}

// Services finds a service by its name, which is user/service.
type Services interface {
	Service(name string) (Service, bool)
}

// Settings provides the settings in force. It is safe for concurrent use.
type Settings interface {
	// CurrentSettings returns the settings tree in force and its revision, 0 if there
	// is none. The tree must not be changed.
	CurrentSettings() (*settings.Tree, uint64)
}

// Directory provides the addresses of the daemons. It is safe for concurrent use.
type Directory interface {
	// Addresses returns the entry addresses that a caller in dataCentre should use,
	// and their lifetime. There are none while the daemon's view of the members
	// may be out of date.
	Addresses(dataCentre, caller string) ([]string, clock.Millis)
	// CallerAddress returns the address at which a daemon serves callers, or "" if
	// the daemon is unknown.
	CallerAddress(daemon string) string
}

// Lifecycle reports whether the daemon takes requests, and counts those that run. It
// is safe for concurrent use.
type Lifecycle interface {
	// NotReadyReason returns why the daemon takes no new requests, or "" if it does.
	NotReadyReason() string
	// Leaving reports whether callers with an open connection should connect to
	// another daemon.
	Leaving() bool
	// BeginRequest records the start of a caller's request. A planned stop waits for
	// the matching EndRequest.
	BeginRequest()
	// EndRequest records the end of a caller's request.
	EndRequest()
}

// Dependencies are the collaborators of the handler. Daemon is the name of this
// daemon. The handler owns Tickets, which is not safe for concurrent use.
type Dependencies struct {
	Clock     clock.Clock
	Daemon    string
	Services  Services
	Settings  Settings
	Directory Directory
	Lifecycle Lifecycle
	Telemetry *telemetry.Telemetry
	Tickets   *ticket.Issuer
}

type handler struct {
	deps     Dependencies
	tickets  ticketIssuer
	sequence atomic.Uint64
}

// New returns the HTTP handler for callers. It is safe for concurrent use.
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

// trackRequests counts requests for a planned stop, and closes the connections of
// callers while the daemon is leaving so that they connect to another one.
func (h *handler) trackRequests(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		h.deps.Lifecycle.BeginRequest()
		defer h.deps.Lifecycle.EndRequest()
		if h.deps.Lifecycle.Leaving() {
			c.Response().Header().Set("Connection", "close")
		}
		return next(c)
	}
}

// handleError replies to errors of echo in the form of all other errors.
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

// notReady returns a refusal if the daemon takes no new requests, otherwise nil.
func (h *handler) notReady() *refusal {
	if reason := h.deps.Lifecycle.NotReadyReason(); reason != "" {
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
	list, lifetime := h.deps.Directory.Addresses(c.QueryParam("dataCentre"), c.RealIP())
	if len(list) == 0 {
		return h.writeRefusal(c, newRefusal(http.StatusServiceUnavailable, "not-ready",
			"no entry address is known"))
	}
	return c.JSON(http.StatusOK, wireAddresses{Addresses: list, Lifetime: lifetime.Duration().String()})
}

func (h *handler) writeRefusal(c echo.Context, r *refusal) error {
	return c.JSON(r.status, r.wire())
}

func (h *handler) newRequestID() string {
	return h.deps.Daemon + "-" + strconv.FormatUint(h.sequence.Add(1), 10)
}
