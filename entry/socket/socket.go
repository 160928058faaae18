// Package socket looks at TCP sockets without reading from them.
//
// # Usage
//
//	probe := socket.NewProbe(raw)   // once for each connection
//	if probe() == socket.Quiet { … }
package socket

import "time"

// UserTimeout bounds how long sent bytes may stay unacknowledged. A connection
// through a middlebox that lost its state ends then.
const UserTimeout = 10 * time.Second

// State is what an idle connection looks like.
type State int

// States.
const (
	// Quiet means open, with nothing to read.
	Quiet State = iota
	// Unread means that bytes have arrived that belong to no exchange.
	Unread
	// Ended means closed by the other end.
	Ended
)
