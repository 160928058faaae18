package upstream

// MemberState is what this daemon knows about the state of another one.
type MemberState uint8

// States of a member.
const (
	// Alive: the member answers probes.
	Alive MemberState = iota
	// Suspect: probes failed, but the member is not declared dead yet.
	Suspect
	// Dead: the member is declared dead. It may still run behind a partition.
	Dead
	// Left: the member has announced that it no longer uses upstreams.
	Left
	// ListedOnly: only the platform's list names the member, the member
	// table does not.
	ListedOnly
	// Joining: the member answers but does not use its shares yet, because the
	// other daemons must reduce theirs first.
	Joining
	// Leaving: the member uses its shares for its last callers and relays no
	// new sub-requests.
	Leaving
)

// Member is an entry daemon among which fleet-wide limits are divided.
type Member struct {
	id         string
	region     string
	dataCentre string
	state      MemberState
	listed     bool
}

// NewMember returns a member that is not in the platform's list.
func NewMember(id, region, dataCentre string, state MemberState) Member {
	return Member{id: id, region: region, dataCentre: dataCentre, state: state}
}

// WithListed returns a copy of the member that is in the platform's list.
func (m Member) WithListed() Member {
	m.listed = true
	return m
}

// ID returns the member's identity.
func (m Member) ID() string { return m.id }

// Region returns the member's region.
func (m Member) Region() string { return m.region }

// DataCentre returns the member's data centre.
func (m Member) DataCentre() string { return m.dataCentre }

// State returns what this daemon knows about the member's state.
func (m Member) State() MemberState { return m.state }

// IsListed reports whether the member is in the platform's list.
func (m Member) IsListed() bool { return m.listed }

// hasShare reports whether the member has a share of the connections and slots.
// A suspect member and a dead one that is still listed may be using theirs.
func (m Member) hasShare() bool {
	switch m.state {
	case Left:
		return false
	case Alive, Suspect, Joining, Leaving:
		return true
	default:
		return m.listed
	}
}

// holdsColdShare reports whether the member may use a level share.
func (m Member) holdsColdShare() bool {
	return m.state == Alive || m.state == Suspect || m.state == Leaving
}

// reachable reports whether the member answers this daemon.
func (m Member) reachable() bool {
	return m.state == Alive || m.state == Joining || m.state == Leaving
}
