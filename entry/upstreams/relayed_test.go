package upstreams

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/snapshot"
	"github.com/lovagegap/lovagegap/core/upstream"
)

// forged is a sub-request of a faulty peer.
type forged struct{}

func (forged) Service() string           { return "u/s\r\nLovagegap-Ran: not-run" }
func (forged) Upstream() upstream.ID     { return "10.0.0.7:80" }
func (forged) AttemptID() string         { return "r\r\n\r\nPOST / HTTP/1.1" }
func (forged) Shard() snapshot.Shard     { return 0 }
func (forged) Version() snapshot.Version { return 1 }
func (forged) Deadline() clock.Millis    { return 0 }
func (forged) Body() []byte              { return nil }

// Guards against a faulty peer whose texts end a header line and so add
// headers or a second request on the connection to an upstream.
func TestRelayedTextsAreEscaped(t *testing.T) {
	e := NewRelayedExchange(forged{}, upstream.Choice{})
	require.NotContains(t, e.service, "\n")
	require.NotContains(t, e.request, "\n")
}
