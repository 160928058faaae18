package connlimit

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagegap/lovagegap/core/intake"
)

const (
	// RetryAfter is the Retry-After header of refusals for want of memory, in seconds: about
	// the time after which a connection that makes no progress has yielded.
	RetryAfter = "0.500"
	// refusalLinger is the time for which a refused connection is still read, so that the
	// refusal is not lost by a reset.
	refusalLinger = 250 * time.Millisecond
	// refusalLingerBytes bounds what is read in that time.
	refusalLingerBytes = 256 << 10
	// lingerBufferBytes is the size of the buffer that is used for it.
	lingerBufferBytes = 4 << 10
	// bufferedReads is the number of reads of 512 bytes after which the server's buffer of
	// 4 KiB is empty.
	bufferedReads = 10
	// coveredWriteBytes is the size up to which an answer needs no reservation.
	coveredWriteBytes = 16 << 10
	// writePieceBytes is what is written between two notes of progress.
	writePieceBytes = 64 << 10
	// reserveStepBytes is the least reservation for a head.
	reserveStepBytes = 16 << 10
)

var (
	// errRefused ends a connection whose request was refused. The server answers nothing
	// after an error of the network.
	errRefused = &net.OpError{Op: "read", Err: errors.New("connection refused by its limits")}
	// errChunkOverhead means that a chunked body has too many framing bytes.
	errChunkOverhead = errors.New("too many bytes of chunk framing")
	past             = time.Unix(1, 0)
)

// What a connection is read for.
const (
	modeHead     int32 = iota
	modeRequest        // a body, or the wait for the caller to leave
	modeDetached       // another protocol
)

// conn is a connection in the account of a Limiter.
type conn struct {
	net.Conn
	limiter *Limiter
	options *Options
	state   *intake.Conn

	mode         atomic.Int32
	yielded      atomic.Bool
	shutOnce     sync.Once
	closeOnce    sync.Once
	ended        atomic.Bool // the request was refused; nothing more is read for it
	head         intake.Head
	headReserved int64
	writeUntil   time.Time    // the write deadline
	bodyLeft     atomic.Int64 // bytes of the body and its framing; 0 is no limit
}

// NetConn returns the connection that is wrapped.
func (c *conn) NetConn() net.Conn { return c.Conn }

// Close closes the connection and removes it from the account. The server calls it when it
// has given up its buffers.
func (c *conn) Close() error {
	err := net.ErrClosed
	c.closeOnce.Do(func() {
		if c.ended.Load() {
			_ = c.Conn.SetDeadline(time.Now().Add(refusalLinger))
			c.linger(make([]byte, lingerBufferBytes))
		}
		err = c.shut()
		c.limiter.mu.Lock()
		defer c.limiter.mu.Unlock()
		c.limiter.account.Close(c.state)
		c.limiter.dropIdleBuffers()
	})
	return err
}

// shut closes the connection, so that the server ends its request. It stays in the account
// until Close.
func (c *conn) shut() error {
	err := net.ErrClosed
	c.shutOnce.Do(func() { err = c.Conn.Close() })
	return err
}

// endBody makes the server see the end of a body that is not read any further. It would
// keep the connection for half a second otherwise, also one that was displaced.
func (c *conn) endBody(source io.Reader) {
	c.ended.Store(true)
	var rest [512]byte
	for range bufferedReads {
		if _, err := source.Read(rest[:]); err != nil {
			return
		}
	}
}

// linger waits for a moment for the caller to read the answer, until the deadline. It uses b
// as a buffer.
func (c *conn) linger(b []byte) {
	if c.CloseWrite() != nil {
		return
	}
	for left := refusalLingerBytes; left > 0; {
		n, err := c.Conn.Read(b)
		if err != nil {
			return
		}
		left -= n
	}
}

// CloseWrite closes the sending side.
func (c *conn) CloseWrite() error {
	if inner, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return inner.CloseWrite()
	}
	return errors.ErrUnsupported
}

// yield makes the connection give up its request: one whose request is still being read
// is refused, and any other is closed.
func (c *conn) yield() {
	c.limiter.report(intake.NoMemory, c)
	c.yielded.Store(true)
	if c.limiter.phase(c) == intake.Writing {
		_ = c.shut()
		return
	}
	_ = c.Conn.SetReadDeadline(past)
}

func (l *Limiter) phase(c *conn) intake.Phase {
	l.mu.Lock()
	defer l.mu.Unlock()
	return c.state.Phase()
}

// hasBody reports whether the whole body of the request arrived together with its head, so that
// reading it does not wait.
func (c *conn) hasBody(r *http.Request) bool {
	return r.ContentLength > 0 && r.ContentLength <= int64(c.head.After()) && r.ContentLength <= intake.CoveredBytes
}

// SetWriteDeadline implements net.Conn. The server removes the deadline after each request;
// it stays, since Write renews it.
func (c *conn) SetWriteDeadline(t time.Time) error {
	if t.IsZero() && c.mode.Load() != modeDetached {
		return nil
	}
	c.writeUntil = t
	return c.Conn.SetWriteDeadline(t)
}

// renewWriteDeadline gives the next write at least the stall timeout, and at most twice that.
// Setting a deadline may cost a system call, so it is not done for each answer.
func (c *conn) renewWriteDeadline() {
	stall := c.limiter.settings.StallTimeout.Duration()
	if now := time.Now(); c.writeUntil.Sub(now) < stall {
		_ = c.SetWriteDeadline(now.Add(2 * stall))
	}
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	mode := c.mode.Load()
	if c.ended.Load() {
		return 0, io.EOF
	}
	if c.yielded.Load() {
		return 0, c.yieldError(mode, b)
	}
	n, err := c.Conn.Read(b)
	if n == 0 || err != nil {
		if c.yielded.Load() {
			return 0, c.yieldError(mode, b)
		}
		return n, err
	}
	switch mode {
	case modeHead:
		if reason := c.addHead(b[:n]); reason != "" {
			c.limiter.report(reason, c)
			return 0, c.refuse(reason, b)
		}
	case modeRequest:
		if left := c.bodyLeft.Load(); left > 0 {
			if c.bodyLeft.Store(max(1, left-int64(n))); left <= int64(n) {
				return 0, errChunkOverhead
			}
		}
	}
	return n, nil
}

// yieldError ends a request that must yield. The handler answers while it reads the body.
func (c *conn) yieldError(mode int32, b []byte) error {
	if mode == modeHead && c.head.Begun() {
		return c.refuse(intake.NoMemory, b)
	}
	return errRefused
}

// addHead adds bytes of a head and reserves what it takes. It returns the reason if the
// request must be refused.
func (c *conn) addHead(data []byte) intake.Reason {
	wasComplete, wasBegun := c.head.Complete(), c.head.Begun()
	if wasComplete {
		return ""
	}
	limits := intake.HeadLimits{
		Bytes: defaultHeadBytes + headSlackBytes, Lines: c.limiter.settings.HeadLines, BlankLines: c.limiter.settings.BlankLines,
	}
	if c.options.HeadBytes != nil {
		limits.Bytes = c.options.HeadBytes() + headSlackBytes
	}
	if reason := c.head.Add(data, limits); reason != "" {
		return reason
	}
	if !c.head.Complete() && !wasBegun {
		c.limiter.setPhase(c, intake.ReadingHead)
	}
	if missing := c.head.Cost() - c.headReserved; missing > 0 {
		missing = max(missing, reserveStepBytes)
		if !c.limiter.reserve(c, missing, false) {
			return intake.NoMemory
		}
		c.headReserved += missing
	}
	return ""
}

// refuse answers a request whose head was not read completely, and waits a moment for the
// caller to read the answer. It uses b as a buffer.
func (c *conn) refuse(reason intake.Reason, b []byte) error {
	status, extra := http.StatusRequestHeaderFieldsTooLarge, ""
	switch reason {
	case intake.NoMemory:
		status, extra = http.StatusServiceUnavailable, "Retry-After: "+RetryAfter+"\r\n"
	case intake.BlankLines:
		status = http.StatusBadRequest
	}
	text := http.StatusText(status) + "\n"
	_ = c.Conn.SetDeadline(time.Now().Add(refusalLinger))
	_, err := fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\n%sConnection: close\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), extra, len(text), text)
	if err == nil {
		c.linger(b)
	}
	return errRefused
}

// Write implements net.Conn. A caller that reads nothing for twice the stall timeout at most
// ends the connection.
func (c *conn) Write(b []byte) (int, error) {
	if c.mode.Load() == modeDetached {
		return c.Conn.Write(b)
	}
	if len(b) <= coveredWriteBytes {
		c.renewWriteDeadline()
		return c.writePiece(b)
	}
	before := c.limiter.phase(c)
	c.limiter.setPhase(c, intake.Writing)
	c.limiter.reserve(c, int64(len(b)), true)
	defer func() {
		c.limiter.release(c, int64(len(b)))
		c.limiter.setPhase(c, before)
	}()
	written := 0
	for written < len(b) {
		c.renewWriteDeadline()
		n, err := c.writePiece(b[written:min(len(b), written+writePieceBytes)])
		written += n
		if err != nil {
			return written, err
		}
		c.limiter.progress(c)
	}
	return written, nil
}

func (c *conn) writePiece(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	var network net.Error
	if errors.As(err, &network) && network.Timeout() {
		c.limiter.report(intake.Stalled, c)
	}
	return n, err
}
