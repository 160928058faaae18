package ticket

import (
	"github.com/lovagegap/lovagegap/core/clock"
)

// Status is the status of a ticket when a request presents it. Only StatusAdmitted
// allows the request to run.
type Status uint8

// Statuses of a ticket.
const (
	// StatusMalformed: the request has no ticket, or one without a valid signature.
	StatusMalformed Status = iota
	// StatusAdmitted: the request may run now. RecordOutcome or Release must follow.
	StatusAdmitted
	// StatusNotOwner: another daemon, the owner, issued the ticket, and only that
	// daemon may run the request.
	StatusNotOwner
	// StatusRunning: a request with the ticket is running.
	StatusRunning
	// StatusCompleted: a request with the ticket has run.
	StatusCompleted
	// StatusUnknown: it is not known whether a request with the ticket has run.
	StatusUnknown
	// StatusExpired: the ticket has expired. A request may have run with it before.
	StatusExpired
)

var statusNames = [...]string{
	"malformed", "run", "elsewhere", "already running", "ran", "unknown", "expired",
}

// String returns the name of the status, as it appears in messages.
func (s Status) String() string { return statusNames[s] }

// Decision is the result of Admit.
type Decision struct {
	status Status
	ticket Ticket
}

// Status returns the status of the ticket.
func (d Decision) Status() Status { return d.status }

// Owner returns the id of the daemon that may run the request. It is "" for
// StatusMalformed.
func (d Decision) Owner() string { return d.ticket.owner }

// Ticket returns the ticket, for RecordOutcome and Release. It is the zero Ticket for
// StatusMalformed.
func (d Decision) Ticket() Ticket { return d.ticket }

// Outcome is how an admitted request ended.
type Outcome uint8

// Outcomes of admitted requests.
const (
	// OutcomeUncertain: the request may have run.
	OutcomeUncertain Outcome = iota
	// OutcomeCompleted: the request has run.
	OutcomeCompleted
)

const (
	// Lifetime is the time for which a ticket is valid. A caller requests a ticket
	// right before the request that it is for.
	Lifetime = clock.Minute

	// DefaultCapacity is the maximum number of unexpired tickets of an Issuer. It
	// allows 4,300 tickets per second and takes 4 MB.
	DefaultCapacity = 1 << 18
)

// state is the use of a ticket so far.
type state uint8

const (
	unused state = iota
	inProgress
	completed
	uncertain
)

// record is the state of an issued ticket.
type record struct {
	expires clock.Millis
	state   state
}

// Issuer issues tickets and keeps the state of each until it expires. The zero value
// issues no tickets and finds every ticket malformed. It is not safe for concurrent
// use.
type Issuer struct {
	owner         string
	incarnation   uint64
	keys          [][]byte
	capacity      int
	records       []record     // ring buffer, in order of issue and so of expiry
	head          int          // index of the oldest record
	count         int          // records in use
	firstSequence uint64       // sequence number of the oldest record
	latestTime    clock.Millis // highest time seen; see dropExpired
}

// NewIssuer returns the issuer of the daemon with the id owner. The incarnation must
// differ from that of every earlier process with the same id. All daemons share the
// keys: the first signs, and tickets signed with any of them are valid, so that a key
// can be replaced while there are unexpired tickets.
func NewIssuer(owner string, incarnation uint64, keys ...[]byte) *Issuer {
	return &Issuer{owner: owner, incarnation: incarnation, keys: keys, firstSequence: 1}
}

// SetCapacity sets the maximum number of unexpired tickets. It must be called before
// the first Issue.
func (i *Issuer) SetCapacity(capacity int) { i.capacity = capacity }

// Issue returns a new ticket. It returns ErrFull if the number of unexpired tickets
// has reached the capacity, and ErrNoKey if the issuer has no key or no owner.
func (i *Issuer) Issue(now clock.Millis) (Ticket, error) {
	if len(i.keys) == 0 || len(i.keys[0]) == 0 || i.owner == "" {
		return Ticket{}, ErrNoKey
	}
	now = i.dropExpired(now)
	expires := now + Lifetime
	if !i.appendRecord(record{expires: expires}) {
		return Ticket{}, ErrFull
	}
	t := Ticket{
		owner: i.owner, incarnation: i.incarnation,
		sequence: i.firstSequence + uint64(i.count) - 1, expires: expires,
	}
	return t.sign(i.keys[0]), nil
}

// Admit decides whether a request that presents the text of a ticket may run. It
// returns StatusAdmitted once per ticket, and again only after Release.
func (i *Issuer) Admit(now clock.Millis, text string) Decision {
	t, ok := parseSigned(i.keys, text)
	if !ok {
		return Decision{status: StatusMalformed}
	}
	return Decision{status: i.status(i.dropExpired(now), t), ticket: t}
}

// status returns the status of a ticket with a valid signature. It marks an unused
// ticket of this issuer as in progress.
func (i *Issuer) status(now clock.Millis, t Ticket) Status {
	if t.owner != i.owner {
		return StatusNotOwner
	}
	if t.incarnation != i.incarnation {
		return StatusUnknown
	}
	if now >= t.expires {
		return StatusExpired
	}
	r := i.findRecord(t)
	if r == nil {
		return StatusUnknown
	}
	switch r.state {
	case unused:
		r.state = inProgress
		return StatusAdmitted
	case inProgress:
		return StatusRunning
	case completed:
		return StatusCompleted
	default:
		return StatusUnknown
	}
}

// RecordOutcome records how a request with StatusAdmitted ended. It has no effect
// unless the request is in progress.
func (i *Issuer) RecordOutcome(t Ticket, outcome Outcome) {
	r := i.findRecord(t)
	if r == nil || r.state != inProgress {
		return
	}
	r.state = uncertain
	if outcome == OutcomeCompleted {
		r.state = completed
	}
}

// Release makes a ticket usable again after its request was refused before any part
// of it was sent. It has no effect unless the request is in progress.
func (i *Issuer) Release(t Ticket) {
	if r := i.findRecord(t); r != nil && r.state == inProgress {
		r.state = unused
	}
}

// findRecord returns the record of an unexpired ticket of this issuer and
// incarnation, or nil.
func (i *Issuer) findRecord(t Ticket) *record {
	if t.owner != i.owner || t.incarnation != i.incarnation {
		return nil
	}
	if t.sequence < i.firstSequence || t.sequence-i.firstSequence >= uint64(i.count) {
		return nil
	}
	return &i.records[(i.head+int(t.sequence-i.firstSequence))%len(i.records)]
}

// dropExpired removes expired records. It returns the highest time seen so far, so
// that a ticket stays expired if the clock goes back.
func (i *Issuer) dropExpired(now clock.Millis) clock.Millis {
	i.latestTime = max(i.latestTime, now)
	for i.count > 0 && i.records[i.head].expires <= i.latestTime {
		i.head = (i.head + 1) % len(i.records)
		i.count--
		i.firstSequence++
	}
	return i.latestTime
}

// appendRecord appends a record and grows the ring buffer up to the capacity. It
// returns false if the capacity is reached.
func (i *Issuer) appendRecord(r record) bool {
	capacity := i.capacity
	if capacity == 0 {
		capacity = DefaultCapacity
	}
	if i.count >= capacity {
		return false
	}
	if i.count == len(i.records) {
		i.grow(min(max(2*len(i.records), 64), capacity))
	}
	i.records[(i.head+i.count)%len(i.records)] = r
	i.count++
	return true
}

// grow copies the records to a ring buffer of the given size.
func (i *Issuer) grow(size int) {
	records := make([]record, size)
	for j := range i.count {
		records[j] = i.records[(i.head+j)%len(i.records)]
	}
	i.records, i.head = records, 0
}
