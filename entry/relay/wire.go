package relay

import (
	"github.com/cockroachdb/errors"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/snapshot"
	"github.com/lovagegap/lovagegap/core/upstream"
	"github.com/lovagegap/lovagegap/entry/codec"
)

// errInvalidMessage means that a relay message violates the protocol.
var errInvalidMessage = errors.New("invalid relay message")

type messageKind uint8

const (
	requestMessage messageKind = iota + 1
	resultMessage
	cancelMessage
)

// message is a message of the relay protocol. Number identifies the exchange
// among those of the requesting daemon. Data longer than maxPieceBytes is sent in
// several messages with the same number, all but the last with More set.
type message struct {
	Number  uint64       `cbor:"1,keyasint"`
	Kind    messageKind  `cbor:"2,keyasint"`
	Request *wireRequest `cbor:"3,keyasint,omitempty"`
	Result  *wireResult  `cbor:"4,keyasint,omitempty"`
	Data    []byte       `cbor:"5,keyasint,omitempty"`
	More    bool         `cbor:"6,keyasint,omitempty"`
}

// wireRequest is the head of a sub-request. TimeLeft is the time to the deadline,
// since the clocks of two daemons differ.
type wireRequest struct {
	Service          string           `cbor:"1,keyasint"`
	Upstream         upstream.ID      `cbor:"2,keyasint"`
	AttemptID        string           `cbor:"3,keyasint"`
	Shard            snapshot.Shard   `cbor:"4,keyasint"`
	Version          snapshot.Version `cbor:"5,keyasint"`
	TimeLeft         clock.Millis     `cbor:"6,keyasint"`
	FreshConnection  bool             `cbor:"7,keyasint,omitempty"`
	ColdShareGranted bool             `cbor:"8,keyasint,omitempty"`
}

// wireResult is the head of a result. Boot identifies the process of the
// upstream that replied.
type wireResult struct {
	Outcome upstream.Outcome `cbor:"1,keyasint"`
	Latency clock.Millis     `cbor:"2,keyasint"`
	Boot    string           `cbor:"3,keyasint,omitempty"`
	Shard   snapshot.Shard   `cbor:"4,keyasint"`
	Version snapshot.Version `cbor:"5,keyasint"`
}

const (
	maxPieceBytes = 128 << 10 // below the message limit of a link
	maxDataBytes  = 4 << 20   // the limit for a direct reply of an upstream
)

func decodeMessage(data []byte) (message, error) {
	var m message
	if err := codec.Decode(data, &m); err != nil {
		return m, err
	}
	switch {
	case m.Kind == requestMessage && m.Request == nil && !m.More && len(m.Data) == 0:
		return m, errors.Wrapf(errInvalidMessage, "request %d has neither a head nor data", m.Number)
	case m.Kind < requestMessage || m.Kind > cancelMessage:
		return m, errors.Wrapf(errInvalidMessage, "unknown message kind %d", m.Kind)
	}
	return m, nil
}

// split splits data into messages of at most maxPieceBytes. Only the first has
// the head of m.
func split(m message, data []byte) []message {
	var all []message
	for {
		size := min(len(data), maxPieceBytes)
		m.Data, data = data[:size], data[size:]
		m.More = len(data) > 0
		all = append(all, m)
		if !m.More {
			return all
		}
		m.Request, m.Result = nil, nil
	}
}
