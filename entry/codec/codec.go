// Package codec encodes what daemons send each other as CBOR.
//
// Decoding refuses what no daemon sends, so that a faulty or foreign peer is
// noticed at its first message: duplicate keys, indefinite lengths, deep
// nesting and unknown fields.
//
// # Usage
//
//	text, err := codec.Encode(message)
//	err = codec.Decode(text, &message)
package codec

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// ErrMalformed means that a text cannot be decoded.
var ErrMalformed = errors.New("malformed CBOR")

const maxNesting = 8

var mode = mustMode()

func mustMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		IndefLength:       cbor.IndefLengthForbidden,
		MaxNestedLevels:   maxNesting,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode returns the CBOR form of v.
func Encode(v any) ([]byte, error) {
	text, err := cbor.Marshal(v)
	return text, errors.Wrap(err, "encode")
}

// Decode reads text into the value that into points to. It returns
// ErrMalformed.
func Decode(text []byte, into any) error {
	if err := mode.Unmarshal(text, into); err != nil {
		return errors.Mark(errors.Wrap(err, "decode"), ErrMalformed)
	}
	return nil
}
