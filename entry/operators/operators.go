// Package operators is the HTTP interface for operators: settings, the state of the
// fleet and of the upstreams, the journal, metrics and the planned stop. It is
// served on its own port.
//
// # Usage
//
//	handler := operators.New(operators.Dependencies{Settings: s, View: v, ...})
//	http.Serve(listener, handler)
package operators

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"
	"github.com/labstack/echo/v4/middleware"

	"github.com/lovagegap/lovagegap/core/journal"
	"github.com/lovagegap/lovagegap/core/settings"
)

// Sentinel errors of Settings.Apply.
var (
	// ErrConflict means that the document in place is not at the expected
	// revision, because another change was applied. Nothing was written.
	ErrConflict = errors.New("settings changed concurrently")
	// ErrUnknownOutcome means that the platform's reply was lost and the outcome
	// could not be determined in time. The same change ID may be sent again; it
	// is never applied twice.
	ErrUnknownOutcome = errors.New("outcome of the change is unknown")
	// ErrUnavailable means that the platform did not accept the change. Nothing
	// was written.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrTooLarge means that the document exceeds the size limit of core/rollout.
	ErrTooLarge = errors.New("settings document too large")
)

const (
	// MaxBodyBytes is the limit of the body of a request.
	MaxBodyBytes = 2_000_000
	maxBodySize  = "2M" // the same as echo's BodyLimit takes it
	// applyTimeout bounds Settings.Apply. It leaves time to resolve a lost reply
	// of the platform by reading the document again.
	applyTimeout = 10 * time.Second
)

// Settings reads and changes the settings. The methods are safe for concurrent use.
type Settings interface {
	// Document returns the settings document in force.
	Document() settings.Document
	// Tree returns the settings tree in force, parsed from Document.
	Tree() *settings.Tree
	// Apply replaces the document at revision expectedRevision. It returns the
	// accepted document, or the present one with ErrConflict, or
	// ErrUnknownOutcome, ErrUnavailable or ErrTooLarge.
	Apply(ctx context.Context, expectedRevision uint64, document settings.Document) (settings.Document, error)
}

// View returns the state of the fleet as this daemon sees it.
type View interface {
	// Rollout returns the settings revision of each daemon.
	Rollout() Rollout
	// Fleet returns the members.
	Fleet() Fleet
	// Upstreams returns the replicas of a service, or of all services for "".
	Upstreams(service string) []Upstream
}

// Events reads the daemon's journal.
type Events interface {
	// After returns the events with a sequence number above sequence.
	After(sequence uint64) []journal.Event
}

// Metrics is the daemon's registry of metrics.
type Metrics interface {
	// WriteJSON writes the current values of all metrics as JSON.
	WriteJSON(w io.Writer)
}

// Dependencies are the collaborators of the handler.
type Dependencies struct {
	Daemon   string // ID of this daemon, part of the reply to /v1/events
	Settings Settings
	View     View
	Events   Events
	Metrics  Metrics
	Drain    func() // starts the planned stop without waiting for its end
}

type handler struct {
	deps Dependencies
}

// New returns the HTTP handler for operators. It is safe for concurrent use.
func New(deps Dependencies) *echo.Echo {
	h := &handler{deps: deps}
	e := echo.New()
	e.HideBanner = true
	e.Use(middleware.BodyLimit(maxBodySize))
	e.GET("/v1/settings", h.handleSettings)
	e.GET("/v1/settings/effective", h.handleEffective)
	e.POST("/v1/settings/check", h.handleCheck)
	e.POST("/v1/settings/apply", h.handleApply)
	e.GET("/v1/rollout", func(c echo.Context) error { return c.JSON(http.StatusOK, deps.View.Rollout()) })
	e.GET("/v1/fleet", func(c echo.Context) error { return c.JSON(http.StatusOK, deps.View.Fleet()) })
	e.GET("/v1/upstreams", h.handleUpstreams)
	e.GET("/v1/events", h.handleEvents)
	e.GET("/v1/metrics", h.handleMetrics)
	e.POST("/v1/drain", h.handleDrain)
	return e
}

func (h *handler) handleSettings(c echo.Context) error {
	return c.JSON(http.StatusOK, newDocument(h.deps.Settings.Document()))
}

func (h *handler) handleEffective(c echo.Context) error {
	path := c.QueryParam("path")
	found, err := h.deps.Settings.Tree().EffectiveAt(path)
	if err != nil {
		return writeError(c, http.StatusNotFound, "unknown-path", err.Error())
	}
	reply := EffectiveSettings{Path: path, Revision: h.deps.Settings.Document().Revision()}
	for _, v := range found.Values() {
		reply.Values = append(reply.Values, Value{Key: v.Key(), Value: v.JSON(), Origin: v.Origin()})
	}
	return c.JSON(http.StatusOK, reply)
}

func (h *handler) handleCheck(c echo.Context) error {
	text, err := io.ReadAll(c.Request().Body)
	if err != nil {
		return err
	}
	if _, err := settings.Parse(text); err != nil {
		return c.JSON(http.StatusUnprocessableEntity, map[string]any{"problems": newProblems(err)})
	}
	return c.JSON(http.StatusOK, map[string]bool{"ok": true})
}

func (h *handler) handleApply(c echo.Context) error {
	var request applyRequest
	if err := json.NewDecoder(c.Request().Body).Decode(&request); err != nil {
		return writeError(c, http.StatusBadRequest, "malformed", "request body: "+err.Error())
	}
	if request.Expect == nil || request.ChangeID == "" || len(request.Tree) == 0 {
		return writeError(c, http.StatusBadRequest, "malformed", "expect, changeId and tree are required")
	}
	return h.applyDocument(c, *request.Expect, settings.NewDocument(
		*request.Expect+1, request.ChangeID, request.Author, request.Tree,
	))
}

// applyDocument validates and applies a document, and writes the reply.
func (h *handler) applyDocument(c echo.Context, expectedRevision uint64, document settings.Document) error {
	if _, err := document.Parse(); err != nil {
		return c.JSON(http.StatusUnprocessableEntity, map[string]any{"problems": newProblems(err)})
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), applyTimeout)
	defer cancel()
	accepted, err := h.deps.Settings.Apply(ctx, expectedRevision, document)
	switch {
	case err == nil:
		return c.JSON(http.StatusOK, Document{
			Revision: accepted.Revision(), ChangeID: accepted.ChangeID(), Author: accepted.Author(),
		})
	case errors.Is(err, ErrConflict):
		return c.JSON(http.StatusConflict, map[string]any{
			"error":   wireError{Code: "conflict", Message: err.Error()},
			"current": newDocument(accepted),
		})
	case errors.Is(err, ErrUnknownOutcome):
		return writeError(c, http.StatusGatewayTimeout, "unknown-outcome", err.Error())
	case errors.Is(err, ErrTooLarge):
		return writeError(c, http.StatusRequestEntityTooLarge, "too-large", err.Error())
	default:
		return writeError(c, http.StatusServiceUnavailable, "platform-unavailable", err.Error())
	}
}

func (h *handler) handleUpstreams(c echo.Context) error {
	list := h.deps.View.Upstreams(c.QueryParam("service"))
	if list == nil {
		list = []Upstream{}
	}
	return c.JSON(http.StatusOK, map[string]any{"upstreams": list})
}

func (h *handler) handleEvents(c echo.Context) error {
	after, err := parseSequence(c.QueryParam("after"))
	if err != nil {
		return writeError(c, http.StatusBadRequest, "malformed", "parameter after must be a whole number from 0")
	}
	list := []Event{}
	for _, e := range h.deps.Events.After(after) {
		at := time.UnixMicro(int64(e.At() * 1000)).UTC()
		list = append(list, Event{
			Sequence: e.Sequence(), At: at.Format(time.RFC3339Nano), Kind: string(e.Kind()),
			Subject: e.Subject(), Cause: e.Cause(),
		})
	}
	return c.JSON(http.StatusOK, map[string]any{"daemon": h.deps.Daemon, "events": list})
}

// parseSequence parses a sequence number; "" is 0, which is before all events.
func parseSequence(text string) (uint64, error) {
	if text == "" {
		return 0, nil
	}
	return strconv.ParseUint(text, 10, 64)
}

func (h *handler) handleMetrics(c echo.Context) error {
	c.Response().Header().Set(echo.HeaderContentType, echo.MIMEApplicationJSON)
	h.deps.Metrics.WriteJSON(c.Response())
	return nil
}

func (h *handler) handleDrain(c echo.Context) error {
	h.deps.Drain()
	return c.NoContent(http.StatusAccepted)
}

func writeError(c echo.Context, status int, code, message string) error {
	return c.JSON(status, map[string]any{"error": wireError{Code: code, Message: message}})
}
