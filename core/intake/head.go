package intake

import "bytes"

const (
	// headLineBytes is what a line of a head takes in memory beyond its bytes: a slot of
	// a map that grows by doubling, a key, a slice and a value.
	headLineBytes = 256
	// headByteFactor is the number of copies of the bytes of a head: that of the buffer
	// and that of the fields.
	headByteFactor = 2
	// minLineBytes is the least size of a line of a head: a name of one byte, a colon and
	// a line feed.
	minLineBytes = 3
	// DefaultBlankLines is the number of blank lines that may precede a request. RFC 9112
	// asks for at least one.
	DefaultBlankLines = 4
)

// HeadLimits bounds a head.
type HeadLimits struct {
	Bytes      int
	Lines      int // 0: as many as Bytes allows
	BlankLines int // before the request line; 0: DefaultBlankLines
}

// Head measures the head of a request as it arrives. The zero value is ready for the first
// head of a connection.
type Head struct {
	bytes, lines, blank int
	begun               bool // a line that is not blank was seen
	inLine              bool // the present line has bytes other than a carriage return
	complete            bool
	after               int // bytes that followed the head in the last call of Add
}

// Complete reports whether the blank line at the end of the head was seen.
func (h *Head) Complete() bool { return h.complete }

// After returns the number of bytes that arrived together with the end of the head: the
// beginning of the body.
func (h *Head) After() int { return h.after }

// Begun reports whether a byte of the head was seen.
func (h *Head) Begun() bool { return h.bytes > 0 }

// Add adds bytes that were read, and returns the reason if the head exceeds a limit. What
// follows the head is ignored.
func (h *Head) Add(data []byte, limits HeadLimits) Reason {
	for len(data) > 0 && !h.complete {
		end := bytes.IndexByte(data, '\n')
		line := data
		if end >= 0 {
			line = data[:end]
		}
		if len(line) > 1 || (len(line) == 1 && line[0] != '\r') {
			h.inLine = true
		}
		if end < 0 {
			h.bytes += len(data)
			break
		}
		h.bytes += end + 1
		data = data[end+1:]
		switch {
		case h.inLine:
			h.lines++
			h.begun = true
		case h.begun:
			h.complete = true
		default:
			h.blank++
		}
		h.inLine = false
	}
	if h.complete {
		h.after = len(data)
	}
	return h.exceeded(limits)
}

func (h *Head) exceeded(limits HeadLimits) Reason {
	if limits.BlankLines == 0 {
		limits.BlankLines = DefaultBlankLines
	}
	if limits.Lines == 0 {
		limits.Lines = limits.Bytes/minLineBytes + 1
	}
	switch {
	case h.blank > limits.BlankLines:
		return BlankLines
	case h.bytes > limits.Bytes:
		return HeadBytes
	case h.lines > limits.Lines:
		return HeadLines
	}
	return ""
}

// Cost returns what the head takes in memory beyond CoveredBytes.
func (h *Head) Cost() int64 {
	return max(0, int64(h.bytes*headByteFactor+h.lines*headLineBytes)-2*CoveredBytes)
}
