package operators

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
)

// Guards against a reply with an invalid status that is taken for a success, or for a
// change that was or was not applied.
func TestInvalidStatusIsNoSuccess(t *testing.T) {
	for _, status := range []string{"000", "099", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
					_, _ = io.WriteString(c, "HTTP/1.1 "+status+" Odd\r\nConnection: close\r\nContent-Length: 14\r\n\r\n"+`{"revision":9}`)
					_ = c.Close()
				}
			}))
			defer server.Close()
			c := New([]string{strings.TrimPrefix(server.URL, "http://")}, 5*time.Second)
			_, err := c.Settings(t.Context())
			assert.True(t, errors.Is(err, ErrRefused), "settings: %v", err)
			err = c.Check(t.Context(), []byte("{}"))
			assert.True(t, errors.Is(err, ErrRefused), "check: %v", err)
			err = c.Drain(t.Context())
			assert.True(t, errors.Is(err, ErrRefused), "drain: %v", err)
			_, err = c.Apply(t.Context(), Change{})
			assert.True(t, errors.Is(err, ErrUnknownOutcome), "apply: %v", err)
		})
	}
}
