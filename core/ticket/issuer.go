package ticket

import (
	"github.com/lovagegap/lovagegap/core/clock"
)

// Status says what to do with a request that carries a ticket.
type Status uint8

// Kinds of verdicts.
const (
	// Malformed: no ticket, or one with a wrong signature.
	StatusMalformed Status = iota
	// Run: run the request now, and settle or abandon the ticket afterwards.
	StatusAdmitted
	// Elsewhere: only the owner may run it; not run here.
	StatusNotOwner
	// AlreadyRunning: the request is running.
	StatusRunning
	// Ran: the request has run.
	StatusCompleted
	// Unknown: it is not known whether the request has run.
	StatusUnknown
	// Expired: the right has ended. The request may have run before.
	StatusExpired
)

var statusNames = [...]string{
	"malformed", "run", "elsewhere", "already running", "ran", "unknown", "expired",
}

// String names the kind as it appears in messages.
func (k Status) String() string { return statusNames[k] }

// Decision is the answer of Admit.
type Decision struct {
	status Status
	ticket Ticket
}

// Status returns what to do.
func (v Decision) Status() Status { return v.status }

// Owner returns the daemon that may run the request.
func (v Decision) Owner() string { return v.ticket.owner }

// Ticket returns the ticket, for Settle and Abandon.
func (v Decision) Ticket() Ticket { return v.ticket }

// Outcome says how a request that was admitted ended.
type Outcome uint8

// Outcomes.
const (
	// Uncertain: the request may have run.
	OutcomeUncertain Outcome = iota
	// Completed: the request has run.
	OutcomeCompleted
)

const (
	// Lifetime is the time for which a ticket may be used. A caller asks for
	// a ticket right before its request.
	Lifetime = clock.Minute

	// DefaultCapacity is the number of unexpired tickets of an Issuer: 4,300
	// a second over their lifetime, in 4 MB.
	DefaultCapacity = 1 << 18
)

type state uint8

const (
	unused state = iota
	inProgress
	completed
	uncertain
)

// record is what is known of one issued ticket.
type record struct {
	expires clock.Millis
	state   state
}

// Issuer issues tickets and remembers their use until they have expired. The
// zero value issues none and calls every text malformed. It is not safe for
// concurrent use.
type Issuer struct {
	owner         string
	incarnation   uint64
	keys          [][]byte
	capacity      int
	records       []record // ring, in order of issue and so of expiry
	head          int      // position of the oldest record
	count         int
	firstSequence uint64 // sequence of the oldest record
	latestTime    clock.Millis
}

// NewIssuer returns the issuer of a daemon. The incarnation must differ from
// that of every earlier process with the same id. All daemons share the keys:
// the first one signs, and tickets signed with any of them are accepted, so that
// a key can be replaced while tickets are out.
func NewIssuer(owner string, incarnation uint64, keys ...[]byte) *Issuer {
	return &Issuer{owner: owner, incarnation: incarnation, keys: keys, firstSequence: 1}
}

// SetCapacity sets the number of unexpired tickets, before the first Issue.
func (o *Issuer) SetCapacity(capacity int) { o.capacity = capacity }

// Issue returns a new ticket. It returns ErrFull if as many unexpired tickets
// are out as the issuer can remember.
func (o *Issuer) Issue(now clock.Millis) (Ticket, error) {
	if len(o.keys) == 0 || len(o.keys[0]) == 0 || o.owner == "" {
		return Ticket{}, ErrNoKey
	}
	now = o.dropExpired(now)
	expires := now + Lifetime
	if !o.appendRecord(record{expires: expires}) {
		return Ticket{}, ErrFull
	}
	t := Ticket{
		owner: o.owner, incarnation: o.incarnation,
		sequence: o.firstSequence + uint64(o.count) - 1, expires: expires,
	}
	return t.sign(o.keys[0]), nil
}

// Admit decides about a request with a ticket. Only one request gets Run,
// unless its ticket is abandoned.
func (o *Issuer) Admit(now clock.Millis, text string) Decision {
	t, ok := parseSigned(o.keys, text)
	if !ok {
		return Decision{status: StatusMalformed}
	}
	return Decision{status: o.status(o.dropExpired(now), t), ticket: t}
}

func (o *Issuer) status(now clock.Millis, t Ticket) Status {
	if t.owner != o.owner {
		return StatusNotOwner
	}
	if t.incarnation != o.incarnation {
		return StatusUnknown
	}
	if now >= t.expires {
		return StatusExpired
	}
	r := o.findRecord(t)
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

// RecordOutcome records how a request with the verdict Run ended.
func (o *Issuer) RecordOutcome(t Ticket, outcome Outcome) {
	r := o.findRecord(t)
	if r == nil || r.state != inProgress {
		return
	}
	r.state = uncertain
	if outcome == OutcomeCompleted {
		r.state = completed
	}
}

// Release returns the right to run a request that was refused before anything
// of it was sent.
func (o *Issuer) Release(t Ticket) {
	if r := o.findRecord(t); r != nil && r.state == inProgress {
		r.state = unused
	}
}

// findRecord returns the record of a ticket of this incarnation, or nil.
func (o *Issuer) findRecord(t Ticket) *record {
	if t.owner != o.owner || t.incarnation != o.incarnation {
		return nil
	}
	if t.sequence < o.firstSequence || t.sequence-o.firstSequence >= uint64(o.count) {
		return nil
	}
	return &o.records[(o.head+int(t.sequence-o.firstSequence))%len(o.records)]
}

// dropExpired drops expired records and returns the time, which never goes back:
// a ticket that was called expired stays so.
func (o *Issuer) dropExpired(now clock.Millis) clock.Millis {
	o.latestTime = max(o.latestTime, now)
	for o.count > 0 && o.records[o.head].expires <= o.latestTime {
		o.head = (o.head + 1) % len(o.records)
		o.count--
		o.firstSequence++
	}
	return o.latestTime
}

// appendRecord appends a record, growing the ring up to the capacity.
func (o *Issuer) appendRecord(r record) bool {
	capacity := o.capacity
	if capacity == 0 {
		capacity = DefaultCapacity
	}
	if o.count >= capacity {
		return false
	}
	if o.count == len(o.records) {
		o.grow(min(max(2*len(o.records), 64), capacity))
	}
	o.records[(o.head+o.count)%len(o.records)] = r
	o.count++
	return true
}

func (o *Issuer) grow(size int) {
	records := make([]record, size)
	for i := range o.count {
		records[i] = o.records[(o.head+i)%len(o.records)]
	}
	o.records, o.head = records, 0
}
