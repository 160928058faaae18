package socket

import (
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a sound idle connection that is closed because a signal of the runtime
// interrupts the probe.
func TestSignalsDoNotChangeTheState(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	c, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	raw, err := c.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	probe := NewProbe(raw)
	done := make(chan struct{})
	defer close(done)
	for range 2 {
		go func() {
			for {
				select {
				case <-done:
					return
				default:
					_ = syscall.Kill(os.Getpid(), syscall.SIGURG)
				}
			}
		}()
	}
	for end := time.Now().Add(500 * time.Millisecond); time.Now().Before(end); {
		require.Equal(t, Open, probe())
	}
}
