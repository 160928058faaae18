// Package socket looks at TCP sockets without reading from them.
//
// # Usage
//
//	probe := socket.NewProbe(raw)   // once for each connection
//	if probe() == socket.Open { … }
package socket

import "time"

// UserTimeout bounds how long sent bytes may stay unacknowledged. A connection
// through a middlebox that lost its state ends then.
const UserTimeout = 10 * time.Second

// State is what an idle connection looks like.
type State int

// States.
const (
	// Open means open, with nothing to read.
	Open State = iota
	// UnreadData means that bytes have arrived that belong to no exchange.
	UnreadData
	// Closed means closed by the other end.
	Closed
)
