package platform

import (
	"maps"
	"math"
	"net/http"
	"strings"

	"github.com/labstack/echo/v4"

	"github.com/lovagegap/lovagegap/core/clock"
)

// Calls holds the counts of the calls under /v1, by kind: get, watch, put, lease
// and vms. A watch counts as one call, however long it waits.
type Calls struct {
	Total     map[string]int `json:"total"`     // by kind, since the server started
	PerSecond float64        `json:"perSecond"` // of all kinds, mean over the last rateWindowSeconds full seconds
}

const rateWindowSeconds = 10

// callCounter counts calls by kind and by second. The buckets are a ring of the
// current second and the full seconds before it.
type callCounter struct {
	total   map[string]int
	buckets [rateWindowSeconds + 1]struct {
		second int64
		calls  int
	}
}

// callKind returns the kind of a call as in Calls.Total.
func callKind(c echo.Context) string {
	path := c.Request().URL.Path
	switch {
	case strings.HasPrefix(path, "/v1/vms"):
		return "vms"
	case strings.HasPrefix(path, "/v1/leases"):
		return "lease"
	case c.Request().Method == http.MethodPut:
		return "put"
	case c.QueryParam("after") != "":
		return "watch"
	default:
		return "get"
	}
}

// secondOf returns the full seconds of now.
func secondOf(now clock.Millis) int64 { return int64(math.Floor(float64(now / clock.Second))) }

func (c *callCounter) record(now clock.Millis, kind string) {
	if c.total == nil {
		c.total = make(map[string]int)
	}
	c.total[kind]++
	current := secondOf(now)
	slot := &c.buckets[current%int64(len(c.buckets))]
	if slot.second != current {
		slot.second, slot.calls = current, 0
	}
	slot.calls++
}

func (c *callCounter) perSecond(now clock.Millis) float64 {
	current := secondOf(now)
	sum := 0
	for _, slot := range c.buckets {
		if slot.second < current && slot.second >= current-rateWindowSeconds {
			sum += slot.calls
		}
	}
	return float64(sum) / rateWindowSeconds
}

// Calls returns a copy of the counts so far.
func (s *Server) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Calls{Total: maps.Clone(s.calls.total), PerSecond: s.calls.perSecond(s.clock.Now())}
}
