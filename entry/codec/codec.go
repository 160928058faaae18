// Package codec encodes and decodes the messages between daemons, as CBOR.
//
// Decoding is strict: it refuses duplicate keys, indefinite lengths, nesting of more
// than 8 levels and unknown fields. No daemon sends these, so a faulty or foreign
// peer is detected at its first message.
//
// # Usage
//
//	data, err := codec.Encode(message)
//	err = codec.Decode(data, &message)
package codec

import (
	"io"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// ErrMalformed means that data is not valid CBOR or does not fit the target.
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
	return data, errors.Wrap(err, "encode CBOR")
}

// Decode decodes data into target, which must be a pointer. The error is
// ErrMalformed.
func Decode(data []byte, target any) error {
	if err := decMode.Unmarshal(data, target); err != nil {
		return errors.Mark(errors.Wrap(err, "decode CBOR"), ErrMalformed)
	}
	return nil
}

// Decoder reads consecutive values from a reader. It is not safe for concurrent
// use.
type Decoder struct{ inner *cbor.Decoder }

// NewDecoder returns a decoder of the values in r. It may read beyond the last
// decoded value.
func NewDecoder(r io.Reader) *Decoder { return &Decoder{inner: decMode.NewDecoder(r)} }

// Decode decodes the next value into target, which must be a pointer. It returns
// io.EOF after the last value. Other errors are those of the reader, ErrMalformed
// for invalid CBOR, and an unmarked error for a value that does not fit target.
func (d *Decoder) Decode(target any) error {
	err := d.inner.Decode(target)
	var syntaxErr *cbor.SyntaxError
	switch {
	case err == nil, errors.Is(err, io.EOF):
		return err
	case errors.As(err, &syntaxErr):
		return errors.Mark(errors.Wrap(err, "decode CBOR"), ErrMalformed)
	default:
		return errors.Wrap(err, "decode CBOR")
	}
}
