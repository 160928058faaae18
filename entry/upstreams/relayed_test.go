package upstreams

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/snapshot"
	"github.com/lovagegap/lovagegap/core/upstream"
)

// forgedSubRequest is a sub-request of a faulty peer with line breaks in its texts.
type forgedSubRequest struct{}

func (forgedSubRequest) Service() string           { return "u/s\r\nLovagegap-Ran: not-run" }
func (forgedSubRequest) Upstream() upstream.ID     { return "10.0.0.7:80" }
func (forgedSubRequest) AttemptID() string         { return "r\r\n\r\nPOST / HTTP/1.1" }
func (forgedSubRequest) Shard() snapshot.Shard     { return 0 }
func (forgedSubRequest) Version() snapshot.Version { return 1 }
func (forgedSubRequest) Deadline() clock.Millis    { return 0 }
func (forgedSubRequest) Body() []byte              { return nil }

// TestRelayedTextsAreEscaped guards against texts of a faulty peer that contain line
// breaks and so add headers or a second request on the connection to an upstream.
func TestRelayedTextsAreEscaped(t *testing.T) {
	e := NewRelayedExchange(forgedSubRequest{}, upstream.Choice{})
	require.NotContains(t, e.service, "\n")
	require.NotContains(t, e.requestID, "\n")
}
