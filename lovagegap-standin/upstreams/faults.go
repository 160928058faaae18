package upstreams

// Faults are the switchable faults of a replica. The zero value has none.
type Faults struct {
	Down           bool            `json:"down"`       // connections are reset
	ShedShare      float64         `json:"shed"`       // share refused with 503, not run
	FailShare      float64         `json:"fail"`       // share answered with 500 after the work
	SlowShare      float64         `json:"slowShare"`  // share that takes SlowFactor as long
	SlowFactor     float64         `json:"slowFactor"` // 0 means 1
	CrashText      string          `json:"crashText"`  // a query that contains it crashes the process
	Leaving        bool            `json:"leaving"`    // reported as leaving; still serves
	StatusOverride *StatusOverride `json:"report"`     // status reported instead of the true one
	ReplyFault     ReplyFault      `json:"reply"`      // malformed replies
}

// StatusOverride replaces parts of a replica's status.
type StatusOverride struct {
	State    string    `json:"state"`    // "" keeps the true state
	Load     *int      `json:"load"`     // nil keeps the true load
	Holdings []Holding `json:"holdings"` // nil keeps the true holdings
}

// ReplyFault names a malformation of replies.
type ReplyFault string

// Malformations.
const (
	WellFormed   ReplyFault = ""
	WrongRequest ReplyFault = "wrong-request"
	WrongShard   ReplyFault = "wrong-shard"
	WrongVersion ReplyFault = "wrong-version"
	Empty        ReplyFault = "empty"
	Oversized    ReplyFault = "oversized"
	HalfBody     ReplyFault = "half-body"
	NotJSON      ReplyFault = "not-json"
	NoReply      ReplyFault = "no-reply" // the connection is reset after the work
)

// Faults returns the faults in force.
func (u *Upstream) Faults() Faults {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.faults
}

// SetFaults replaces the faults in force. Down also resets the open
// connections.
func (u *Upstream) SetFaults(f Faults) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.faults = f
	if f.Down {
		u.resetConns()
	}
}

// Silence makes all open connections silent for good: what arrives on them is
// discarded and nothing is sent. New connections work.
func (u *Upstream) Silence() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for c := range u.conns {
		c.silent.Store(true)
	}
}

// Restart ends the process and starts it cold under a new boot id. Its
// connections are reset and its running work is lost.
func (u *Upstream) Restart() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.restart()
}

func (u *Upstream) restart() {
	u.stopProcess()
	u.startProcess()
	u.cold, u.coldCapacity, u.completedAtCapacity = true, 1, 0
	u.resetConns()
}

// resetConns frees the places of the connections at once, so that a daemon
// that reconnects immediately is not refused.
func (u *Upstream) resetConns() {
	for c := range u.conns {
		c.reset()
	}
	clear(u.conns)
}
