package socket

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a failure where the kernel has no round trip: of a connection that is no
// socket, or that is closed. On loopback it is far below the time of a real network.
func TestRoundTripIsOptional(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	c, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	assert.Less(t, RoundTrip(c), time.Second)
	require.NoError(t, c.Close())
	assert.Zero(t, RoundTrip(c))
	a, b := net.Pipe()
	defer b.Close()
	defer a.Close()
	assert.Zero(t, RoundTrip(a))
}
