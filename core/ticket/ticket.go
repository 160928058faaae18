// Package ticket issues signed tickets, each of which allows one non-idempotent
// request to run at most once.
//
// A caller obtains a ticket before it sends the request. Only the daemon that issued
// the ticket may run the request, in the same incarnation and only once; other daemons
// refuse it. The state of tickets is kept in memory only: a later incarnation returns
// StatusUnknown and never runs the request a second time.
//
// # Usage
//
//	issuer := ticket.NewIssuer("10.0.0.1:7000", incarnation, key)
//	t, err := issuer.Issue(now)
//	// send t.Text() to the caller, which returns it with its request
//	decision := issuer.Admit(now, text)
//	if decision.Status() == ticket.StatusAdmitted {
//		// run the query
//		issuer.RecordOutcome(decision.Ticket(), ticket.OutcomeCompleted)
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

// Errors of Issue.
var (
	// ErrFull is returned if the number of unexpired tickets has reached the capacity
	// of the issuer.
	ErrFull = errors.New("ticket: too many unexpired tickets")
	// ErrNoKey is returned if the issuer has no signing key or no owner.
	ErrNoKey = errors.New("ticket: issuer has no signing key or no owner")
)

// Ticket is the right to run one request at most once. It is immutable.
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

// Sequence returns the sequence number of the ticket within the incarnation, which
// starts at 1.
func (t Ticket) Sequence() uint64 { return t.sequence }

// Expires returns the time, on the owner's clock, from which the ticket is no longer
// valid.
func (t Ticket) Expires() clock.Millis { return t.expires }

// Text returns the encoded and signed ticket, which callers send with their request.
func (t Ticket) Text() string { return t.text }

// A ticket is encoded as the format version in one byte, three big-endian numbers of
// 8 bytes (incarnation, sequence, expiry as a float64 in milliseconds), the owner's
// id and the HMAC-SHA256 of all that. The text is its URL-safe base64 form.
const (
	formatVersion = 1
	headerBytes   = 1 + 3*8
	macBytes      = sha256.Size

	// maxTextBytes limits the work on a text from a caller. The owner's id, the only
	// part of variable length, is an address and much shorter.
	maxTextBytes = 512
)

var textEncoding = base64.RawURLEncoding.Strict()

// sign returns the ticket with its text.
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

// parseSigned decodes the text of a ticket and checks its signature against the keys.
// It returns false if the text is malformed or no key matches.
func parseSigned(keys [][]byte, text string) (Ticket, bool) {
	if len(text) > maxTextBytes {
		return Ticket{}, false
	}
	raw, err := textEncoding.DecodeString(text)
	// The decoder ignores line breaks, but only the exact text of a ticket is valid.
	if err != nil || textEncoding.EncodeToString(raw) != text ||
		len(raw) <= headerBytes+macBytes || raw[0] != formatVersion {
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

// hasValidSignature reports whether mac is the signature of payload with one of the
// keys. Empty keys match nothing.
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
