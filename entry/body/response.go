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

// ReadResponse reads the head of a response, which BeginHead has begun, from reader, which
// reads from h. It is http.ReadResponse with stricter checks. It returns ErrInvalid for
//
//   - a version other than HTTP/1,
//   - a status outside the range of HTTP,
//   - a switch to another protocol, which no request asks for (RFC 9110, section 15.2.2),
//   - a name of a header that is no token, such as one with a space,
//   - a line that begins with white space, and so continues the value of the line before,
//     which senders must not use and gateways may reject (RFC 9112, section 5.2),
//   - a Transfer-Encoding before HTTP/1.1, with which the framing is unknown (section 6.1).
func (h *HeadReader) ReadResponse(reader *bufio.Reader, request *http.Request) (*http.Response, error) {
	response, err := http.ReadResponse(reader, request)
	if err != nil {
		return nil, err
	}
	switch {
	case h.folded:
		return nil, errors.Wrap(ErrInvalid, "line that begins with white space")
	case h.transferEncoded && !response.ProtoAtLeast(1, 1):
		return nil, errors.Wrapf(ErrInvalid, "transfer encoding in %s", response.Proto)
	}
	if err := checkHead(response); err != nil {
		return nil, err
	}
	return response, nil
}

func checkHead(response *http.Response) error {
	if response.ProtoMajor != 1 {
		return errors.Wrapf(ErrInvalid, "version %q", response.Proto)
	}
	if response.StatusCode < minStatus || response.StatusCode > maxStatus {
		return errors.Wrapf(ErrInvalid, "status %d", response.StatusCode)
	}
	if response.StatusCode == http.StatusSwitchingProtocols {
		return errors.Wrap(ErrInvalid, "switch of protocols without a request for it")
	}
	for name := range response.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Wrapf(ErrInvalid, "header name %q", name)
		}
	}
	return nil
}

// transport is an http.Transport that checks the heads of responses.
type transport struct {
	*http.Transport
}

// StrictTransport returns a transport whose responses have a valid version, status and names
// of headers; for others RoundTrip returns ErrInvalid. It does not see the lines of the head,
// so it accepts folded ones and a Transfer-Encoding before HTTP/1.1.
func StrictTransport(inner *http.Transport) http.RoundTripper { return transport{inner} }

// RoundTrip implements http.RoundTripper.
func (t transport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.Transport.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if err := checkHead(response); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}
