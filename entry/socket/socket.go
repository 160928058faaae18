// Package socket checks the state and the round trip of TCP sockets without reading from
// them.
//
// # Usage
//
//	probe := socket.NewProbe(raw)   // once for each connection
//	if probe() == socket.Open { … }
//	trip := socket.RoundTrip(conn)  // 0 if it is not known
package socket

import "time"

// UserTimeout bounds the time that sent bytes may stay unacknowledged. It ends
// connections through a middlebox that has lost their state.
const UserTimeout = 10 * time.Second

// State is the state of an idle connection.
type State int

// States of an idle connection.
const (
	// Open means that the connection is open and there is nothing to read.
	Open State = iota
	// UnreadData means that bytes have arrived, which belong to no exchange, or
	// that polling the socket failed.
	UnreadData
	// Closed means that the other end has closed the connection, that it failed,
	// or that this process has closed the socket.
	Closed
)
