package socket

import (
	"net"
	"syscall"
	"time"

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

// RoundTrip returns the round trip time of a TCP connection as the kernel has measured
// it, or 0 if the kernel refuses to tell or has none. It makes one system call.
func RoundTrip(c net.Conn) time.Duration {
	s, ok := c.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return 0
	}
	var micros uint32
	_ = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			return
		}
		micros = info.Rtt
		if info.Min_rtt > 0 && info.Min_rtt != noMinRoundTrip {
			micros = min(micros, info.Min_rtt)
		}
	})
	return time.Duration(micros) * time.Microsecond
}

// noMinRoundTrip is what the kernel reports as the shortest round trip before the first
// measurement.
const noMinRoundTrip = 1<<32 - 1
