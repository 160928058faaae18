// Package intake decides how many connections of callers a daemon keeps and how many
// bytes they may hold, and which connection yields when there is no room left.
//
// An Account counts the bytes that the connections of all listeners of a process hold: a
// fixed amount for each open connection, which covers its buffers and an ordinary request,
// and what large heads, bodies and unread answers take beyond it. A Head measures the head
// of a request as it arrives.
//
// # Usage
//
//	account := intake.NewAccount(intake.NewPolicy(intake.Resources{Memory: 136e6, Descriptors: 2870}))
//	c, yielding, reason := account.Open(now, intake.Callers, "192.0.2.1", handle)
//	granted, yielding := account.Reserve(now, c, 64<<10)
//	account.SetPhase(now, c, intake.Idle)
//	account.Close(c)
package intake

import "github.com/lovagegap/lovagegap/core/clock"

// Class is the kind of the listener that accepted a connection. Each has its own share of
// the connections, so that callers can't use up those of peers.
type Class int

// The classes.
const (
	Callers   Class = iota
	Peers           // other daemons
	Operators       // operators, metrics, readiness checks and requests for entry addresses
	classCount
)

// Phase is what a connection is doing.
type Phase int

// The phases.
const (
	ReadingHead Phase = iota // also before the first byte of the first request
	ReadingBody
	Running  // the request is complete; the connection never yields
	Writing  // a large answer that the other end has to read
	Idle     // between two requests
	Detached // taken over by another protocol, such as a link between daemons; never yields
)

// Reason is why a request was refused or a connection closed. Reasons are the last part of
// names of metrics.
type Reason string

// The reasons.
const (
	NoMemory           Reason = "memory"      // the bytes that all connections may hold are in use
	NoConnection       Reason = "connections" // the connections of the class are in use
	AddressConnections Reason = "address-connections"
	HeadBytes          Reason = "head-bytes"
	HeadLines          Reason = "head-lines"
	BlankLines         Reason = "blank-lines" // before the request line
	BodyBytes          Reason = "body-bytes"
	ChunkOverhead      Reason = "chunk-overhead"
	BodyTimeout        Reason = "body-timeout"
	Stalled            Reason = "stalled" // the other end does not read the answer
)

// Conn is the state of a connection in an Account.
type Conn struct {
	handle   any
	class    Class
	address  string
	phase    Phase
	held     int64 // beyond ConnectionBytes
	index    int   // in Account.conns
	closed   bool
	yielding bool
	closing  bool         // displaced, but not closed by its owner yet
	since    clock.Millis // when the request began, or the phase if there is none
	progress clock.Millis // when the other end last sent or read bytes
}

// Handle returns the value that Open received.
func (c *Conn) Handle() any { return c.handle }

// Phase returns the phase.
func (c *Conn) Phase() Phase { return c.phase }

// Held returns the bytes that are reserved beyond ConnectionBytes.
func (c *Conn) Held() int64 { return c.held }

// Account decides on the connections of a process and the bytes that they hold. It is not
// safe for concurrent use.
type Account struct {
	policy    Policy
	conns     []*Conn
	byClass   [classCount]int
	closing   [classCount]int // displaced and not closed by their owner yet
	byAddress map[addressKey]int
	held      int64 // by all connections, beyond ConnectionBytes of each
	yielding  int64 // the part of held that yielding connections will give back
}

type addressKey struct {
	class   Class
	address string
}

// NewAccount returns an account without connections.
func NewAccount(policy Policy) *Account {
	return &Account{policy: policy, byAddress: make(map[addressKey]int)}
}

// Held returns the bytes that all connections hold.
func (a *Account) Held() int64 {
	connections := len(a.conns)
	for _, count := range a.closing {
		connections += count
	}
	return a.held + int64(connections)*ConnectionBytes
}

// Reserved returns the bytes that are reserved beyond ConnectionBytes of each connection.
func (a *Account) Reserved() int64 { return a.held }

// Room returns the bytes that may still be reserved.
func (a *Account) Room() int64 { return max(0, a.policy.Bytes-a.held) }

// Connections returns the number of open connections of a class.
func (a *Account) Connections(class Class) int { return a.byClass[class] }

// Open adds a connection. The connections in yielding must be closed. If the connection is
// nil, it is refused for the reason and must be closed.
func (a *Account) Open(now clock.Millis, class Class, address string, handle any) (c *Conn, yielding []*Conn, reason Reason) {
	key := addressKey{class, address}
	if limit := a.policy.Connections[class]; a.byClass[class]+a.closing[class] >= limit+limit/2 {
		return nil, nil, NoConnection
	}
	switch {
	case a.byAddress[key] >= a.policy.PerAddress[class]:
		yielding, reason = a.longestStalled(now, class, address), AddressConnections
	case a.byClass[class] >= a.policy.Connections[class]:
		yielding, reason = a.longestStalled(now, class, ""), NoConnection
	}
	if reason != "" && yielding == nil {
		return nil, nil, reason
	}
	// The connection that yields is no longer counted as open. What it holds is given back
	// when its owner closes it. New connections are refused while those that are displaced
	// but not closed are half as many as may be open.
	for _, y := range yielding {
		a.forget(y)
		y.closing = true
		a.closing[class]++
	}
	c = &Conn{handle: handle, class: class, address: address, since: now, progress: now, index: len(a.conns)}
	a.conns = append(a.conns, c)
	a.byClass[class]++
	a.byAddress[key]++
	return c, yielding, ""
}

// longestStalled returns the connection of a class that should yield to a new one, or nil:
// the one that has waited longest for the other end. A connection in the middle of a
// request counts stalledRequestWeight times, since a well-behaved caller completes what it
// has begun and keeps idle connections. The address restricts the choice unless it is "".
func (a *Account) longestStalled(now clock.Millis, class Class, address string) []*Conn {
	var worst *Conn
	var worstScore clock.Millis = -1
	for _, c := range a.conns {
		if c.class != class || (address != "" && c.address != address) || !c.mayYield() {
			continue
		}
		score := now - c.progress
		if c.phase != Idle {
			score *= stalledRequestWeight
		}
		if score > worstScore {
			worst, worstScore = c, score
		}
	}
	if worst == nil {
		return nil
	}
	a.markYielding(worst)
	return []*Conn{worst}
}

// mayYield reports whether the connection waits for the other end.
func (c *Conn) mayYield() bool { return !c.yielding && c.phase != Running && c.phase != Detached }

func (a *Account) markYielding(c *Conn) {
	c.yielding = true
	a.yielding += c.held
}

// Reserve adds bytes to what the connection holds. The connections in yielding must give up
// their request or be closed. If it is not granted, the request must be refused.
func (a *Account) Reserve(now clock.Millis, c *Conn, bytes int64) (granted bool, yielding []*Conn) {
	if c.closed || c.yielding {
		return false, nil
	}
	if yielding, granted = a.makeRoom(now, c, bytes); granted {
		a.hold(c, bytes)
	}
	return granted, yielding
}

// ReserveHeld adds bytes that the process holds in any case, such as those of an answer.
// The connections in yielding, among which c may be, must be closed.
func (a *Account) ReserveHeld(now clock.Millis, c *Conn, bytes int64) (yielding []*Conn) {
	if c.closed {
		return nil
	}
	a.hold(c, bytes)
	yielding, _ = a.choose(now, a.held-a.yielding-a.policy.Bytes, func(*Conn) bool { return true })
	return yielding
}

func (a *Account) hold(c *Conn, bytes int64) {
	c.held += bytes
	a.held += bytes
	if c.yielding {
		a.yielding += bytes
	}
}

// makeRoom chooses the connections that yield so that there is room for bytes. It grants
// them before the chosen ones have given up theirs, as long as both together stay within
// overlapFraction of the policy.
func (a *Account) makeRoom(now clock.Millis, c *Conn, bytes int64) (yielding []*Conn, granted bool) {
	missing := a.held - a.yielding + bytes - a.policy.Bytes
	if missing > 0 {
		enough := false
		yielding, enough = a.choose(now, missing, func(other *Conn) bool {
			return other != c && other.overdue(now)
		})
		if !enough {
			return yielding, false
		}
	}
	return yielding, float64(a.held+bytes) <= float64(a.policy.Bytes)*(1+overlapFraction)
}

// overdue reports whether a connection must yield to others: it makes no progress, or needs
// much longer than a well-behaved caller.
func (c *Conn) overdue(now clock.Millis) bool {
	return now-c.progress >= stallGrace || now-c.since >= requestGrace
}

// choose marks connections as yielding until they hold the missing bytes beyond
// ConnectionBytes, those with the highest score first. It reports whether they are enough.
func (a *Account) choose(now clock.Millis, missing int64, eligible func(*Conn) bool) (chosen []*Conn, enough bool) {
	for missing > 0 {
		var worst *Conn
		worstScore := -1.0
		for _, c := range a.conns {
			if c.held == 0 || !c.mayYield() || !eligible(c) {
				continue
			}
			if score := c.score(now); score > worstScore {
				worst, worstScore = c, score
			}
		}
		if worst == nil {
			return chosen, false
		}
		missing -= worst.held
		a.markYielding(worst)
		chosen = append(chosen, worst)
	}
	return chosen, true
}

// score is the product of the bytes that a connection holds and of the time for which it
// has kept them without progress, with a part of the time of the whole request, so that
// one which sends a byte now and then does not escape.
func (c *Conn) score(now clock.Millis) float64 {
	return float64(c.held) * float64(now-c.progress+(now-c.since)*requestAgeWeight)
}

// Release takes bytes from what the connection holds.
func (a *Account) Release(c *Conn, bytes int64) {
	if c.closed {
		return
	}
	a.hold(c, -min(bytes, c.held))
}

// Progress records that the other end has sent or read bytes.
func (a *Account) Progress(now clock.Millis, c *Conn) { c.progress = now }

// SetPhase records the phase of a connection. A connection that becomes idle holds nothing
// beyond ConnectionBytes.
func (a *Account) SetPhase(now clock.Millis, c *Conn, phase Phase) {
	if c.closed {
		return
	}
	if phase == Idle {
		a.hold(c, -c.held)
	}
	if phase == Idle || phase == Writing || (phase == ReadingHead && c.phase == Idle) {
		c.since = now
	}
	c.phase, c.progress = phase, now
}

// Close removes a connection with all that it holds. Further calls have no effect.
func (a *Account) Close(c *Conn) {
	if c.closed {
		return
	}
	a.forget(c)
	if c.closing {
		a.closing[c.class]--
	}
	a.hold(c, -c.held)
	c.closed = true
}

// forget ends the count of a connection among those of its class and address.
func (a *Account) forget(c *Conn) {
	if c.index < 0 {
		return
	}
	last := len(a.conns) - 1
	a.conns[c.index] = a.conns[last]
	a.conns[c.index].index = c.index
	a.conns[last] = nil
	a.conns = a.conns[:last]
	c.index = -1
	a.byClass[c.class]--
	key := addressKey{c.class, c.address}
	if a.byAddress[key]--; a.byAddress[key] == 0 {
		delete(a.byAddress, key)
	}
}
