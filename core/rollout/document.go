// Package rollout brings a settings document into force on every daemon.
//
// A document is in force once the platform has accepted it, and only a newer
// document replaces it. The daemon that wrote a document offers it to its peers,
// which offer it to theirs. Two daemons of each data centre watch the platform
// for the others. Heartbeats carry the version in force, so that peers with
// different versions notice and repair the difference. The package does not
// interpret the content of documents.
//
// # Usage
//
//	r := rollout.New("10.0.0.1:7200", "ikeja", rand.New(rand.NewPCG(seed, 0)), journal)
//	perform(r.SetMembers(now, members))                // on each change of the membership table
//	perform(r.LinkUp(now, peer))
//	perform(r.LinkDown(now, peer))
//	perform(r.ReceivePeerSettings(now, peer, version)) // for each fleet.SettingsReported
//	perform(r.Receive(now, from, message))
//	perform(r.HandlePlatformEvent(now, event))         // answer to Watch, Read or CompareAndSwap
//	perform(r.Propose(now, proposal))
//	perform(r.Tick(now))                               // every 100 ms
//
// For an ApplyDocument action the adapter applies the document and passes
// r.SettingsVersion() to fleet.Membership.SetSettingsVersion before it sends the
// next message.
//
// # Order of documents
//
// Documents are ordered by revision. Two documents with the same revision but
// different content can exist only after the platform lost accepted writes,
// because it was restored from a backup, and a daemon that knew none of them
// wrote a new document. The document with the larger digest then counts as the
// newer one, so that every daemon decides alike without communication.
//
// Such a document does not list the change of the other among its ancestors. An
// answer of the platform that carries one may be older than the restore, so it
// counts only if its call began with the present document in force. A proposal
// replaces only the document that it was made from, at a token that was read
// for it.
package rollout

import (
	"encoding/json"
	"slices"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/lovagegap/lovagegap/core/fleet"
)

// Errors of this package; match them with errors.Is.
var (
	// ErrMalformed reports a message or a stored document that does not follow
	// the format or exceeds one of its limits.
	ErrMalformed = errors.New("malformed settings document or message")
	// ErrTooLarge reports a document with a body of more than MaxBodyBytes.
	ErrTooLarge = errors.New("settings document too large")
)

const (
	// MaxBodyBytes is the maximum size of a document's body. It keeps the stored
	// form, including JSON escapes, within the platform's limit of 1 MB per value.
	MaxBodyBytes = 700 << 10
	// maxAncestors is the number of earlier changes listed in a document. A writer
	// whose reply was lost can tell whether its write took effect as long as at
	// most this many changes followed.
	maxAncestors     = 16
	maxChangeIDBytes = 128
)

// Document is an immutable version of the settings. The body is opaque to this
// package. The zero Document stands for no document.
type Document struct {
	revision  uint64
	changeID  string
	ancestors []string
	body      []byte
}

// NewDocument returns a document without ancestors. It keeps body.
func NewDocument(revision uint64, changeID string, body []byte) Document {
	return Document{revision: revision, changeID: changeID, body: body}
}

// Revision returns the revision, which starts at one; zero means no document.
func (d Document) Revision() uint64 { return d.revision }

// ChangeID returns the id of the change that made the document.
func (d Document) ChangeID() string { return d.changeID }

// Body returns the content. The caller must not modify it.
func (d Document) Body() []byte { return d.body }

// Ancestors returns the ids of the preceding changes, latest first.
func (d Document) Ancestors() []string { return d.ancestors }

// IncludesChange reports whether the document was made by the change or lists it
// among its ancestors.
func (d Document) IncludesChange(changeID string) bool {
	return d.changeID == changeID || slices.Contains(d.ancestors, changeID)
}

// follows reports whether the document was made from other, directly or through the changes
// that it lists.
func (d Document) follows(other Document) bool {
	return other.revision == 0 || d.IncludesChange(other.changeID)
}

// Digest returns a hash of all fields of the document, or zero for no document.
func (d Document) Digest() uint64 {
	if d.revision == 0 {
		return 0
	}
	var h xxhash.Digest
	h.Reset()
	for i := range 8 {
		_, _ = h.Write([]byte{byte(d.revision >> (8 * i))})
	}
	for _, text := range append([]string{d.changeID}, d.ancestors...) {
		_, _ = h.WriteString(text)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(d.body)
	return h.Sum64()
}

// SettingsVersion returns the revision and the digest of the document.
func (d Document) SettingsVersion() fleet.SettingsVersion {
	return fleet.NewSettingsVersion(d.revision, d.Digest())
}

// isNewer reports whether a comes after b in the order that the package comment
// describes.
func isNewer(a, b fleet.SettingsVersion) bool {
	if a.Revision() != b.Revision() {
		return a.Revision() > b.Revision()
	}
	return a.Digest() > b.Digest()
}

// successor returns the document that follows d after a change.
func (d Document) successor(changeID string, body []byte) Document {
	next := NewDocument(d.revision+1, changeID, body)
	if d.revision == 0 {
		return next
	}
	next.ancestors = append([]string{d.changeID}, d.ancestors...)
	next.ancestors = next.ancestors[:min(maxAncestors, len(next.ancestors))]
	return next
}

// storedDocument is the JSON form of a document at the platform.
type storedDocument struct {
	Revision  uint64   `json:"revision"`
	ChangeID  string   `json:"changeId"`
	Ancestors []string `json:"ancestors,omitempty"`
	Body      string   `json:"body"`
}

// EncodeStored returns the value of the platform's key for the document. It
// returns ErrTooLarge or ErrMalformed if the document exceeds a limit.
func (d Document) EncodeStored() ([]byte, error) {
	if err := d.validate(); err != nil {
		return nil, err
	}
	return json.Marshal(storedDocument{
		Revision: d.revision, ChangeID: d.changeID, Ancestors: d.ancestors, Body: string(d.body),
	})
}

// ParseStored decodes the value of the platform's key. It returns ErrMalformed or
// ErrTooLarge for a value that is not a valid document.
func ParseStored(value []byte) (Document, error) {
	var stored storedDocument
	if err := json.Unmarshal(value, &stored); err != nil {
		return Document{}, errors.Wrapf(ErrMalformed, "decode stored settings document: %v", err)
	}
	d := NewDocument(stored.Revision, stored.ChangeID, []byte(stored.Body))
	d.ancestors = stored.Ancestors
	if err := d.validate(); err != nil {
		return Document{}, err
	}
	return d, nil
}

func (d Document) validate() error {
	switch {
	case len(d.body) > MaxBodyBytes:
		return errors.Wrapf(ErrTooLarge, "body of %d bytes, at most %d allowed", len(d.body), MaxBodyBytes)
	case d.revision == 0 || d.changeID == "" || len(d.changeID) > maxChangeIDBytes:
		return errors.Wrapf(ErrMalformed, "revision %d, change id of %d bytes; want a revision from 1 and 1 to %d bytes",
			d.revision, len(d.changeID), maxChangeIDBytes)
	case !utf8.Valid(d.body) || !utf8.ValidString(d.changeID):
		return errors.Wrapf(ErrMalformed, "revision %d: body or change id is not UTF-8", d.revision)
	case len(d.ancestors) > maxAncestors:
		return errors.Wrapf(ErrMalformed, "%d ancestors, at most %d allowed", len(d.ancestors), maxAncestors)
	}
	for _, ancestor := range d.ancestors {
		if ancestor == "" || len(ancestor) > maxChangeIDBytes || !utf8.ValidString(ancestor) {
			return errors.Wrapf(ErrMalformed, "ancestor %.64q is not UTF-8 of 1 to %d bytes", ancestor, maxChangeIDBytes)
		}
	}
	return nil
}
