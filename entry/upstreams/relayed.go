package upstreams

import (
	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/snapshot"
	"github.com/lovagegap/lovagegap/core/upstream"
)

// SubRequest is a sub-request that a peer asked this daemon to run.
type SubRequest interface {
	Service() string
	Upstream() upstream.ID
	AttemptID() string
	Shard() snapshot.Shard
	Version() snapshot.Version
	Deadline() clock.Millis
	Body() []byte
}

// NewRelayedExchange returns the exchange that carries out a peer's
// sub-request with this daemon's choice.
func NewRelayedExchange(sub SubRequest, choice upstream.Choice) Exchange {
	return Exchange{
		upstream: sub.Upstream(),
		service:  headerValue(sub.Service()),
		request:  headerValue(sub.AttemptID()),
		shard:    sub.Shard(),
		version:  sub.Version(),
		deadline: sub.Deadline(),
		body:     sub.Body(),
		fresh:    choice.FreshConnection(),
		gated:    choice.Gated(),
		boot:     choice.Boot(),
	}
}
