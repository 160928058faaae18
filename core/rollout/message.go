package rollout

import (
	"github.com/lovagegap/lovagegap/core/fleet"
)

// Kinds of messages of this package.
const (
	KindOffer    fleet.Kind = "settings-offer"
	KindPull     fleet.Kind = "settings-pull"
	KindDocument fleet.Kind = "settings-document"
)

// MaxChunkBytes is the size of a piece of a document. It keeps heartbeats from
// waiting behind a large document on the same link.
const MaxChunkBytes = 64 << 10

// Offer says that the sender has a document.
type Offer struct{ settingsVersion fleet.SettingsVersion }

// NewOffer returns an offer.
func NewOffer(version fleet.SettingsVersion) Offer { return Offer{settingsVersion: version} }

// Kind implements fleet.Message.
func (Offer) Kind() fleet.Kind { return KindOffer }

// SettingsVersion identifies the document.
func (o Offer) SettingsVersion() fleet.SettingsVersion { return o.settingsVersion }

// Pull asks for a document from an offset on.
type Pull struct {
	settingsVersion fleet.SettingsVersion
	offset          int
}

// NewPull returns a request for the rest of a document.
func NewPull(version fleet.SettingsVersion, offset int) Pull {
	return Pull{settingsVersion: version, offset: offset}
}

// Kind implements fleet.Message.
func (Pull) Kind() fleet.Kind { return KindPull }

// SettingsVersion identifies the document.
func (p Pull) SettingsVersion() fleet.SettingsVersion { return p.settingsVersion }

// Offset is the number of bytes that the receiver holds.
func (p Pull) Offset() int { return p.offset }

// Chunk is a piece of a document's body.
type Chunk struct {
	settingsVersion fleet.SettingsVersion
	changeID        string
	ancestors       []string
	totalBytes      int
	offset          int
	data            []byte
}

// newChunk returns the piece of d at offset.
func newChunk(d Document, digest uint64, offset int) Chunk {
	end := min(len(d.body), offset+MaxChunkBytes)
	return Chunk{
		settingsVersion: fleet.NewSettingsVersion(d.revision, digest), changeID: d.changeID, ancestors: d.ancestors,
		totalBytes: len(d.body), offset: offset, data: d.body[offset:end],
	}
}

// Kind implements fleet.Message.
func (Chunk) Kind() fleet.Kind { return KindDocument }

// SettingsVersion identifies the document.
func (c Chunk) SettingsVersion() fleet.SettingsVersion { return c.settingsVersion }

// TotalBytes is the size of the whole body.
func (c Chunk) TotalBytes() int { return c.totalBytes }

// Offset is the position of the piece.
func (c Chunk) Offset() int { return c.offset }

// Data is the piece.
func (c Chunk) Data() []byte { return c.data }
