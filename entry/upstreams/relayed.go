package upstreams

import (
	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/snapshot"
	"github.com/lovagegap/lovagegap/core/upstream"
)

// SubRequest is a sub-request that a peer relays through this daemon.
type SubRequest interface {
	Service() string
	Upstream() upstream.ID
	AttemptID() string
	Shard() snapshot.Shard
	Version() snapshot.Version
	Deadline() clock.Millis
	Body() []byte
}

// NewRelayedExchange returns the exchange for a sub-request of a peer. choice is
// this daemon's choice for its upstream. The request id stays that of the peer.
func NewRelayedExchange(subRequest SubRequest, choice upstream.Choice) Exchange {
	return Exchange{
		upstream:  subRequest.Upstream(),
		service:   headerValue(subRequest.Service()),
		requestID: headerValue(subRequest.AttemptID()),
		shard:     subRequest.Shard(),
		version:   subRequest.Version(),
		deadline:  subRequest.Deadline(),
		body:      subRequest.Body(),
		fresh:     choice.FreshConnection(),
		gated:     choice.Gated(),
		boot:      choice.Boot(),
	}
}
