package fleet

import (
	"math"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/lovagegap/lovagegap/core/clock"
)

// Errors that encoding and decoding return, wrapped with the cause.
var (
	// ErrMalformed means that a message does not follow the format or exceeds a
	// limit.
	ErrMalformed = errors.New("malformed message")
	// ErrVersion means that the sender uses another version of the protocol.
	ErrVersion = errors.New("unsupported protocol version")
)

// ProtocolVersion is the version of the messages between daemons.
const ProtocolVersion = 1

// Limits of a message. The limits on counts and lengths bound the memory that a
// decoder allocates.
const (
	MaxMessageBytes   = 256 << 10
	maxMembers        = 8192 // in the member table, and in the list of VMs
	maxRowsPerMessage = 4096
	maxTextBytes      = 256
	maxIncarnation    = uint64(1) << 62 // leaves room for increments by refutations
	maxRecordLifetime = 24 * clock.Hour
)

// WireEnvelope is the encoded form of every message between daemons, including those
// of other packages.
type WireEnvelope struct {
	Version     uint16          `cbor:"1,keyasint"`
	Kind        string          `cbor:"2,keyasint"`
	From        string          `cbor:"3,keyasint"`
	Incarnation uint64          `cbor:"4,keyasint"`
	Body        cbor.RawMessage `cbor:"5,keyasint"`
}

// WireMember is the encoded form of a Member.
type WireMember struct {
	ID            string  `cbor:"1,keyasint"`
	CallerAddress string  `cbor:"2,keyasint"`
	DataCentre    string  `cbor:"3,keyasint"`
	Region        string  `cbor:"4,keyasint"`
	Incarnation   uint64  `cbor:"5,keyasint"`
	State         uint8   `cbor:"6,keyasint"`
	Load          float32 `cbor:"7,keyasint,omitempty"`
}

// WireSummary is the encoded form of a Summary.
type WireSummary struct {
	TableDigest      uint64  `cbor:"1,keyasint"`
	RecordsDigest    uint64  `cbor:"2,keyasint"`
	SettingsRevision uint64  `cbor:"3,keyasint"`
	SettingsDigest   uint64  `cbor:"4,keyasint"`
	Load             float32 `cbor:"5,keyasint"`
}

// WireRecord is the encoded form of a Record. The lifetime is in milliseconds.
type WireRecord struct {
	Kind     string  `cbor:"1,keyasint"`
	Key      string  `cbor:"2,keyasint"`
	Sequence uint64  `cbor:"3,keyasint"`
	Body     []byte  `cbor:"4,keyasint"`
	Lifetime float64 `cbor:"5,keyasint"`
}

// WireMessage is the encoded body of every message of this package. Each kind uses
// some of the fields.
type WireMessage struct {
	Self            *WireMember  `cbor:"1,keyasint,omitempty"`
	Peer            *WireMember  `cbor:"2,keyasint,omitempty"`
	Summary         *WireSummary `cbor:"3,keyasint,omitempty"`
	Sequence        uint64       `cbor:"4,keyasint,omitempty"`
	Target          string       `cbor:"5,keyasint,omitempty"`
	Members         []WireMember `cbor:"6,keyasint,omitempty"`
	BucketDigests   []uint64     `cbor:"7,keyasint,omitempty"`
	CompleteBuckets uint64       `cbor:"8,keyasint,omitempty"`
	Records         []WireRecord `cbor:"9,keyasint,omitempty"`
}

var decoder = newDecoder()

func newDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden,
		TagsMd: cbor.TagsForbidden, MaxArrayElements: maxRowsPerMessage, MaxMapPairs: 64, MaxNestedLevels: 8,
	}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}

// Envelope is a received message whose body is still encoded.
type Envelope struct{ wire WireEnvelope }

// Kind returns the kind, which determines the package that decodes the body.
func (e Envelope) Kind() Kind { return Kind(e.wire.Kind) }

// From returns the id that the sender claims. The adapter compares it with the
// authenticated peer.
func (e Envelope) From() ID { return ID(e.wire.From) }

// Incarnation returns the sender's incarnation.
func (e Envelope) Incarnation() uint64 { return e.wire.Incarnation }

// Body returns the encoded body.
func (e Envelope) Body() []byte { return e.wire.Body }

// EncodeEnvelope returns the encoded message with the given body. It returns
// ErrMalformed if the message exceeds MaxMessageBytes.
func EncodeEnvelope(kind Kind, from Member, body []byte) ([]byte, error) {
	data, err := cbor.Marshal(WireEnvelope{
		Version: ProtocolVersion, Kind: string(kind), From: string(from.id),
		Incarnation: from.incarnation, Body: body,
	})
	if err != nil {
		return nil, errors.Wrapf(err, "encode envelope of %s message", kind)
	}
	if len(data) > MaxMessageBytes {
		return nil, errors.Wrapf(ErrMalformed, "%s message of %d bytes exceeds %d bytes", kind, len(data), MaxMessageBytes)
	}
	return data, nil
}

// DecodeEnvelope decodes the envelope of a message and leaves the body encoded. It
// returns ErrMalformed or ErrVersion.
func DecodeEnvelope(data []byte) (Envelope, error) {
	if len(data) > MaxMessageBytes {
		return Envelope{}, errors.Wrapf(ErrMalformed, "message of %d bytes exceeds %d bytes", len(data), MaxMessageBytes)
	}
	var wire WireEnvelope
	if err := decoder.Unmarshal(data, &wire); err != nil {
		return Envelope{}, errors.Wrapf(ErrMalformed, "decode envelope: %v", err)
	}
	if wire.Version != ProtocolVersion {
		return Envelope{}, errors.Wrapf(ErrVersion, "message has version %d, want %d", wire.Version, ProtocolVersion)
	}
	if wire.From == "" || len(wire.From) > maxTextBytes || len(wire.Kind) > maxTextBytes ||
		wire.Incarnation > maxIncarnation {
		return Envelope{}, errors.Wrapf(ErrMalformed, "envelope field out of range: sender of %d bytes, kind of %d bytes, "+
			"incarnation %d", len(wire.From), len(wire.Kind), wire.Incarnation)
	}
	return Envelope{wire: wire}, nil
}

// Encode returns the encoded form of a message of this package, with its envelope.
// It returns ErrMalformed if the message exceeds MaxMessageBytes.
func Encode(from Member, message Message) ([]byte, error) {
	body, err := cbor.Marshal(encodeMessage(message))
	if err != nil {
		return nil, errors.Wrapf(err, "encode body of %s message", message.Kind())
	}
	return EncodeEnvelope(message.Kind(), from, body)
}

// Decode decodes the body of an envelope with a kind of this package. It returns
// ErrMalformed if the body is malformed or the kind is not one of this package.
func Decode(e Envelope) (Message, error) {
	var wire WireMessage
	if err := decoder.Unmarshal(e.wire.Body, &wire); err != nil {
		return nil, errors.Wrapf(ErrMalformed, "decode body of %q message: %v", e.wire.Kind, err)
	}
	message, err := parseMessage(e.Kind(), wire)
	if err != nil {
		return nil, errors.Wrapf(err, "decode body of %q message", e.wire.Kind)
	}
	return message, nil
}

func encodeMessage(message Message) WireMessage {
	switch v := message.(type) {
	case Hello:
		self := encodeMember(v.self)
		wire := WireMessage{Self: &self, Summary: encodeSummary(v.summary)}
		if v.peer.id != "" {
			peer := encodeMember(v.peer)
			wire.Peer = &peer
		}
		return wire
	case Ping:
		return WireMessage{Sequence: v.sequence, Summary: encodeSummary(v.summary)}
	case Ack:
		return WireMessage{Sequence: v.sequence, Summary: encodeSummary(v.summary)}
	case Probe:
		return WireMessage{Target: string(v.target)}
	case ProbeResult:
		return WireMessage{Target: string(v.target)}
	case Members:
		return WireMessage{Members: encodeMembers(v.members)}
	case TableDigests:
		return WireMessage{BucketDigests: v.digests[:]}
	case TableRows:
		return WireMessage{CompleteBuckets: v.completeBuckets, Members: encodeMembers(v.rows)}
	case Records:
		return WireMessage{Records: encodeRecords(v.records)}
	case RecordDigests:
		return WireMessage{BucketDigests: v.digests[:]}
	case RecordRows:
		return WireMessage{CompleteBuckets: v.completeBuckets, Records: encodeRecords(v.rows)}
	default:
		return WireMessage{}
	}
}

func encodeMember(m Member) WireMember {
	return WireMember{
		ID: string(m.id), CallerAddress: m.callerAddress, DataCentre: m.dataCentre, Region: m.region,
		Incarnation: m.incarnation, State: uint8(m.state), Load: float32(m.load),
	}
}

func encodeMembers(members []Member) []WireMember {
	wire := make([]WireMember, len(members))
	for i, m := range members {
		wire[i] = encodeMember(m)
	}
	return wire
}

func encodeSummary(d Summary) *WireSummary {
	return &WireSummary{
		TableDigest: d.tableDigest, RecordsDigest: d.recordsDigest, SettingsRevision: d.settingsVersion.revision,
		SettingsDigest: d.settingsVersion.digest, Load: float32(d.load),
	}
}

func encodeRecords(records []Record) []WireRecord {
	wire := make([]WireRecord, len(records))
	for i, r := range records {
		wire[i] = WireRecord{
			Kind: r.kind, Key: r.key, Sequence: r.sequence, Body: r.body, Lifetime: float64(r.lifetime),
		}
	}
	return wire
}

func isFinite(v float64) bool { return !math.IsNaN(v) && !math.IsInf(v, 0) }
