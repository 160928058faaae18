package fleet

// ActionKind says what the adapter does for an action.
type ActionKind uint8

// Kinds of actions.
const (
	// Send sends Message over the link to Peer.
	Send ActionKind = iota + 1
	// Dial opens a link to Peer. The adapter reports LinkUp or LinkDown.
	Dial
	// Disconnect closes the link to Peer without reporting LinkDown.
	Disconnect
	// MembersChanged says that the member view has changed; Members returns it.
	MembersChanged
	// RecordAccepted passes on Record, a record of another subsystem that was
	// received from Peer and is new to this daemon.
	RecordAccepted
	// SettingsReported passes on the version of the settings document that Peer has
	// in force. It accompanies each summary of a peer.
	SettingsReported
)

// Action is an instruction to the adapter. The kind determines which fields are set.
type Action struct {
	kind            ActionKind
	peer            ID
	message         Message
	record          Record
	settingsVersion SettingsVersion
}

// Kind returns the kind of the action.
func (a Action) Kind() ActionKind { return a.kind }

// Peer returns the daemon that the action concerns.
func (a Action) Peer() ID { return a.peer }

// Message returns the message of a Send action.
func (a Action) Message() Message { return a.message }

// Record returns the record of a RecordAccepted action.
func (a Action) Record() Record { return a.record }

// SettingsVersion returns the version of a SettingsReported action.
func (a Action) SettingsVersion() SettingsVersion { return a.settingsVersion }
