// Package platform simulates the platform's key-value service, its leases and its
// list of VMs. Faults can be injected while it runs.
//
// # Usage
//
// As a server of its own, with faults under /faults and call counts at /calls:
//
//	server := platform.New(clock.Clock{}, vms...)
//	http.Serve(listener, server.Handler())
//
// In a test of another module:
//
//	server := platform.New(manual.Clock())
//	web := httptest.NewServer(server.Handler())
//	server.SetFaults(platform.Faults{LoseReplies: 1})
package platform

import (
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"github.com/lovagegap/lovagegap/core/clock"
)

// MaxValueBytes is the largest size of a value.
const MaxValueBytes = 1 << 20

// Faults are the faults injected into the platform. The zero value has none.
type Faults struct {
	Down        bool   `json:"down"`        // connections are closed without a reply
	Delay       string `json:"delay"`       // added to each call under /v1, such as "2s"
	LoseReplies int    `json:"loseReplies"` // number of next writes that take effect but get no reply
	VMLag       string `json:"vmLag"`       // age of the VM list, such as "3s"
}

// Server simulates the platform. It is safe for concurrent use.
type Server struct {
	clock clock.Clock

	mu      sync.Mutex
	keys    map[string]*keyEntry
	leases  leases
	vms     vmHistory
	calls   callCounter
	faults  Faults
	delay   time.Duration // parsed from faults.Delay
	changed chan struct{} // closed and replaced at every change of a key or a fault
}

// New returns a platform whose list of VMs holds vms.
func New(c clock.Clock, vms ...VM) *Server {
	s := &Server{clock: c, keys: make(map[string]*keyEntry), changed: make(chan struct{})}
	s.vms.reset(vms)
	return s
}

// Handler returns the HTTP interface: the platform's calls under /v1, fault
// injection under /faults and the call counts at /calls. Faults apply to the calls
// under /v1 only.
func (s *Server) Handler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	v1 := e.Group("/v1", s.applyFaults)
	v1.GET("/keys/*", s.handleRead)
	v1.PUT("/keys/*", s.handleWrite)
	v1.POST("/leases", s.handleGrantLease)
	v1.PUT("/leases/:id", s.handleRenewLease)
	v1.DELETE("/leases/:id", s.handleRevokeLease)
	v1.GET("/vms", s.handleListVMs)
	e.GET("/faults", func(c echo.Context) error { return c.JSON(http.StatusOK, s.Faults()) })
	e.PUT("/faults", s.handleSetFaults)
	e.POST("/faults/restore", s.handleRestore)
	e.POST("/faults/vms", s.handleChangeVM)
	e.GET("/calls", func(c echo.Context) error { return c.JSON(http.StatusOK, s.Calls()) })
	return e
}

// Faults returns the faults in force.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces the faults in force. It returns an error, and changes nothing,
// if Delay or VMLag is not a duration.
func (s *Server) SetFaults(f Faults) error {
	delay, err := parseOptionalDuration(f.Delay)
	if err != nil {
		return err
	}
	lag, err := parseOptionalDuration(f.VMLag)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults, s.delay = f, delay
	s.vms.lag = clock.FromDuration(lag)
	s.wakeWatches()
	return nil
}

// parseOptionalDuration returns 0 for "".
func parseOptionalDuration(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	return time.ParseDuration(text)
}

// wakeWatches makes waiting watches check their key and the faults again. The
// caller holds the lock.
func (s *Server) wakeWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// applyFaults is the middleware that counts each call and applies Delay and Down.
func (s *Server) applyFaults(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		s.mu.Lock()
		s.calls.record(s.clock.Now(), callKind(c))
		delay := s.delay
		s.mu.Unlock()
		if delay > 0 {
			select {
			case <-time.After(delay):
			case <-c.Request().Context().Done():
				return nil
			}
		}
		if s.Faults().Down {
			return closeWithoutReply(c)
		}
		return next(c)
	}
}

// closeWithoutReply closes the connection without a reply.
func closeWithoutReply(c echo.Context) error {
	conn, _, err := c.Response().Hijack()
	if err != nil {
		return err
	}
	return conn.Close()
}

// handleSetFaults sets the faults that the body contains and keeps the others.
func (s *Server) handleSetFaults(c echo.Context) error {
	f := s.Faults()
	if err := c.Bind(&f); err != nil {
		return err
	}
	if err := s.SetFaults(f); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	return c.JSON(http.StatusOK, s.Faults())
}

// ErrNoRevision means that the revision to restore is not kept.
var ErrNoRevision = errors.New("revision not kept")
