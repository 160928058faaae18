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

const statusTimeout = time.Second

// Sentinel errors of Status.
var (
	// ErrStatusUnreadable means that an upstream's status could not be read.
	ErrStatusUnreadable = errors.New("upstream status unreadable")
	// ErrNoSpareConnection means that no connection can be spared for a status call. It
	// says nothing about the upstream. It is also an ErrStatus.
	ErrNoSpareConnection = errors.New("no connection to spare")
)

// Status is an upstream's report about itself. It may lag or mislead.
type Status struct {
	boot        string
	state       string
	load        int
	slots       int
	connections int
	holdings    []snapshot.Holding
}

// Boot returns the identity of the upstream's process.
func (s Status) Boot() string { return s.boot }

// Leaving reports whether the upstream says that it is leaving.
func (s Status) Leaving() bool { return s.state == "leaving" }

// Cold reports whether the upstream says that it is in a cold start.
func (s Status) Cold() bool { return s.state == "cold" }

// Load returns the number of sub-requests that the upstream says it has.
func (s Status) Load() int { return s.load }

// Slots returns the number of slots that the upstream states.
func (s Status) Slots() int { return s.slots }

// Connections returns the connection cap that the upstream states.
func (s Status) Connections() int { return s.connections }

// Holdings returns the snapshots that the upstream says it holds.
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

// Status asks an upstream for its status on a connection that no exchange
// needs. An exchange that needs the connection ends the call. It returns
// ErrStatus and ErrBusy.
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

// fetchStatus asks for the status on the connection and notes the process at its
// other end. The connection may be used again if reusable is true.
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
		return Status{}, errors.Wrapf(ErrStatusUnreadable, "status of %s: code %d", id, r.status)
	}
	var wire wireStatus
	if err := json.Unmarshal(r.body, &wire); err != nil {
		return Status{}, errors.Mark(errors.Wrapf(err, "status of %s", id), ErrStatusUnreadable)
	}
	return wire.status(), nil
}
