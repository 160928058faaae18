package socket

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// SetUserTimeout sets UserTimeout on a socket. It is meant for the Control field of a
// net.Dialer. A failure to set the option is not an error, since exchanges have
// deadlines of their own.
func SetUserTimeout(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(UserTimeout.Milliseconds()))
	})
}

// NewProbe returns a function that returns the state of the socket. Call NewProbe
// once for each connection: a new probe allocates its closures. The function is not
// safe for concurrent use.
func NewProbe(raw syscall.RawConn) func() State {
	var pollFds [1]unix.PollFd
	var state State
	poll := func(fd uintptr) {
		pollFds[0] = unix.PollFd{Fd: int32(fd), Events: unix.POLLIN | unix.POLLRDHUP}
		n, err := unix.Poll(pollFds[:], 0)
		for err == unix.EINTR {
			// The signals by which the runtime preempts goroutines interrupt it, also
			// with a timeout of 0.
			n, err = unix.Poll(pollFds[:], 0)
		}
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
