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
	"io"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// ErrMalformed means that a text cannot be decoded.
var ErrMalformed = errors.New("malformed CBOR")

const maxNestingLevels = 8

var decMode = newDecMode()

func newDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		IndefLength:       cbor.IndefLengthForbidden,
		MaxNestedLevels:   maxNestingLevels,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode returns the CBOR form of v.
func Encode(v any) ([]byte, error) {
	data, err := cbor.Marshal(v)
	return data, errors.Wrap(err, "encode")
}

// Decode reads text into the value that into points to. It returns
// ErrMalformed.
func Decode(data []byte, target any) error {
	if err := decMode.Unmarshal(data, target); err != nil {
		return errors.Mark(errors.Wrap(err, "decode"), ErrMalformed)
	}
	return nil
}

// Decoder reads values that follow one another.
type Decoder struct{ inner *cbor.Decoder }

// NewDecoder returns a decoder of what r yields. It reads more than it needs.
func NewDecoder(r io.Reader) *Decoder { return &Decoder{inner: decMode.NewDecoder(r)} }

// Decode reads the next value into the value that into points to. It returns
// io.EOF after the last one, the error of the reader, or ErrMalformed.
func (d *Decoder) Decode(target any) error {
	err := d.inner.Decode(target)
	var syntaxErr *cbor.SyntaxError
	switch {
	case err == nil, errors.Is(err, io.EOF):
		return err
	case errors.As(err, &syntaxErr):
		return errors.Mark(errors.Wrap(err, "decode"), ErrMalformed)
	default:
		return errors.Wrap(err, "decode")
	}
}
