// Package callers is the HTTP interface for callers.
//
// # Usage
//
//	handler := callers.New(callers.Ports{...})
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

const maxBody = "1M"

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
	CallerAddress(daemon string) string
}

// Life tells in which phase of its life the daemon is.
type Life interface {
	// Refusing returns why no new request is taken at present, or "".
	NotReadyReason() string
	// Leaving reports whether callers on open connections should connect
	// elsewhere.
	Leaving() bool
	// Begin and End count a request of a caller.
	BeginRequest()
	EndRequest()
}

// Ports are the parts of the daemon that callers use.
type Ports struct {
	Clock     clock.Clock
	Daemon    string
	Services  Services
	Settings  Settings
	Fleet     Fleet
	Life      Life
	Telemetry *telemetry.Telemetry
	Tickets   *ticket.Issuer
}

type handler struct {
	ports    Ports
	issuer   issuer
	sequence atomic.Uint64
}

// New returns the HTTP handler for callers.
func New(ports Ports) *echo.Echo {
	h := &handler{ports: ports, issuer: issuer{clock: ports.Clock, issuer: ports.Tickets}}
	e := echo.New()
	e.HideBanner = true
	e.HTTPErrorHandler = h.failed
	e.Use(h.track, middleware.BodyLimit(maxBody))
	e.GET("/health", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.GET("/ready", h.ready)
	e.GET("/v1/addresses", h.addresses)
	e.POST("/v1/tickets", h.ticket)
	e.POST("/v1/users/:user/services/:service/query", h.query)
	return e
}

// track counts requests for a planned stop and asks callers to connect
// elsewhere while the daemon is leaving.
func (h *handler) track(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		h.ports.Life.BeginRequest()
		defer h.ports.Life.EndRequest()
		if h.ports.Life.Leaving() {
			c.Response().Header().Set("Connection", "close")
		}
		return next(c)
	}
}

// failed turns errors of the HTTP library into the documented form.
func (h *handler) failed(err error, c echo.Context) {
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
	_ = h.refuse(c, refuse(status, code, "%s", http.StatusText(status)))
}

func (h *handler) unready() *refusal {
	if reason := h.ports.Life.NotReadyReason(); reason != "" {
		return refuse(http.StatusServiceUnavailable, "not-ready", "%s", reason)
	}
	return nil
}

func (h *handler) ready(c echo.Context) error {
	if r := h.unready(); r != nil {
		return c.String(http.StatusServiceUnavailable, r.message+"\n")
	}
	if h.ports.Life.Leaving() {
		return c.String(http.StatusServiceUnavailable, "leaving\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

func (h *handler) addresses(c echo.Context) error {
	list, lifetime := h.ports.Fleet.Advice(c.QueryParam("dataCentre"), c.RealIP())
	if len(list) == 0 {
		return h.refuse(c, refuse(http.StatusServiceUnavailable, "not-ready", "no entry address is known"))
	}
	return c.JSON(http.StatusOK, wireAddresses{Addresses: list, Lifetime: lifetime.Duration().String()})
}

func (h *handler) refuse(c echo.Context, r *refusal) error {
	return c.JSON(r.status, r.wire())
}

func (h *handler) newID() string {
	return h.ports.Daemon + "-" + strconv.FormatUint(h.sequence.Add(1), 10)
}
