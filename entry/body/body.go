// Package body reads the bodies of HTTP responses up to a size limit.
//
// # Usage
//
//	data, err := body.Read(response, 4<<20, nil)
//	if errors.Is(err, body.ErrOversized) { … }
//
//	limit := body.NewMemory(48 << 20) // shared by all responses that are read at a time
//	data, err = body.Read(response, 4<<20, limit)
//	if errors.Is(err, body.ErrNoMemory) { … }
package body

import (
	"io"
	"net/http"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// Sentinel errors of Read.
var (
	// ErrOversized means that a body is longer than the limit.
	ErrOversized = errors.New("response body longer than the limit")
	// ErrNoMemory means that the bodies that are being read take all of the memory
	// that they share.
	ErrNoMemory = errors.New("response bodies being read exceed their memory")
)

// smallBodyBytes is the buffer that each body gets without a share of a Memory.
const smallBodyBytes = 4 << 10

// Memory bounds the buffers of the bodies that are read at a time, except for
// smallBodyBytes of each. It is safe for concurrent use.
type Memory struct {
	limit int64
	used  atomic.Int64
}

// NewMemory returns a Memory of limit bytes.
func NewMemory(limit int64) *Memory { return &Memory{limit: limit} }

// Used returns the number of bytes in use.
func (m *Memory) Used() int64 { return m.used.Load() }

func (m *Memory) take(n int64) bool {
	if m == nil || m.used.Add(n) <= m.limit {
		return true
	}
	m.used.Add(-n)
	return false
}

func (m *Memory) release(n int64) {
	if m != nil {
		m.used.Add(-n)
	}
}

// Read returns the body of response. It returns ErrOversized if the body is longer
// than maxBytes, ErrNoMemory if memory has no room for it, io.ErrUnexpectedEOF if it
// ends early, or the error of the connection. The buffer grows with the bytes that
// arrive, whatever length the response announces, and counts in memory until Read
// returns; memory may be nil. Read does not close the body: Close would read the rest
// of an oversized one.
func Read(response *http.Response, maxBytes int64, memory *Memory) ([]byte, error) {
	size := response.ContentLength
	if size > maxBytes {
		return nil, ErrOversized
	}
	capacity := int64(smallBodyBytes)
	if size >= 0 {
		capacity = min(capacity, size)
	}
	data := make([]byte, 0, capacity)
	taken := int64(0)
	defer func() { memory.release(taken) }()
	for int64(len(data)) != size {
		if len(data) == cap(data) {
			more := min(int64(max(len(data), smallBodyBytes)), maxBytes+1-int64(len(data)))
			if !memory.take(more) {
				return nil, ErrNoMemory
			}
			taken += more
			data = append(make([]byte, 0, int64(len(data))+more), data...)
		}
		n, err := response.Body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case int64(len(data)) > maxBytes:
			return nil, ErrOversized
		case err == io.EOF && int64(len(data)) < size:
			return nil, io.ErrUnexpectedEOF
		case err == io.EOF:
			return data, nil
		case err != nil:
			return nil, err
		}
	}
	return data, nil
}
