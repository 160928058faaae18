package rollout

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/lovagegap/lovagegap/core/fleet"
)

// WireMessage is the body of every message of this package; each kind uses the
// fields that it needs.
type WireMessage struct {
	Revision  uint64   `cbor:"1,keyasint"`
	Digest    uint64   `cbor:"2,keyasint"`
	Offset    int      `cbor:"3,keyasint,omitempty"`
	Total     int      `cbor:"4,keyasint,omitempty"`
	Change    string   `cbor:"5,keyasint,omitempty"`
	Ancestors []string `cbor:"6,keyasint,omitempty"`
	Data      []byte   `cbor:"7,keyasint,omitempty"`
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
		wire = WireMessage{Revision: v.settings.Revision(), Digest: v.settings.Digest()}
	case Pull:
		wire = WireMessage{Revision: v.settings.Revision(), Digest: v.settings.Digest(), Offset: v.offset}
	case Chunk:
		wire = WireMessage{
			Revision: v.settings.Revision(), Digest: v.settings.Digest(), Offset: v.offset,
			Total: v.total, Change: v.change, Ancestors: v.ancestors, Data: v.data,
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
	if wire.Revision == 0 || wire.Offset < 0 || wire.Total < 0 || wire.Total > MaxBody || wire.Offset > MaxBody {
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

func parseChunk(settings fleet.SettingsVersion, wire WireMessage) (fleet.Message, error) {
	head := Document{revision: wire.Revision, change: wire.Change, ancestors: wire.Ancestors}
	if err := head.check(); err != nil {
		return nil, errors.Wrapf(ErrMalformed, "chunk: %v", err)
	}
	if len(wire.Data) > ChunkSize || wire.Offset+len(wire.Data) > wire.Total {
		return nil, errors.Wrap(ErrMalformed, "chunk out of range")
	}
	return Chunk{
		settings: settings, change: wire.Change, ancestors: wire.Ancestors,
		total: wire.Total, offset: wire.Offset, data: wire.Data,
	}, nil
}
