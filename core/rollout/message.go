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

// ChunkSize is the size of a piece of a document. It keeps heartbeats from
// waiting behind a large document on the same link.
const ChunkSize = 64 << 10

// Offer says that the sender has a document.
type Offer struct{ settings fleet.SettingsVersion }

// NewOffer returns an offer.
func NewOffer(settings fleet.SettingsVersion) Offer { return Offer{settings: settings} }

// Kind implements fleet.Message.
func (Offer) Kind() fleet.Kind { return KindOffer }

// Settings identifies the document.
func (o Offer) Settings() fleet.SettingsVersion { return o.settings }

// Pull asks for a document from an offset on.
type Pull struct {
	settings fleet.SettingsVersion
	offset   int
}

// NewPull returns a request for the rest of a document.
func NewPull(settings fleet.SettingsVersion, offset int) Pull {
	return Pull{settings: settings, offset: offset}
}

// Kind implements fleet.Message.
func (Pull) Kind() fleet.Kind { return KindPull }

// Settings identifies the document.
func (p Pull) Settings() fleet.SettingsVersion { return p.settings }

// Offset is the number of bytes that the receiver holds.
func (p Pull) Offset() int { return p.offset }

// Chunk is a piece of a document's body.
type Chunk struct {
	settings  fleet.SettingsVersion
	change    string
	ancestors []string
	total     int
	offset    int
	data      []byte
}

// chunkOf returns the piece of d at offset.
func chunkOf(d Document, digest uint64, offset int) Chunk {
	end := min(len(d.body), offset+ChunkSize)
	return Chunk{
		settings: fleet.NewSettingsVersion(d.revision, digest), change: d.change, ancestors: d.ancestors,
		total: len(d.body), offset: offset, data: d.body[offset:end],
	}
}

// Kind implements fleet.Message.
func (Chunk) Kind() fleet.Kind { return KindDocument }

// Settings identifies the document.
func (c Chunk) Settings() fleet.SettingsVersion { return c.settings }

// Total is the size of the whole body.
func (c Chunk) Total() int { return c.total }

// Offset is the position of the piece.
func (c Chunk) Offset() int { return c.offset }

// Data is the piece.
func (c Chunk) Data() []byte { return c.data }
