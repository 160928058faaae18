// Package body reads HTTP responses: heads that are valid, and bodies up to a size limit.
//
// # Usage
//
//	head := body.NewHeadReader(connection)
//	reader := bufio.NewReader(head)
//	head.BeginHead(nil)
//	response, err := head.ReadResponse(reader, request)
//	if errors.Is(err, body.ErrInvalid) { … }
//	head.EndHead()
//
//	client := http.Client{Transport: body.StrictTransport(&http.Transport{…})}
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
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// Sentinel errors of Read.
var (
	// ErrOversized means that a body is longer than the limit.
	ErrOversized = errors.New("response body longer than the limit")
	// ErrNoMemory means that the responses that are being read take all of the memory
	// that they share.
	ErrNoMemory = errors.New("responses being read exceed their memory")
)

const (
	// smallBodyBytes is the buffer that each body gets without a share of a Memory.
	smallBodyBytes = 4 << 10
	// chunkBytes is the size of the buffers that a Memory lends to longer bodies.
	chunkBytes = 32 << 10
)

// Memory bounds the buffers of the bodies that are read at a time, except for
// smallBodyBytes of each, and the heads that HeadReaders read, except for smallHeadBytes
// of each. It lends them in chunks and reuses those of bodies that
// were given up: left to the garbage collector, they would exceed the bound several
// times over while replies without an end come one after the other. It is safe for
// concurrent use.
type Memory struct {
	mu     sync.Mutex
	limit  int64
	used   int64
	lent   int // chunks in use
	unused [][]byte
}

// NewMemory returns a Memory of limit bytes.
func NewMemory(limit int64) *Memory { return &Memory{limit: limit} }

// Used returns the number of bytes in use.
func (m *Memory) Used() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.used
}

// SetLimit changes the limit. What is in use already is not affected.
func (m *Memory) SetLimit(limit int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.limit = limit
}

// reserve adds bytes to those in use, unless the limit is reached. A nil Memory has no
// limit.
func (m *Memory) reserve(bytes int64) bool {
	if m == nil {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.used+bytes > m.limit {
		return false
	}
	m.used += bytes
	m.trim()
	return true
}

// trim leaves unused chunks to the garbage collector that exceed the limit together with
// what is in use. The caller holds the lock.
func (m *Memory) trim() {
	keep := max(0, int((m.limit-m.used)/chunkBytes))
	for i := keep; i < len(m.unused); i++ {
		m.unused[i] = nil
	}
	m.unused = m.unused[:min(keep, len(m.unused))]
}

// release ends the use of bytes that reserve has added.
func (m *Memory) release(bytes int64) {
	if m == nil || bytes == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.used -= bytes
}

// Holding counts the bytes of a body that was read and is still needed.
type Holding struct {
	memory   *Memory
	bytes    int64
	released atomic.Bool
}

// Hold adds bytes to those in use, also beyond the limit, until the result is released.
// While the limit is reached, further large bodies fail with ErrNoMemory.
func (m *Memory) Hold(bytes int64) *Holding {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.used += bytes
	m.trim()
	return &Holding{memory: m, bytes: bytes}
}

// Release ends the use. Further calls have no effect, and a nil Holding holds nothing.
func (h *Holding) Release() {
	if h != nil && h.released.CompareAndSwap(false, true) {
		h.memory.release(h.bytes)
	}
}

// borrow returns an empty chunk, or nil if the limit is reached. A nil Memory has no
// limit.
func (m *Memory) borrow() []byte {
	if m == nil {
		return make([]byte, 0, chunkBytes)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.used+chunkBytes > m.limit {
		return nil
	}
	m.used += chunkBytes
	m.lent++
	if last := len(m.unused) - 1; last >= 0 {
		chunk := m.unused[last]
		m.unused[last] = nil
		m.unused = m.unused[:last]
		return chunk
	}
	return make([]byte, 0, chunkBytes)
}

// giveBack ends the use of chunks. When no chunk is in use the garbage collector may
// have them all.
func (m *Memory) giveBack(chunks [][]byte) {
	if m == nil || len(chunks) == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.used -= int64(len(chunks)) * chunkBytes
	if m.lent -= len(chunks); m.lent == 0 {
		m.unused = nil
		return
	}
	for _, chunk := range chunks {
		m.unused = append(m.unused, chunk[:0])
	}
	m.trim()
}

// Read returns the body of response. It returns ErrOversized if the body is longer
// than maxBytes, ErrNoMemory if memory has no room for it, io.ErrUnexpectedEOF if it
// ends early, or the error of the connection. The buffers grow with the bytes that
// arrive, whatever length the response announces, and count in memory until Read
// returns; memory may be nil. Read does not close the body: Close would read the rest
// of an oversized one.
func Read(response *http.Response, maxBytes int64, memory *Memory) ([]byte, error) {
	if response.Body == http.NoBody {
		return nil, nil // the length, as in the reply to HEAD, is that of no body
	}
	size := response.ContentLength
	if size > maxBytes {
		return nil, ErrOversized
	}
	first := int64(smallBodyBytes)
	if size >= 0 {
		first = min(first, size)
	}
	r := reader{source: response.Body, size: size, maxBytes: maxBytes}
	head, complete, err := r.fill(make([]byte, 0, first))
	if err != nil {
		return nil, err
	}
	if complete {
		return head, nil
	}
	var chunks [][]byte
	defer func() { memory.giveBack(chunks) }()
	for !complete {
		chunk := memory.borrow()
		if chunk == nil {
			return nil, ErrNoMemory
		}
		chunk, complete, err = r.fill(chunk)
		chunks = append(chunks, chunk)
		if err != nil {
			return nil, err
		}
	}
	data := append(make([]byte, 0, r.total), head...)
	for _, chunk := range chunks {
		data = append(data, chunk...)
	}
	return data, nil
}

// reader reads one body into several buffers.
type reader struct {
	source   io.Reader
	size     int64 // as announced, -1 if unknown
	maxBytes int64
	total    int64 // read so far
}

// fill reads until buffer is full or the body is complete. It returns the buffer with
// what was read, also with an error.
func (r *reader) fill(buffer []byte) (filled []byte, complete bool, err error) {
	for r.total != r.size {
		if len(buffer) == cap(buffer) {
			return buffer, false, nil
		}
		n, err := r.source.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		r.total += int64(n)
		switch {
		case r.total > r.maxBytes:
			return buffer, false, ErrOversized
		case err == io.EOF && r.total < r.size:
			return buffer, false, io.ErrUnexpectedEOF
		case err == io.EOF:
			return buffer, true, nil
		case err != nil:
			return buffer, false, err
		}
	}
	return buffer, true, nil
}
