package body

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const maxTestBytes = 4 * chunkBytes

func responseOf(length int64, source io.Reader) *http.Response {
	return &http.Response{ContentLength: length, Body: io.NopCloser(source)}
}

// Guards against bytes that are lost, doubled or out of order where a buffer ends, and
// against chunks that stay in use.
func TestReadReturnsWholeBody(t *testing.T) {
	for _, size := range []int{
		0, 1, smallBodyBytes - 1, smallBodyBytes, smallBodyBytes + 1, smallBodyBytes + chunkBytes,
		smallBodyBytes + chunkBytes + 1, maxTestBytes,
	} {
		for _, announced := range []bool{true, false} {
			t.Run(fmt.Sprintf("%d bytes, announced %v", size, announced), func(t *testing.T) {
				text := make([]byte, size)
				for i := range text {
					text[i] = byte(i * 7 / 5)
				}
				length := int64(-1)
				if announced {
					length = int64(size)
				}
				for name, source := range map[string]io.Reader{
					"whole": bytes.NewReader(text), "halves": iotest.HalfReader(bytes.NewReader(text)),
					"error with the last bytes": iotest.DataErrReader(bytes.NewReader(text)),
				} {
					memory := NewMemory(maxTestBytes + chunkBytes)
					data, err := Read(responseOf(length, source), maxTestBytes, memory)
					require.NoError(t, err, name)
					assert.True(t, bytes.Equal(text, data), name)
					assert.Zero(t, memory.Used(), name)
				}
			})
		}
	}
}

// Guards against a body that is not what the replica sent and passes as complete.
func TestReadRejectsBody(t *testing.T) {
	long := strings.Repeat("x", maxTestBytes+1)
	cases := map[string]struct {
		length int64
		source io.Reader
		limit  int64
		err    error
	}{
		"announced too long":    {maxTestBytes + 1, strings.NewReader(long), 1 << 30, ErrOversized},
		"too long":              {-1, strings.NewReader(long), 1 << 30, ErrOversized},
		"ends early":            {10, strings.NewReader("x"), 1 << 30, io.ErrUnexpectedEOF},
		"ends early in a chunk": {maxTestBytes, strings.NewReader(long[:2*chunkBytes]), 1 << 30, io.ErrUnexpectedEOF},
		"connection fails":      {-1, iotest.ErrReader(io.ErrClosedPipe), 1 << 30, io.ErrClosedPipe},
		"no memory":             {-1, strings.NewReader(long), 2 * chunkBytes, ErrNoMemory},
		"no memory at all":      {-1, strings.NewReader(long), 0, ErrNoMemory},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			memory := NewMemory(c.limit)
			data, err := Read(responseOf(c.length, c.source), maxTestBytes, memory)
			assert.ErrorIs(t, err, c.err)
			assert.Nil(t, data)
			assert.Zero(t, memory.Used())
		})
	}
}

// Guards against a body that needs a share of the memory although it is small: while
// replicas send bytes without end the answers of the others must be read.
func TestSmallBodyNeedsNoMemory(t *testing.T) {
	data, err := Read(responseOf(-1, strings.NewReader("x")), maxTestBytes, NewMemory(0))
	require.NoError(t, err)
	assert.Equal(t, "x", string(data))
}

// endless is a body without an end.
type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }

// Guards against memory that bodies without an end leave to the garbage collector: the
// chunks of one that was given up serve the next.
func TestChunksAreReused(t *testing.T) {
	memory := NewMemory(1 << 30)
	inUse := memory.borrow() // another body is being read
	read := func() {
		_, err := Read(responseOf(-1, endless{}), maxTestBytes, memory)
		assert.ErrorIs(t, err, ErrOversized)
	}
	read()
	bytesPerRead := testing.Benchmark(func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			read()
		}
	}).AllocedBytesPerOp()
	assert.Less(t, bytesPerRead, int64(2*smallBodyBytes), "allocated for a body of %d bytes", maxTestBytes)
	memory.giveBack([][]byte{inUse})
	assert.Zero(t, memory.Used())
	assert.Empty(t, memory.unused, "chunks that are kept while no body is read")
}

// Guards against heads of many replies that each stay within their limits and together use
// up the memory, and against a head that keeps its share after it was given up.
func TestHeadsShareMemory(t *testing.T) {
	memory := NewMemory(40 << 10)
	read := func() (*HeadReader, error) {
		h := NewHeadReader(endless{}).WithMemory(memory)
		h.BeginHead(nil)
		_, err := h.Read(make([]byte, 10<<10))
		return h, err
	}
	first, err := read()
	require.NoError(t, err)
	second, err := read()
	require.NoError(t, err)
	_, err = read()
	require.ErrorIs(t, err, ErrNoMemory)
	first.EndHead()
	second.EndHead()
	assert.Zero(t, memory.Used())
}

// Guards against a body that leaves the memory while it is still needed, or leaves it twice.
func TestHeldBodyCountsUntilReleased(t *testing.T) {
	memory := NewMemory(2 * chunkBytes)
	held := memory.Hold(2 * chunkBytes)
	_, err := Read(responseOf(-1, endless{}), maxTestBytes, memory)
	require.ErrorIs(t, err, ErrNoMemory)
	held.Release()
	held.Release()
	assert.Zero(t, memory.Used())
	(*Holding)(nil).Release()
}

// Guards against an invalid line of a head that is missed because of where a read ends, and
// against a sound reply that is rejected because of its body or its end.
func TestInvalidLinesOfHeadAreFound(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nA: 1\r\n"
	for text, valid := range map[string]bool{
		head + "\r\n body\r\n\tbody":                              true,
		"HTTP/1.1 200 OK\nA: 1\n\n body\n body":                   true,
		head + "B:\r\nC: \r\n\r\n":                                true,
		head + "C: " + strings.Repeat(" x", 100) + "\r\n\r\n":     true,
		head + " B: 1\r\n\r\n":                                    false,
		head + "\tB: 1\r\n\r\n":                                   false,
		head + " \r\nB: 1\r\n\r\n":                                false,
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n":   false,
		"HTTP/1.0 200 OK\r\nTransfer-Encodings: chunked\r\n\r\n":  true,
		"HTTP/1.0 200 OK\r\nA: 1\r\n\r\nTransfer-Encoding: x\r\n": true,
		"HTTP/1.1 200 OK\nA: 1\n B: 1\n\n":                        false,
	} {
		for name, source := range map[string]io.Reader{
			"whole": strings.NewReader(text), "bytes": iotest.OneByteReader(strings.NewReader(text)),
			"buffered": nil,
		} {
			h, buffered := NewHeadReader(source), []byte(nil)
			reader := bufio.NewReaderSize(h, 16)
			if source == nil {
				reader, buffered = bufio.NewReader(strings.NewReader(text)), []byte(text)
			}
			h.BeginHead(buffered)
			_, err := h.ReadResponse(reader, nil)
			if valid {
				assert.NoError(t, err, "%q, %s", text, name)
			} else {
				assert.True(t, errors.Is(err, ErrInvalid), "%q, %s: %v", text, name, err)
			}
		}
	}
}
