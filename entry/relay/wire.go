package relay

import (
	"github.com/cockroachdb/errors"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/snapshot"
	"github.com/lovagegap/lovagegap/core/upstream"
	"github.com/lovagegap/lovagegap/entry/codec"
)

// errMessage means that a peer sent a relay message that no daemon sends.
var errMessage = errors.New("bad relay message")

type messageKind uint8

const (
	askMessage messageKind = iota + 1
	answerMessage
	cancelMessage
)

// message is one message of the relay protocol. Data longer than maxPiece is sent
// in several messages with the same number, all but the last marked More.
type message struct {
	Number uint64      `cbor:"1,keyasint"`
	Kind   messageKind `cbor:"2,keyasint"`
	Ask    *wireAsk    `cbor:"3,keyasint,omitempty"`
	Answer *wireAnswer `cbor:"4,keyasint,omitempty"`
	Data   []byte      `cbor:"5,keyasint,omitempty"`
	More   bool        `cbor:"6,keyasint,omitempty"`
}

type wireAsk struct {
	Service  string           `cbor:"1,keyasint"`
	Upstream upstream.ID      `cbor:"2,keyasint"`
	Request  string           `cbor:"3,keyasint"`
	Shard    snapshot.Shard   `cbor:"4,keyasint"`
	Version  snapshot.Version `cbor:"5,keyasint"`
	Left     clock.Millis     `cbor:"6,keyasint"`
	Fresh    bool             `cbor:"7,keyasint,omitempty"`
	Granted  bool             `cbor:"8,keyasint,omitempty"`
}

type wireAnswer struct {
	Kind    upstream.Outcome `cbor:"1,keyasint"`
	Latency clock.Millis     `cbor:"2,keyasint"`
	Boot    string           `cbor:"3,keyasint,omitempty"`
	Shard   snapshot.Shard   `cbor:"4,keyasint"`
	Version snapshot.Version `cbor:"5,keyasint"`
}

const (
	maxPiece = 128 << 10 // below the message limit of a link
	maxData  = 4 << 20   // as for a direct sub-answer
)

func decode(text []byte) (message, error) {
	var m message
	if err := codec.Decode(text, &m); err != nil {
		return m, err
	}
	switch {
	case m.Kind == askMessage && m.Ask == nil && !m.More && len(m.Data) == 0:
		return m, errors.Wrap(errMessage, "empty ask")
	case m.Kind < askMessage || m.Kind > cancelMessage:
		return m, errors.Wrapf(errMessage, "unknown kind %d", m.Kind)
	}
	return m, nil
}

// pieces splits data into messages. The header fields of m go into the first.
func pieces(m message, data []byte) []message {
	var all []message
	for {
		size := min(len(data), maxPiece)
		m.Data, data = data[:size], data[size:]
		m.More = len(data) > 0
		all = append(all, m)
		if !m.More {
			return all
		}
		m.Ask, m.Answer = nil, nil
	}
}
