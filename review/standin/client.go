package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// request is a request of a client attempt.
type request struct {
	method, host, path, id string
	body                   string
	deadline               time.Duration
}

// answer is what the client got. The status is 0 if the connection ended or the time
// passed without an answer.
type answer struct {
	status     int
	stamp      string
	parts      string
	missing    string
	retryAfter string
	body       []byte
	failure    string
	closing    bool
}

// clientConn is a connection of a client to a daemon. It never repeats a request by
// itself.
type clientConn struct {
	conn   net.Conn
	reader *bufio.Reader
}

func dialClient(addr string) (*clientConn, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{conn: c, reader: bufio.NewReader(c)}, nil
}

func (c *clientConn) close() { _ = c.conn.Close() }

// send sends a request and waits for the answer until the deadline of the request.
func (c *clientConn) send(q request) answer {
	_ = c.conn.SetDeadline(time.Now().Add(q.deadline + time.Second))
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n",
		q.method, q.path, q.host, q.id, q.deadline.Milliseconds())
	if q.method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	b.WriteString("\r\n" + q.body)
	if _, err := io.WriteString(c.conn, b.String()); err != nil {
		return answer{failure: "write: " + err.Error()}
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: q.method})
	if err != nil {
		return answer{failure: "read: " + err.Error()}
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{failure: "read the body: " + err.Error()}
	}
	return answer{
		status: response.StatusCode, stamp: response.Header.Get("Server-Stamp"), parts: response.Header.Get("Part-Stamps"),
		missing: response.Header.Get("Missing-Parts"), retryAfter: response.Header.Get("Retry-After"),
		body: body, closing: response.Close,
	}
}

// String describes the answer for the record.
func (a answer) String() string {
	if a.status == 0 {
		return "no answer (" + a.failure + ")"
	}
	if a.status != http.StatusOK {
		return fmt.Sprintf("%d (%s)", a.status, strings.TrimSpace(string(a.body)))
	}
	return fmt.Sprintf("%d, stamp %q", a.status, a.stamp)
}
