package platform

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"
)

const (
	maxWatchWait     = time.Minute
	maxRevisionsKept = 32 // newest revisions of a key, which can be restored
)

// Value is the value of a key and its revision, which every write raises by one.
// Revision 0 means that the key does not exist.
type Value struct {
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
}

type keyEntry struct {
	current Value
	history []Value
}

// Get returns the value of key.
func (s *Server) Get(key string) Value {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.get(key)
}

func (s *Server) get(key string) Value {
	if e := s.keys[key]; e != nil {
		return e.current
	}
	return Value{}
}

// CompareAndSwap writes value if the key is at expectedRevision. It returns the
// value of the key after the call and whether the write took effect. The server
// keeps value, so the caller must not change it.
func (s *Server) CompareAndSwap(key string, value []byte, expectedRevision uint64) (Value, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.get(key)
	if current.Revision != expectedRevision {
		return current, false
	}
	e := s.keys[key]
	if e == nil {
		e = &keyEntry{}
		s.keys[key] = e
	}
	e.current = Value{Value: value, Revision: expectedRevision + 1}
	e.history = append(e.history, e.current)
	if len(e.history) > maxRevisionsKept {
		e.history = e.history[1:]
	}
	s.wakeWatches()
	return e.current, true
}

// Restore sets key back to an older revision, as restoring a backup does, and
// forgets the later revisions. The next write continues from the restored
// revision. Revision 0 deletes the key. It returns ErrNoRevision for a revision
// that is not kept.
func (s *Server) Restore(key string, revision uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision == 0 {
		delete(s.keys, key)
		s.wakeWatches()
		return nil
	}
	e := s.keys[key]
	if e == nil {
		return errors.Wrapf(ErrNoRevision, "restore key %q to revision %d", key, revision)
	}
	for i := len(e.history) - 1; i >= 0; i-- {
		if e.history[i].Revision == revision {
			e.current = e.history[i]
			e.history = e.history[:i+1]
			s.wakeWatches()
			return nil
		}
	}
	return errors.Wrapf(ErrNoRevision, "restore key %q to revision %d", key, revision)
}

func (s *Server) handleRead(c echo.Context) error {
	key := c.Param("*")
	if c.QueryParam("after") == "" {
		return c.JSON(http.StatusOK, s.Get(key))
	}
	after, err := strconv.ParseUint(c.QueryParam("after"), 10, 64)
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, "after: "+err.Error())
	}
	wait, err := parseOptionalDuration(c.QueryParam("wait"))
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, "wait: "+err.Error())
	}
	return s.serveWatch(c, key, after, min(wait, maxWatchWait))
}

// serveWatch replies as soon as the revision of the key differs from after, so a
// restored, older revision counts as a change. It replies 304 when wait has passed
// without a change.
func (s *Server) serveWatch(c echo.Context, key string, after uint64, wait time.Duration) error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		value, changed, down := s.get(key), s.changed, s.faults.Down
		s.mu.Unlock()
		if down {
			return closeWithoutReply(c)
		}
		if value.Revision != after {
			return c.JSON(http.StatusOK, value)
		}
		select {
		case <-changed:
		case <-timer.C:
			return c.NoContent(http.StatusNotModified)
		case <-c.Request().Context().Done():
			return nil
		}
	}
}

func (s *Server) handleWrite(c echo.Context) error {
	expectedRevision, err := strconv.ParseUint(c.QueryParam("expect"), 10, 64)
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, "expect: "+err.Error())
	}
	value, err := io.ReadAll(io.LimitReader(c.Request().Body, MaxValueBytes+1))
	if err != nil {
		return err
	}
	if len(value) > MaxValueBytes {
		return c.NoContent(http.StatusRequestEntityTooLarge)
	}
	current, written := s.CompareAndSwap(c.Param("*"), value, expectedRevision)
	if !written {
		return c.JSON(http.StatusConflict, current)
	}
	if s.takeReplyLoss() {
		return closeWithoutReply(c)
	}
	return c.JSON(http.StatusOK, Value{Revision: current.Revision})
}

// takeReplyLoss reports whether the reply of this write is to be lost, and counts
// Faults.LoseReplies down.
func (s *Server) takeReplyLoss() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseReplies <= 0 {
		return false
	}
	s.faults.LoseReplies--
	return true
}

func (s *Server) handleRestore(c echo.Context) error {
	var body struct {
		Key      string `json:"key"`
		Revision uint64 `json:"revision"`
	}
	if err := c.Bind(&body); err != nil {
		return err
	}
	if err := s.Restore(body.Key, body.Revision); err != nil {
		return echo.NewHTTPError(http.StatusNotFound, err.Error())
	}
	return c.JSON(http.StatusOK, s.Get(body.Key))
}
