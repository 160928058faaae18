// Package body reads the bodies of HTTP responses up to a size limit.
//
// # Usage
//
//	data, err := body.Read(response, 4<<20)
//	if errors.Is(err, body.ErrOversized) { … }
package body

import (
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// ErrOversized means that a body is longer than the limit.
var ErrOversized = errors.New("response body longer than the limit")

// Read returns the body of response. It returns ErrOversized if the body is longer
// than maxBytes, io.ErrUnexpectedEOF if it ends early, or the error of the
// connection. It does not close the body: Close would read the rest of an oversized
// one.
func Read(response *http.Response, maxBytes int64) ([]byte, error) {
	size := response.ContentLength
	if size > maxBytes {
		return nil, ErrOversized
	}
	if size < 0 {
		data, err := io.ReadAll(io.LimitReader(response.Body, maxBytes+1))
		if err == nil && int64(len(data)) > maxBytes {
			return nil, ErrOversized
		}
		return data, err
	}
	data := make([]byte, size)
	_, err := io.ReadFull(response.Body, data)
	return data, err
}
