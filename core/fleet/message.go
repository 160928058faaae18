package fleet

// Kind is the kind of a message. Its values are part of the wire format.
type Kind string

// Kinds of messages of this package.
const (
	KindHello         Kind = "hello"
	KindPing          Kind = "ping"
	KindAck           Kind = "ack"
	KindProbe         Kind = "probe"
	KindProbeResult   Kind = "probe-result"
	KindMembers       Kind = "members"
	KindTableDigests  Kind = "table-digests"
	KindTableRows     Kind = "table-rows"
	KindRecords       Kind = "records"
	KindRecordDigests Kind = "record-digests"
	KindRecordRows    Kind = "record-rows"
)

// Message is a message between daemons. Other packages define messages too.
type Message interface {
	Kind() Kind
}

// SettingsVersion identifies a settings document by its revision and a digest of the
// whole document.
type SettingsVersion struct {
	revision uint64
	digest   uint64
}

// NewSettingsVersion returns the version of a settings document.
func NewSettingsVersion(revision, digest uint64) SettingsVersion {
	return SettingsVersion{revision: revision, digest: digest}
}

// Lags reports whether a daemon with version s has neither the settings of version own in
// force, which are those of a revision, nor newer ones. After a restore of the platform two
// documents may have the same revision.
func (s SettingsVersion) Lags(own SettingsVersion, revision uint64) bool {
	return s.revision < revision || (s.revision == own.revision && s != own)
}

// Revision returns the revision, zero if there is no document.
func (s SettingsVersion) Revision() uint64 { return s.revision }

// Digest returns the digest of the document.
func (s SettingsVersion) Digest() uint64 { return s.digest }

// Summary is what a daemon reports of itself in hello, ping and ack messages:
// digests of the data that it shares with its peers, the settings version in force,
// and its load.
type Summary struct {
	tableDigest     uint64
	recordsDigest   uint64
	settingsVersion SettingsVersion
	load            float64
}

// NewSummary returns a summary. The load is as in Membership.SetLoad.
func NewSummary(tableDigest, recordsDigest uint64, settingsVersion SettingsVersion, load float64) Summary {
	return Summary{tableDigest: tableDigest, recordsDigest: recordsDigest, settingsVersion: settingsVersion, load: load}
}

// TableDigest returns the digest of the member table.
func (s Summary) TableDigest() uint64 { return s.tableDigest }

// RecordsDigest returns the digest of the records of other subsystems.
func (s Summary) RecordsDigest() uint64 { return s.recordsDigest }

// SettingsVersion returns the version of the settings document in force.
func (s Summary) SettingsVersion() SettingsVersion { return s.settingsVersion }

// Load returns the sender's load, as in Membership.SetLoad.
func (s Summary) Load() float64 { return s.load }

// Hello is the first message on a link. It carries the sender's record and the
// sender's record of the receiver, so that a receiver that is dead in the sender's
// view refutes at once.
type Hello struct {
	self    Member
	peer    Member
	summary Summary
}

// NewHello returns a hello. The peer is the sender's record of the receiver, the
// zero Member if the receiver is unknown.
func NewHello(self, peer Member, summary Summary) Hello {
	return Hello{self: self, peer: peer, summary: summary}
}

// Kind implements Message.
func (Hello) Kind() Kind { return KindHello }

// Self returns the sender's own record.
func (h Hello) Self() Member { return h.self }

// Peer returns the sender's record of the receiver, the zero Member if unknown.
func (h Hello) Peer() Member { return h.peer }

// Summary returns the sender's summary.
func (h Hello) Summary() Summary { return h.summary }

// Ping is the heartbeat of a link. The receiver answers with an Ack.
type Ping struct {
	sequence uint64
	summary  Summary
}

// NewPing returns a ping. The sequence increases from ping to ping of a sender.
func NewPing(sequence uint64, summary Summary) Ping {
	return Ping{sequence: sequence, summary: summary}
}

// Kind implements Message.
func (Ping) Kind() Kind { return KindPing }

// Sequence returns the sequence, which the ack repeats.
func (p Ping) Sequence() uint64 { return p.sequence }

// Summary returns the sender's summary.
func (p Ping) Summary() Summary { return p.summary }

// Ack acknowledges a ping.
type Ack struct {
	sequence uint64
	summary  Summary
}

// NewAck returns the ack of the ping with the same sequence.
func NewAck(sequence uint64, summary Summary) Ack {
	return Ack{sequence: sequence, summary: summary}
}

// Kind implements Message.
func (Ack) Kind() Kind { return KindAck }

// Sequence returns the sequence of the acknowledged ping.
func (a Ack) Sequence() uint64 { return a.sequence }

// Summary returns the sender's summary.
func (a Ack) Summary() Summary { return a.summary }

// Probe asks the receiver to ping target, on behalf of a sender whose own link to
// target failed.
type Probe struct{ target ID }

// NewProbe returns a probe of target.
func NewProbe(target ID) Probe { return Probe{target: target} }

// Kind implements Message.
func (Probe) Kind() Kind { return KindProbe }

// Target returns the daemon to ping.
func (p Probe) Target() ID { return p.target }

// ProbeResult reports that target answered the receiver of a Probe. No result is
// sent for a target that does not answer.
type ProbeResult struct{ target ID }

// NewProbeResult returns the result for a target that answered.
func NewProbeResult(target ID) ProbeResult { return ProbeResult{target: target} }

// Kind implements Message.
func (ProbeResult) Kind() Kind { return KindProbeResult }

// Target returns the daemon that answered.
func (p ProbeResult) Target() ID { return p.target }

// Members floods changed member records.
type Members struct{ members []Member }

// NewMembers returns a flood of member records.
func NewMembers(members []Member) Members { return Members{members: members} }

// Kind implements Message.
func (Members) Kind() Kind { return KindMembers }

// Members returns the records.
func (m Members) Members() []Member { return m.members }

// TableDigests starts a repair of the member table: the receiver answers with the
// rows of the buckets whose digests differ.
type TableDigests struct{ digests [bucketCount]uint64 }

// NewTableDigests returns a repair request with the digests of all buckets.
func NewTableDigests(digests [bucketCount]uint64) TableDigests { return TableDigests{digests: digests} }

// Kind implements Message.
func (TableDigests) Kind() Kind { return KindTableDigests }

// Digests returns the digests, indexed by bucket.
func (t TableDigests) Digests() [bucketCount]uint64 { return t.digests }

// TableRows carries member records of the buckets whose digests differ.
type TableRows struct {
	completeBuckets uint64
	rows            []Member
}

// NewTableRows returns a message with member records. Bit i of completeBuckets says
// that rows hold all records of bucket i; the receiver answers with the records that
// the sender lacks in these buckets.
func NewTableRows(completeBuckets uint64, rows []Member) TableRows {
	return TableRows{completeBuckets: completeBuckets, rows: rows}
}

// Kind implements Message.
func (TableRows) Kind() Kind { return KindTableRows }

// CompleteBuckets returns the set of buckets that the message holds completely, as a
// bit mask.
func (t TableRows) CompleteBuckets() uint64 { return t.completeBuckets }

// Rows returns the records.
func (t TableRows) Rows() []Member { return t.rows }

// Records floods records of other subsystems.
type Records struct{ records []Record }

// NewRecords returns a flood of records.
func NewRecords(records []Record) Records { return Records{records: records} }

// Kind implements Message.
func (Records) Kind() Kind { return KindRecords }

// Records returns the records.
func (r Records) Records() []Record { return r.records }

// RecordDigests starts a repair of the records of other subsystems: the receiver
// answers with the rows of the buckets whose digests differ.
type RecordDigests struct{ digests [bucketCount]uint64 }

// NewRecordDigests returns a repair request with the digests of all buckets.
func NewRecordDigests(digests [bucketCount]uint64) RecordDigests {
	return RecordDigests{digests: digests}
}

// Kind implements Message.
func (RecordDigests) Kind() Kind { return KindRecordDigests }

// Digests returns the digests, indexed by bucket.
func (r RecordDigests) Digests() [bucketCount]uint64 { return r.digests }

// RecordRows carries records of the buckets whose digests differ.
type RecordRows struct {
	completeBuckets uint64
	rows            []Record
}

// NewRecordRows returns a message with records; completeBuckets is as in
// NewTableRows.
func NewRecordRows(completeBuckets uint64, rows []Record) RecordRows {
	return RecordRows{completeBuckets: completeBuckets, rows: rows}
}

// Kind implements Message.
func (RecordRows) Kind() Kind { return KindRecordRows }

// CompleteBuckets returns the set of buckets that the message holds completely, as a
// bit mask.
func (r RecordRows) CompleteBuckets() uint64 { return r.completeBuckets }

// Rows returns the records.
func (r RecordRows) Rows() []Record { return r.rows }
