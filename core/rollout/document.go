// Package rollout brings a settings document into force on every daemon.
//
// A document is in force from the moment the platform accepts it and never
// gives way to an older one. The daemon that wrote it floods it to its peers;
// two daemons of each data centre watch the platform for all others;
// differences are repaired by the summary in the heartbeats. The package does
// not interpret documents.
//
// # Usage
//
//	r := rollout.New("10.0.0.1:7200", "ikeja", rand.New(rand.NewPCG(seed, 0)), journal)
//	perform(r.SetMembers(now, members))        // on each change of the view
//	perform(r.LinkUp(now, peer)); perform(r.LinkDown(now, peer))
//	perform(r.Seen(now, peer, settings))       // for each fleet.SettingsReported
//	perform(r.Receive(now, from, message))
//	perform(r.Platform(now, event))            // reply to Watch, Read, CompareAndSwap
//	perform(r.Propose(now, proposal))
//	every 100 ms: perform(r.Tick(now))
//
// An InForce action carries the document to apply; the adapter also passes
// r.Settings() to fleet.Membership.SetSettingsVersion before the next message is sent.
//
// # Order of documents
//
// Documents are ordered by revision. Two documents with one revision but
// different content can exist only after the platform lost accepted writes
// (it was restored from a copy) and a daemon that knew none of them wrote
// anew. Then the document with the larger digest is the newer one, which every
// daemon decides in the same way without an exchange.
package rollout

import (
	"encoding/json"
	"slices"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/lovagegap/lovagegap/core/fleet"
)

// Sentinel errors.
var (
	// ErrMalformed means that a message or a stored document does not follow
	// the format or breaks one of its limits.
	ErrMalformed = errors.New("malformed settings message")
	// ErrTooLarge means that a document does not fit into a platform value.
	ErrTooLarge = errors.New("settings document too large")
)

const (
	// MaxBodyBytes keeps the stored form, with escapes, within the platform's limit
	// of 1 MB for a value.
	MaxBodyBytes = 700 << 10
	// maxAncestors is the number of earlier changes named in a document. A
	// writer that lost a reply decides exactly while no more than this many
	// changes follow its own.
	maxAncestors     = 16
	maxChangeIDBytes = 128
)

// Document is a settings document. The body is opaque.
type Document struct {
	revision  uint64
	changeID  string
	ancestors []string
	body      []byte
}

// NewDocument returns a document.
func NewDocument(revision uint64, changeID string, body []byte) Document {
	return Document{revision: revision, changeID: changeID, body: body}
}

// Revision returns the revision, zero for no document.
func (d Document) Revision() uint64 { return d.revision }

// ChangeID returns the id of the change that made the document.
func (d Document) ChangeID() string { return d.changeID }

// Body returns the content.
func (d Document) Body() []byte { return d.body }

// Ancestors returns the ids of the changes before, latest first.
func (d Document) Ancestors() []string { return d.ancestors }

// IncludesChange reports whether the change is part of the document's known history.
func (d Document) IncludesChange(changeID string) bool {
	return d.changeID == changeID || slices.Contains(d.ancestors, changeID)
}

// Digest covers the whole document; it is zero for no document.
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

// SettingsVersion identifies the document in heartbeats.
func (d Document) SettingsVersion() fleet.SettingsVersion {
	return fleet.NewSettingsVersion(d.revision, d.Digest())
}

// isNewer reports whether a comes after b in the order of documents.
func isNewer(a, b fleet.SettingsVersion) bool {
	if a.Revision() != b.Revision() {
		return a.Revision() > b.Revision()
	}
	return a.Digest() > b.Digest()
}

// successor returns the document that a proposal makes of d.
func (d Document) successor(changeID string, body []byte) Document {
	following := NewDocument(d.revision+1, changeID, body)
	if d.revision == 0 {
		return following
	}
	following.ancestors = append([]string{d.changeID}, d.ancestors...)
	following.ancestors = following.ancestors[:min(maxAncestors, len(following.ancestors))]
	return following
}

// storedDocument is the value of the platform key.
type storedDocument struct {
	Revision  uint64   `json:"revision"`
	ChangeID  string   `json:"changeId"`
	Ancestors []string `json:"ancestors,omitempty"`
	Body      string   `json:"body"`
}

// EncodeStored returns the value of the platform key for the document.
func (d Document) EncodeStored() ([]byte, error) {
	if err := d.validate(); err != nil {
		return nil, err
	}
	return json.Marshal(storedDocument{
		Revision: d.revision, ChangeID: d.changeID, Ancestors: d.ancestors, Body: string(d.body),
	})
}

// ParseStored reads the value of the platform key. It returns ErrMalformed.
func ParseStored(value []byte) (Document, error) {
	var stored storedDocument
	if err := json.Unmarshal(value, &stored); err != nil {
		return Document{}, errors.Wrapf(ErrMalformed, "decode stored settings: %v", err)
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
		return errors.Wrapf(ErrTooLarge, "%d bytes", len(d.body))
	case d.revision == 0 || d.changeID == "" || len(d.changeID) > maxChangeIDBytes:
		return errors.Wrap(ErrMalformed, "revision or change id out of range")
	case !utf8.Valid(d.body) || !utf8.ValidString(d.changeID):
		return errors.Wrap(ErrMalformed, "not UTF-8")
	case len(d.ancestors) > maxAncestors:
		return errors.Wrapf(ErrMalformed, "%d ancestors", len(d.ancestors))
	}
	for _, ancestor := range d.ancestors {
		if ancestor == "" || len(ancestor) > maxChangeIDBytes || !utf8.ValidString(ancestor) {
			return errors.Wrap(ErrMalformed, "ancestor out of range")
		}
	}
	return nil
}
