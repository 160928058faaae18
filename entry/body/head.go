package body

import (
	"bytes"
	"io"
)

// maxHeadLines bounds the lines of a head, since each becomes an entry of a map that takes
// a multiple of its bytes.
const maxHeadLines = 256

// HeadReader reads from a connection and bounds the lines of the heads on it. It is not
// safe for concurrent use.
type HeadReader struct {
	inner  io.Reader
	inHead bool
	lines  int // of the present head, as far as it was read
}

// NewHeadReader returns a reader of the connection.
func NewHeadReader(inner io.Reader) *HeadReader { return &HeadReader{inner: inner} }

// BeginHead is called before the head of a message is read.
func (h *HeadReader) BeginHead() { h.inHead, h.lines = true, 0 }

// EndHead is called when the head is complete; what follows is not bounded.
func (h *HeadReader) EndHead() { h.inHead = false }

// Read implements io.Reader. It returns ErrOversized instead of further bytes of a head
// with more lines than the limit, so one that ends within the same read may have more.
func (h *HeadReader) Read(b []byte) (int, error) {
	if h.inHead && h.lines > maxHeadLines {
		return 0, ErrOversized
	}
	n, err := h.inner.Read(b)
	if h.inHead {
		h.lines += bytes.Count(b[:n], []byte{'\n'})
	}
	return n, err
}
