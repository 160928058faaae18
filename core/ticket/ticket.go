// Package ticket grants the right to run a non-idempotent request once.
//
// A daemon issues a ticket before the request is sent. Only the daemon that
// issued it, in the same incarnation, may run the request, and only once;
// everybody else refuses. What happened to tickets is kept in memory only: a
// later incarnation answers Unknown and never runs the request a second time.
//
// # Usage
//
//	issuer := ticket.NewIssuer("10.0.0.1:7000", incarnation, key)
//	t, err := issuer.Issue(now)
//	// the caller sends t.Text() back with its request
//	verdict := issuer.Admit(now, text)
//	if verdict.Kind() == ticket.StatusAdmitted {
//		// run the query
//		issuer.Settle(verdict.Ticket(), ticket.OutcomeCompleted)
//	}
package ticket

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"math"

	"github.com/cockroachdb/errors"

	"github.com/lovagegap/lovagegap/core/clock"
)

// Sentinel errors.
var (
	// ErrFull means that so many unexpired tickets are out that another one
	// could not be remembered.
	ErrFull = errors.New("too many tickets are out")
	// ErrNoKey means that the issuer has no key or no daemon id.
	ErrNoKey = errors.New("no key to sign tickets with")
)

// Ticket is the right to run one request once.
type Ticket struct {
	owner       string
	incarnation uint64
	sequence    uint64
	expires     clock.Millis
	text        string
}

// Owner returns the id of the daemon that issued the ticket.
func (t Ticket) Owner() string { return t.owner }

// Incarnation returns the incarnation of the owner.
func (t Ticket) Incarnation() uint64 { return t.incarnation }

// Sequence returns the number of the ticket within the incarnation.
func (t Ticket) Sequence() uint64 { return t.sequence }

// Expires returns the instant, on the owner's clock, from which the ticket
// gives no right any more.
func (t Ticket) Expires() clock.Millis { return t.expires }

// Text returns the form that callers carry.
func (t Ticket) Text() string { return t.text }

// The binary form is the format number, three big-endian numbers of 8 bytes
// (incarnation, sequence, expiry), the owner's id and the signature.
const (
	formatVersion = 1
	headerBytes   = 1 + 3*8
	macBytes      = sha256.Size

	// maxTextBytes bounds the work on a text from outside. An owner's id is an
	// address, far below it.
	maxTextBytes = 512
)

var textEncoding = base64.RawURLEncoding.Strict()

// sign fills in the text.
func (t Ticket) sign(key []byte) Ticket {
	raw := make([]byte, 0, headerBytes+len(t.owner)+macBytes)
	raw = append(raw, formatVersion)
	raw = binary.BigEndian.AppendUint64(raw, t.incarnation)
	raw = binary.BigEndian.AppendUint64(raw, t.sequence)
	raw = binary.BigEndian.AppendUint64(raw, math.Float64bits(float64(t.expires)))
	raw = append(raw, t.owner...)
	raw = append(raw, signature(key, raw)...)
	t.text = textEncoding.EncodeToString(raw)
	return t
}

// parseSigned reads a text and checks its signature.
func parseSigned(keys [][]byte, text string) (Ticket, bool) {
	if len(text) > maxTextBytes {
		return Ticket{}, false
	}
	raw, err := textEncoding.DecodeString(text)
	// The decoder skips line breaks; a ticket has one form only.
	if err != nil || textEncoding.EncodeToString(raw) != text || len(raw) <= headerBytes+macBytes || raw[0] != formatVersion {
		return Ticket{}, false
	}
	payload, mac := raw[:len(raw)-macBytes], raw[len(raw)-macBytes:]
	if !hasValidSignature(keys, payload, mac) {
		return Ticket{}, false
	}
	return Ticket{
		incarnation: binary.BigEndian.Uint64(payload[1:]),
		sequence:    binary.BigEndian.Uint64(payload[9:]),
		expires:     clock.Millis(math.Float64frombits(binary.BigEndian.Uint64(payload[17:]))),
		owner:       string(payload[headerBytes:]),
		text:        text,
	}, true
}

// hasValidSignature reports whether mac is the signature of payload with one of the keys.
func hasValidSignature(keys [][]byte, payload, mac []byte) bool {
	for _, key := range keys {
		if len(key) > 0 && hmac.Equal(mac, signature(key, payload)) {
			return true
		}
	}
	return false
}

func signature(key, payload []byte) []byte {
	mac := hmac.New(sha256.New, key)
	_, _ = mac.Write(payload)
	return mac.Sum(nil)
}
