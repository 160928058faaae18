package rollout

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/lovagegap/lovagegap/core/fleet"
)

// WireMessage is the CBOR form of the body of every message of this package. Each
// kind uses the fields that it needs.
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
		panic(err) // cannot happen, since the options are constants
	}
	return mode
}

// Encode returns the encoded envelope of a message of this package with from as its
// sender. It returns ErrMalformed for a message of another package.
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
		return nil, errors.Wrapf(ErrMalformed, "unexpected kind %q", message.Kind())
	}
	body, err := cbor.Marshal(wire)
	if err != nil {
		return nil, errors.Wrapf(err, "encode %s", message.Kind())
	}
	return fleet.EncodeEnvelope(message.Kind(), from, body)
}

// Decode decodes the body of an envelope. It returns ErrMalformed for a kind of
// another package and for a body that does not follow the format.
func Decode(e fleet.Envelope) (fleet.Message, error) {
	var wire WireMessage
	if err := decoder.Unmarshal(e.Body(), &wire); err != nil {
		return nil, errors.Wrapf(ErrMalformed, "decode %s: %v", e.Kind(), err)
	}
	if wire.Revision == 0 || wire.Offset < 0 || wire.TotalBytes < 0 ||
		wire.TotalBytes > MaxBodyBytes || wire.Offset > MaxBodyBytes {
		return nil, errors.Wrapf(ErrMalformed, "%s with revision %d, offset %d and total %d out of range, at most %d bytes",
			e.Kind(), wire.Revision, wire.Offset, wire.TotalBytes, MaxBodyBytes)
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
		return nil, errors.Wrapf(ErrMalformed, "unexpected kind %q", e.Kind())
	}
}

func parseChunk(version fleet.SettingsVersion, wire WireMessage) (fleet.Message, error) {
	header := Document{revision: wire.Revision, changeID: wire.ChangeID, ancestors: wire.Ancestors}
	if err := header.validate(); err != nil {
		return nil, errors.Wrapf(ErrMalformed, "document fields of chunk: %v", err)
	}
	if len(wire.Data) > MaxChunkBytes || wire.Offset+len(wire.Data) > wire.TotalBytes {
		return nil, errors.Wrapf(ErrMalformed, "chunk of %d bytes at offset %d of %d, at most %d bytes allowed",
			len(wire.Data), wire.Offset, wire.TotalBytes, MaxChunkBytes)
	}
	return Chunk{
		settingsVersion: version, changeID: wire.ChangeID, ancestors: wire.Ancestors,
		totalBytes: wire.TotalBytes, offset: wire.Offset, data: wire.Data,
	}, nil
}
