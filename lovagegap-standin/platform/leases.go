package platform

import (
	"fmt"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"

	"github.com/lovagegap/lovagegap/core/clock"
)

// leases holds the TTL and the time of expiry of each lease, by ID. An expired
// lease is removed by the next attempt to renew it.
type leases struct {
	lastID    uint64
	ttls      map[string]clock.Millis
	expiresAt map[string]clock.Millis
}

func (l *leases) grant(now, ttl clock.Millis) string {
	if l.expiresAt == nil {
		l.expiresAt = make(map[string]clock.Millis)
		l.ttls = make(map[string]clock.Millis)
	}
	l.lastID++
	id := strconv.FormatUint(l.lastID, 10)
	l.ttls[id], l.expiresAt[id] = ttl, now+ttl
	return id
}

// renew extends the lease by its TTL. It returns false if the lease has expired or
// is unknown.
func (l *leases) renew(now clock.Millis, id string) bool {
	expiresAt, ok := l.expiresAt[id]
	if !ok || expiresAt <= now {
		l.revoke(id)
		return false
	}
	l.expiresAt[id] = now + l.ttls[id]
	return true
}

func (l *leases) revoke(id string) {
	delete(l.expiresAt, id)
	delete(l.ttls, id)
}

func (s *Server) handleGrantLease(c echo.Context) error {
	var body struct {
		TTL string `json:"ttl"`
	}
	if err := c.Bind(&body); err != nil {
		return err
	}
	ttl, err := clock.Parse(body.TTL)
	if err != nil || ttl <= 0 {
		return echo.NewHTTPError(http.StatusBadRequest, fmt.Sprintf("ttl %q must be a positive duration", body.TTL))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	id := s.leases.grant(s.clock.Now(), ttl)
	return c.JSON(http.StatusOK, map[string]string{"id": id, "ttl": body.TTL})
}

func (s *Server) handleRenewLease(c echo.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.leases.renew(s.clock.Now(), c.Param("id")) {
		return c.NoContent(http.StatusNotFound)
	}
	return c.NoContent(http.StatusOK)
}

func (s *Server) handleRevokeLease(c echo.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leases.revoke(c.Param("id"))
	return c.NoContent(http.StatusOK)
}
