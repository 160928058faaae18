package body

import (
	"bufio"
	"net/http"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

// ErrInvalid means that the head of a response is not valid HTTP.
var ErrInvalid = errors.New("invalid response head")

// Statuses outside this range are invalid (RFC 9110, section 15).
const (
	minStatus = 100
	maxStatus = 599
)

// ReadResponse reads the head of a response. It is http.ReadResponse with stricter checks:
// it returns ErrInvalid for a status outside the range of HTTP, and for a name of a header
// that is no token, such as one with a space.
func ReadResponse(reader *bufio.Reader, request *http.Request) (*http.Response, error) {
	response, err := http.ReadResponse(reader, request)
	if err != nil {
		return nil, err
	}
	if err := checkHead(response); err != nil {
		return nil, err
	}
	return response, nil
}

func checkHead(response *http.Response) error {
	if response.StatusCode < minStatus || response.StatusCode > maxStatus {
		return errors.Wrapf(ErrInvalid, "status %d", response.StatusCode)
	}
	for name := range response.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Wrapf(ErrInvalid, "header name %q", name)
		}
	}
	return nil
}
