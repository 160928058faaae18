package fleet

// ActionKind tells what the adapter does for an action.
type ActionKind uint8

// Kinds of actions.
const (
	// Send sends Message to Peer over the link.
	Send ActionKind = iota + 1
	// Dial opens a link to Peer and reports LinkUp or LinkDown.
	Dial
	// Hangup closes the link to Peer without reporting LinkDown.
	Hangup
	// MembersChanged says that Members returns a new view.
	MembersChanged
	// RecordAccepted hands over a record of another subsystem, new to this daemon.
	RecordAccepted
	// SettingsReported says which settings document Peer has in force.
	SettingsReported
)

// Action is a step for the adapter.
type Action struct {
	kind            ActionKind
	peer            ID
	message         Message
	record          Record
	settingsVersion SettingsVersion
}

// Kind returns what to do.
func (a Action) Kind() ActionKind { return a.kind }

// Peer returns the other daemon.
func (a Action) Peer() ID { return a.peer }

// Message returns the message to send.
func (a Action) Message() Message { return a.message }

// Record returns the accepted record.
func (a Action) Record() Record { return a.record }

// SettingsVersion returns the settings that the peer has in force.
func (a Action) SettingsVersion() SettingsVersion { return a.settingsVersion }
