package connlimit

import (
	"bytes"
	"io"
	"math/bits"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagegap/lovagegap/core/intake"
)

// Sentinel errors of ReadBody.
var (
	// ErrTooLarge means that a body exceeds the limit.
	ErrTooLarge = errors.New("request body exceeds the limit")
	// ErrNoMemory means that the connections hold all the memory that they may.
	ErrNoMemory = errors.New("no memory for the request")
)

// bodyGrowth is the factor by which the buffer of a body grows.
const bodyGrowth = 4

// ReadBody reads the body of a request, of at most limit bytes. Its buffers grow with the
// bytes that arrive and are reserved in the account until the request ends. It returns
// ErrTooLarge, ErrNoMemory, os.ErrDeadlineExceeded if the body is not complete within the
// timeout, or another error for one that is malformed. RefusalOf gives the answer to send.
// A request of a server without a Limiter is read without an account.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64, timeout time.Duration) ([]byte, error) {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return nil, nil
	}
	b := bodyReader{conn: connOf(r), source: r.Body, length: r.ContentLength, limit: limit}
	if b.conn != nil && b.conn.hasBody(r) {
		text, err := b.fill()
		if errors.Is(err, ErrTooLarge) {
			b.conn.limiter.report(intake.BodyBytes, b.conn)
		}
		return text, err
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(timeout))
	text, err := b.read()
	if err != nil {
		// The server reads on for a while after a refusal.
		_ = control.SetReadDeadline(time.Now().Add(refusalLinger))
		if b.conn != nil && r.Header.Get("Expect") == "" {
			b.conn.endBody(r.Body)
		}
		return nil, err
	}
	_ = control.SetReadDeadline(time.Time{})
	return text, nil
}

// RefusalOf returns the status and the message of the answer to a request for which ReadBody
// has returned an error. None of them has run.
func RefusalOf(err error) (status int, message string) {
	switch {
	case errors.Is(err, ErrTooLarge):
		return http.StatusRequestEntityTooLarge, "request body exceeds the limit"
	case errors.Is(err, ErrNoMemory):
		return http.StatusServiceUnavailable, "no memory for the request at present"
	case errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusRequestTimeout, "request body not received in time"
	default:
		return http.StatusBadRequest, "request body is incomplete or malformed"
	}
}

func connOf(r *http.Request) *conn {
	c, _ := r.Context().Value(connKey{}).(*conn)
	return c
}

// bodyReader reads one body.
type bodyReader struct {
	conn   *conn // nil: no account
	source io.Reader
	length int64 // as announced, -1 if unknown
	limit  int64

	reserved int64
}

func (b *bodyReader) read() ([]byte, error) {
	if b.conn == nil {
		return b.fill()
	}
	l := b.conn.limiter
	if b.length < 0 {
		b.conn.bodyLeft.Store(b.limit*int64(1+l.settings.ChunkOverhead) + chunkOverheadSlack)
		defer b.conn.bodyLeft.Store(0)
	}
	l.setPhase(b.conn, intake.ReadingBody)
	text, err := b.fill()
	switch {
	case err == nil:
		l.setPhase(b.conn, intake.Running)
		if !b.conn.yielded.Load() {
			return text, nil
		}
		return nil, ErrNoMemory
	case b.conn.yielded.Load():
		err = ErrNoMemory
	case errors.Is(err, ErrNoMemory):
		l.report(intake.NoMemory, b.conn)
	case errors.Is(err, ErrTooLarge):
		l.report(intake.BodyBytes, b.conn)
	case errors.Is(err, errChunkOverhead):
		l.report(intake.ChunkOverhead, b.conn)
	case errors.Is(err, os.ErrDeadlineExceeded):
		l.report(intake.BodyTimeout, b.conn)
	}
	l.release(b.conn, b.reserved)
	return nil, err
}

// fill reads to the end of the body.
func (b *bodyReader) fill() (text []byte, err error) {
	if b.length > b.limit {
		return nil, ErrTooLarge
	}
	first := int64(intake.CoveredBytes)
	if b.length >= 0 {
		first = min(first, b.length)
	}
	text = make([]byte, 0, min(first, b.limit))
	for int64(len(text)) != b.length {
		if len(text) == cap(text) {
			if int64(cap(text)) >= b.limit {
				return b.expectEnd(text)
			}
			if text, err = b.grow(text); err != nil {
				return nil, err
			}
		}
		n, err := b.source.Read(text[len(text):cap(text)])
		text = text[:len(text)+n]
		switch {
		case err == io.EOF && int64(len(text)) < b.length:
			b.giveBack(text)
			return nil, io.ErrUnexpectedEOF
		case err == io.EOF:
			return text, nil
		case err != nil:
			b.giveBack(text)
			return nil, err
		}
		if b.reserved > 0 && n > 0 {
			b.conn.limiter.progress(b.conn)
		}
	}
	return text, nil
}

// expectEnd returns the text if the body has no further byte.
func (b *bodyReader) expectEnd(text []byte) ([]byte, error) {
	var next [1]byte
	n, err := io.ReadFull(b.source, next[:])
	switch {
	case err == io.EOF:
		return text, nil
	case n > 0:
		err = ErrTooLarge
	}
	b.giveBack(text)
	return nil, err
}

// grow returns a larger buffer with the text. It returns ErrNoMemory if the account has no
// room for it.
func (b *bodyReader) grow(text []byte) ([]byte, error) {
	capacity := int64(cap(text)) * bodyGrowth
	if b.length >= 0 && b.length < capacity {
		capacity = 1 << bits.Len64(uint64(b.length-1)) // few sizes, so that buffers are reused
	}
	capacity = min(capacity, b.limit)
	if b.conn == nil {
		return append(make([]byte, 0, capacity), text...), nil
	}
	if !b.conn.limiter.reserve(b.conn, capacity, false) {
		b.giveBack(text)
		return nil, ErrNoMemory
	}
	larger := append(b.conn.limiter.takeBuffer(int(capacity)), text...)
	b.conn.limiter.release(b.conn, b.reserved)
	b.reserved = capacity
	b.giveBack(text)
	return larger, nil
}

// giveBack gives up a buffer that was reserved.
func (b *bodyReader) giveBack(text []byte) {
	if b.conn != nil && cap(text) > intake.CoveredBytes {
		b.conn.limiter.giveBuffer(text)
	}
}

// buffered is a body that was read completely.
type buffered struct{ *bytes.Reader }

func newBuffered(text []byte) buffered { return buffered{bytes.NewReader(text)} }

// Close implements io.Closer.
func (buffered) Close() error { return nil }
