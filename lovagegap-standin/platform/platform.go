// Package platform stands in for the platform's key-value service and its list
// of VMs. Its faults are switched on while it runs.
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

// MaxValueBytes is the largest value of a key in bytes.
const MaxValueBytes = 1 << 20

// Faults are the switchable faults. The zero value has none.
type Faults struct {
	Down        bool   `json:"down"`        // connections are closed without a reply
	Delay       string `json:"delay"`       // time added to each call, such as "2s"
	LoseReplies int    `json:"loseReplies"` // number of coming writes that take effect without a reply
	VMLag       string `json:"vmLag"`       // age of the VM list, such as "3s"
}

// Server is the platform. It is safe for concurrent use.
type Server struct {
	clock clock.Clock

	mu      sync.Mutex
	keys    map[string]*keyEntry
	leases  leases
	vms     vmHistory
	calls   callCounter
	faults  Faults
	delay   time.Duration
	changed chan struct{} // closed at every change of a key or a fault
}

// New returns a platform that lists vms.
func New(c clock.Clock, vms ...VM) *Server {
	s := &Server{clock: c, keys: make(map[string]*keyEntry), changed: make(chan struct{})}
	s.vms.reset(vms)
	return s
}

// Handler returns the HTTP interface, with the fault switches.
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

// SetFaults replaces the faults in force.
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

func parseOptionalDuration(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	return time.ParseDuration(text)
}

// wakeWatches lets waiting watches look again. The caller holds the lock.
func (s *Server) wakeWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// applyFaults applies the faults that concern every call.
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

// ErrNoRevision means that a revision to restore is not kept any more.
var ErrNoRevision = errors.New("no such revision")
