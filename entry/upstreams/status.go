package upstreams

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagegap/lovagegap/core/snapshot"
	"github.com/lovagegap/lovagegap/core/upstream"
)

const statusTimeout = time.Second // of a status call, with its dial

// Errors that Client.Status returns.
var (
	// ErrStatusUnreadable means that the status of an upstream could not be read.
	ErrStatusUnreadable = errors.New("upstream status unreadable")
	// ErrNoSpareConnection means that exchanges need all connections that the
	// limit allows, or that another status call is running. It is no evidence
	// about the upstream. Such an error is also an ErrStatusUnreadable.
	ErrNoSpareConnection = errors.New("no spare connection for a status call")
)

// Status is what an upstream reports about itself. It may be out of date or wrong.
type Status struct {
	boot        string
	state       string
	load        int
	slots       int
	connections int
	holdings    []snapshot.Holding
}

// Boot returns the boot id of the upstream's process.
func (s Status) Boot() string { return s.boot }

// Leaving reports whether the upstream states that it is leaving service.
func (s Status) Leaving() bool { return s.state == "leaving" }

// Cold reports whether the upstream states that it is in a cold start.
func (s Status) Cold() bool { return s.state == "cold" }

// Load returns the number of sub-requests that the upstream states it has.
func (s Status) Load() int { return s.load }

// Slots returns the number of sub-requests that the upstream states it can run at
// once.
func (s Status) Slots() int { return s.slots }

// Connections returns the largest number of connections that the upstream states
// it accepts.
func (s Status) Connections() int { return s.connections }

// Holdings returns the snapshots and shards that the upstream states it holds.
func (s Status) Holdings() []snapshot.Holding { return s.holdings }

type wireStatus struct {
	Boot        string `json:"boot"`
	State       string `json:"state"`
	Load        int    `json:"load"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	Holdings    []struct {
		Version snapshot.Version `json:"version"`
		Shards  int              `json:"shards"`
		Holds   []snapshot.Shard `json:"holds"`
	} `json:"holdings"`
}

func (w wireStatus) status() Status {
	s := Status{boot: w.Boot, state: w.State, load: w.Load, slots: w.Slots, connections: w.Connections}
	for _, h := range w.Holdings {
		s.holdings = append(s.holdings, snapshot.NewHolding(h.Version, h.Shards, h.Holds))
	}
	return s
}

// Status fetches the status of an upstream on a connection that no exchange
// needs, within one second. An exchange that needs the connection cancels the
// call. Errors are ErrStatusUnreadable, and ErrNoSpareConnection too if no
// connection was spare.
func (c *Client) Status(ctx context.Context, id upstream.ID) (Status, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	p := c.pool(id)
	connection, err := p.acquireSpare(ctx, func() { stop(ErrNoSpareConnection) })
	if err != nil {
		return Status{}, wrapStatusError(ctx, id, err)
	}
	defer p.endStatus()
	deadline, _ := ctx.Deadline()
	status, reusable, err := connection.fetchStatus(ctx, deadline, id)
	if !reusable {
		p.discard(connection)
	} else {
		p.release(connection)
	}
	if err != nil {
		return Status{}, wrapStatusError(ctx, id, err)
	}
	return status, nil
}

// fetchStatus fetches the status on the connection and records the boot id of the
// process at its other end. The connection may carry another exchange if reusable
// is true.
func (c *conn) fetchStatus(ctx context.Context, deadline time.Time, id upstream.ID) (s Status, reusable bool, err error) {
	request := []byte("GET /v1/status HTTP/1.1\r\nHost: " + string(id) + "\r\n\r\n")
	r, _, err := c.exchange(ctx, deadline, request, getRequest)
	if err != nil {
		return Status{}, false, err
	}
	if s, err = decodeStatus(id, r); err == nil {
		c.boot = s.boot
	}
	return s, r.reusable, err
}

func wrapStatusError(ctx context.Context, id upstream.ID, err error) error {
	if errors.Is(err, errNoPermit) || errors.Is(context.Cause(ctx), ErrNoSpareConnection) {
		err = ErrNoSpareConnection
	}
	return errors.Mark(errors.Wrapf(err, "status of %s", id), ErrStatusUnreadable)
}

func decodeStatus(id upstream.ID, r reply) (Status, error) {
	if r.status != http.StatusOK {
		return Status{}, errors.Wrapf(ErrStatusUnreadable, "status of %s: HTTP status %d", id, r.status)
	}
	var wire wireStatus
	if err := json.Unmarshal(r.body, &wire); err != nil {
		return Status{}, errors.Mark(errors.Wrapf(err, "status of %s", id), ErrStatusUnreadable)
	}
	return wire.status(), nil
}
