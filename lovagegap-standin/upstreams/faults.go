package upstreams

// Faults are the faults injected into a replica. The zero value has none. Shares
// are of all sub-requests, 0 to 1.
type Faults struct {
	Down           bool            `json:"down"`       // connections are reset, new ones too
	ShedShare      float64         `json:"shed"`       // refused with 503 and not run
	FailShare      float64         `json:"fail"`       // run, then answered with 500
	SlowShare      float64         `json:"slowShare"`  // slowed by SlowFactor
	SlowFactor     float64         `json:"slowFactor"` // multiple of the drawn service time; 0 means 1
	CrashText      string          `json:"crashText"`  // a query whose body contains it crashes the process
	Leaving        bool            `json:"leaving"`    // reports the state leaving, but still serves
	StatusOverride *StatusOverride `json:"report"`     // nil reports the true status
	ReplyFault     ReplyFault      `json:"reply"`      // how replies are malformed
}

// StatusOverride replaces parts of the status that a replica reports.
type StatusOverride struct {
	State    string    `json:"state"`    // "" keeps the true state
	Load     *int      `json:"load"`     // nil keeps the true load
	Holdings []Holding `json:"holdings"` // nil keeps the true holdings
}

// ReplyFault is a way in which replies are malformed.
type ReplyFault string

// Values of ReplyFault.
const (
	WellFormed   ReplyFault = ""
	WrongRequest ReplyFault = "wrong-request" // header of another request
	WrongShard   ReplyFault = "wrong-shard"   // header of another shard
	WrongVersion ReplyFault = "wrong-version" // header of another version
	Empty        ReplyFault = "empty"         // no body
	Oversized    ReplyFault = "oversized"     // body of oversizedReplyBytes
	HalfBody     ReplyFault = "half-body"     // body shorter than Content-Length
	NotJSON      ReplyFault = "not-json"      // body without its first byte
	NoReply      ReplyFault = "no-reply"      // the connection is reset after the sub-request has run
)

// Faults returns the faults in force.
func (u *Upstream) Faults() Faults {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.faults
}

// SetFaults replaces the faults in force. With Down it also resets the open
// connections.
func (u *Upstream) SetFaults(f Faults) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.faults = f
	if f.Down {
		u.resetConns()
	}
}

// Silence makes all open connections silent until they are closed: they
// discard what they receive and send nothing. New connections work.
func (u *Upstream) Silence() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for c := range u.conns {
		c.silent.Store(true)
	}
}

// Restart ends the process and starts it cold with a new boot ID. Its connections
// are reset and its sub-requests end as Crashed.
func (u *Upstream) Restart() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.restart()
}

// restart is Restart for callers that hold the lock.
func (u *Upstream) restart() {
	u.stopProcess()
	u.startProcess()
	u.cold, u.coldCapacity, u.completedAtCapacity = true, 1, 0
	u.resetConns()
}

// resetConns resets all connections. It clears the set of connections itself,
// without waiting for their Close, so that a daemon that reconnects immediately
// is not refused. The caller holds the lock.
func (u *Upstream) resetConns() {
	for c := range u.conns {
		c.reset()
	}
	clear(u.conns)
}
