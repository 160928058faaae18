// Package bodytest serves invalid HTTP responses for tests of clients.
//
// # Usage
//
//	for name, text := range bodytest.InvalidHeads("HTTP/1.1 200 OK\r\nX: 1\r\nConnection: close\r\n\r\n") {
//		address := bodytest.Serve(t, text)
//		…
//	}
package bodytest

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// InvalidHeads returns variants of a response, by name, whose heads are not valid HTTP. The
// response must have the version HTTP/1.1, the status 200 and a header "X: 1".
func InvalidHeads(response string) map[string]string {
	return map[string]string{
		"version 9.9":                   strings.Replace(response, "HTTP/1.1", "HTTP/9.9", 1),
		"status 000":                    strings.Replace(response, "200", "000", 1),
		"status 999":                    strings.Replace(response, "200", "999", 1),
		"space in a header name":        strings.Replace(response, "X: 1", "X Y: 1", 1),
		"space after a header name":     strings.Replace(response, "X: 1", "X : 1", 1),
		"tab after a header name":       strings.Replace(response, "X: 1", "X\t: 1", 1),
		"control byte in a header name": strings.Replace(response, "X: 1", "X\x01: 1", 1),
		"empty header name":             strings.Replace(response, "X: 1", ": 1", 1),
	}
}

// Serve starts a server that answers each request with a text and then closes the
// connection, so the text should have the header "Connection: close". It returns the address,
// and ends the server at the end of the test.
func Serve(t testing.TB, text string) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
			_, _ = io.WriteString(c, text)
			_ = c.Close()
		}
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}
