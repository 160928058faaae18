package socket

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// SetUserTimeout is the Control of a net.Dialer that ends a connection whose
// sent bytes stay unacknowledged. A
// failure to set it is not an error: exchanges have deadlines of their own.
func SetUserTimeout(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(UserTimeout.Milliseconds()))
	})
}

// NewProbe returns a function that looks at a socket without reading from it.
// It is built once for each connection, since the closures would otherwise be
// allocated for each exchange.
func NewProbe(raw syscall.RawConn) func() State {
	var pollFds [1]unix.PollFd
	var state State
	poll := func(fd uintptr) {
		pollFds[0] = unix.PollFd{Fd: int32(fd), Events: unix.POLLIN | unix.POLLRDHUP}
		n, err := unix.Poll(pollFds[:], 0)
		switch {
		case err != nil:
			state = UnreadData
		case n == 0:
			state = Open
		case pollFds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0:
			state = Closed
		default:
			state = UnreadData
		}
	}
	return func() State {
		if raw.Control(poll) != nil {
			return Closed
		}
		return state
	}
}
