package rollout

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/lovagegap/lovagegap/core/fleet"
)

// WireMessage is the body of every message of this package; each kind uses the
// fields that it needs.
type WireMessage struct {
	Revision   uint64   `cbor:"1,keyasint"`
	Digest     uint64   `cbor:"2,keyasint"`
	Offset     int      `cbor:"3,keyasint,omitempty"`
	TotalBytes int      `cbor:"4,keyasint,omitempty"`
	ChangeID   string   `cbor:"5,keyasint,omitempty"`
	Ancestors  []string `cbor:"6,keyasint,omitempty"`
	Data       []byte   `cbor:"7,keyasint,omitempty"`
}

var decoder = newDecoder()

func newDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden,
		TagsMd: cbor.TagsForbidden, MaxArrayElements: 16, MaxMapPairs: 16, MaxNestedLevels: 4,
	}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}

// Encode returns the sealed form of a message of this package.
func Encode(from fleet.Member, message fleet.Message) ([]byte, error) {
	var wire WireMessage
	switch v := message.(type) {
	case Offer:
		wire = WireMessage{Revision: v.settingsVersion.Revision(), Digest: v.settingsVersion.Digest()}
	case Pull:
		wire = WireMessage{Revision: v.settingsVersion.Revision(), Digest: v.settingsVersion.Digest(), Offset: v.offset}
	case Chunk:
		wire = WireMessage{
			Revision: v.settingsVersion.Revision(), Digest: v.settingsVersion.Digest(), Offset: v.offset,
			TotalBytes: v.totalBytes, ChangeID: v.changeID, Ancestors: v.ancestors, Data: v.data,
		}
	default:
		return nil, errors.Wrapf(ErrMalformed, "kind %s", message.Kind())
	}
	body, err := cbor.Marshal(wire)
	if err != nil {
		return nil, errors.Wrapf(err, "encode %s", message.Kind())
	}
	return fleet.EncodeEnvelope(message.Kind(), from, body)
}

// Decode decodes the body of an envelope with a kind of this package. It
// returns ErrMalformed.
func Decode(e fleet.Envelope) (fleet.Message, error) {
	var wire WireMessage
	if err := decoder.Unmarshal(e.Body(), &wire); err != nil {
		return nil, errors.Wrapf(ErrMalformed, "decode %s: %v", e.Kind(), err)
	}
	if wire.Revision == 0 || wire.Offset < 0 || wire.TotalBytes < 0 || wire.TotalBytes > MaxBodyBytes || wire.Offset > MaxBodyBytes {
		return nil, errors.Wrapf(ErrMalformed, "%s field out of range", e.Kind())
	}
	settings := fleet.NewSettingsVersion(wire.Revision, wire.Digest)
	switch e.Kind() {
	case KindOffer:
		return NewOffer(settings), nil
	case KindPull:
		return NewPull(settings, wire.Offset), nil
	case KindDocument:
		return parseChunk(settings, wire)
	default:
		return nil, errors.Wrapf(ErrMalformed, "kind %s", e.Kind())
	}
}

func parseChunk(version fleet.SettingsVersion, wire WireMessage) (fleet.Message, error) {
	header := Document{revision: wire.Revision, changeID: wire.ChangeID, ancestors: wire.Ancestors}
	if err := header.validate(); err != nil {
		return nil, errors.Wrapf(ErrMalformed, "chunk: %v", err)
	}
	if len(wire.Data) > MaxChunkBytes || wire.Offset+len(wire.Data) > wire.TotalBytes {
		return nil, errors.Wrap(ErrMalformed, "chunk out of range")
	}
	return Chunk{
		settingsVersion: version, changeID: wire.ChangeID, ancestors: wire.Ancestors,
		totalBytes: wire.TotalBytes, offset: wire.Offset, data: wire.Data,
	}, nil
}
