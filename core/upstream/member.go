package upstream

// MemberState says what the member table knows about a daemon.
type MemberState uint8

// States of a member.
const (
	// Alive: the member answers.
	Alive MemberState = iota
	// Suspect: probes failed, but the member is not declared dead yet.
	Suspect
	// Dead: the member was declared dead. It may still run behind a partition.
	Dead
	// Left: the member announced that it stopped using upstreams.
	Left
	// Unmet: only the platform's list names the member.
	ListedOnly
	// Joining: the member answers but does not use its parts yet, so that the
	// others have released them before.
	Joining
	// Leaving: the member uses its parts for its last callers and relays
	// nothing new.
	Leaving
)

// Member is an entry daemon as the shares of limits see it.
type Member struct {
	id         string
	region     string
	dataCentre string
	state      MemberState
	listed     bool
}

// NewMember returns a member that the platform does not list.
func NewMember(id, region, dataCentre string, state MemberState) Member {
	return Member{id: id, region: region, dataCentre: dataCentre, state: state}
}

// WithListed returns the member as one that the platform's list names.
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

// State returns what the member table knows.
func (m Member) State() MemberState { return m.state }

// IsListed reports whether the platform's list names the member.
func (m Member) IsListed() bool { return m.listed }

// hasShare reports whether the member has a part of the connections and slots.
// A suspect or a listed dead member may still use its part.
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

// holdsColdShare reports whether the member may use a part of a cold level.
func (m Member) holdsColdShare() bool {
	return m.state == Alive || m.state == Suspect || m.state == Leaving
}

// reachable reports whether this daemon reaches the member.
func (m Member) reachable() bool {
	return m.state == Alive || m.state == Joining || m.state == Leaving
}
