package body

import (
	"bytes"
	"io"
)

// maxHeadLines bounds the lines of a head, since each becomes an entry of a map that takes
// a multiple of its bytes.
const maxHeadLines = 256

const (
	// smallHeadBytes is what each head may take without a share of a Memory.
	smallHeadBytes = 8 << 10
	// headLineBytes is what a line of a head takes beyond its bytes, and headByteFactor
	// the number of copies of its bytes.
	headLineBytes  = 256
	headByteFactor = 2
	// headStepBytes is the least reservation for a head.
	headStepBytes = 16 << 10
)

// transferEncoding begins the line of a header that http.ReadResponse removes.
const transferEncoding = "transfer-encoding:"

// HeadReader reads from a connection and bounds the lines of the heads on it, and the
// memory that the heads on all connections take. Its ReadResponse rejects invalid heads. It
// is not safe for concurrent use.
type HeadReader struct {
	inner    io.Reader
	memory   *Memory
	inHead   bool
	lines    int // of the present head, as far as it was read
	bytes    int64
	reserved int64

	complete        bool // whether the empty line that ends the present head was read
	lineBytes       int  // of the line that is being read, without the line feed
	linePrefix      [len(transferEncoding)]byte
	folded          bool // whether a line of the present head begins with white space
	transferEncoded bool // whether the present head has a Transfer-Encoding header
}

// NewHeadReader returns a reader of the connection.
func NewHeadReader(inner io.Reader) *HeadReader { return &HeadReader{inner: inner} }

// WithMemory makes heads count in a memory from the next one on, and returns the reader.
func (h *HeadReader) WithMemory(memory *Memory) *HeadReader {
	h.memory = memory
	return h
}

// BeginHead is called before the head of a message is read. The buffered bytes are those of
// the message that were read with an earlier one; they count neither as lines nor as memory.
func (h *HeadReader) BeginHead(buffered []byte) {
	h.EndHead()
	h.inHead, h.lines, h.bytes = true, 0, 0
	h.complete, h.lineBytes, h.folded, h.transferEncoded = false, 0, false, false
	h.scan(buffered)
}

// scan inspects the lines in the next bytes of the head. It ignores what follows the head.
func (h *HeadReader) scan(text []byte) {
	for len(text) > 0 && !h.complete {
		line, rest, ended := bytes.Cut(text, []byte{'\n'})
		copy(h.linePrefix[min(h.lineBytes, len(h.linePrefix)):], line)
		h.lineBytes += len(line)
		if ended {
			h.inspectLine(h.linePrefix[:min(h.lineBytes, len(h.linePrefix))])
			h.lineBytes = 0
		}
		text = rest
	}
}

// inspectLine inspects a line of the head by its first bytes, which include a carriage
// return if they are the whole line.
func (h *HeadReader) inspectLine(prefix []byte) {
	switch {
	case len(prefix) == 0, string(prefix) == "\r":
		h.complete = true
	case prefix[0] == ' ', prefix[0] == '\t':
		h.folded = true
	case bytes.EqualFold(prefix, []byte(transferEncoding)):
		h.transferEncoded = true
	}
}

// EndHead is called when the head is complete or given up; what follows is not bounded.
func (h *HeadReader) EndHead() {
	h.inHead = false
	h.memory.release(h.reserved)
	h.reserved = 0
}

// Read implements io.Reader. It returns ErrOversized instead of further bytes of a head
// with more lines than the limit, so one that ends within the same read may have more. It
// returns ErrNoMemory if the memory has no room for the head.
func (h *HeadReader) Read(b []byte) (int, error) {
	if h.inHead && h.lines > maxHeadLines {
		return 0, ErrOversized
	}
	n, err := h.inner.Read(b)
	if h.inHead {
		h.scan(b[:n])
		h.lines += bytes.Count(b[:n], []byte{'\n'})
		h.bytes += int64(n)
		if missing := h.bytes*headByteFactor + int64(h.lines)*headLineBytes - smallHeadBytes - h.reserved; missing > 0 {
			missing = max(missing, headStepBytes)
			if !h.memory.reserve(missing) {
				return 0, ErrNoMemory
			}
			h.reserved += missing
		}
	}
	return n, err
}
