// Package body reads the bodies of HTTP replies within a limit.
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

// ErrOversized means that a body is larger than the limit.
var ErrOversized = errors.New("reply too large")

// Read reads the body of a reply to its end, at most limit bytes. It does not
// close it: Close would read an oversized body to its end. It returns
// ErrOversized, or io.ErrUnexpectedEOF if the body ends early.
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
