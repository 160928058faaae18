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

// MaxChunkBytes is the maximum size of the data in a Chunk. It is
// small so that heartbeats do not wait for a large document on the same link.
const MaxChunkBytes = 64 << 10

// Offer announces the version that the sender has in force.
type Offer struct{ settingsVersion fleet.SettingsVersion }

// NewOffer returns an offer of the document with the given version.
func NewOffer(version fleet.SettingsVersion) Offer { return Offer{settingsVersion: version} }

// Kind implements fleet.Message.
func (Offer) Kind() fleet.Kind { return KindOffer }

// SettingsVersion returns the version of the document.
func (o Offer) SettingsVersion() fleet.SettingsVersion { return o.settingsVersion }

// Pull requests the body of a document from an offset on.
type Pull struct {
	settingsVersion fleet.SettingsVersion
	offset          int
}

// NewPull returns a request for the body from offset on, in bytes.
func NewPull(version fleet.SettingsVersion, offset int) Pull {
	return Pull{settingsVersion: version, offset: offset}
}

// Kind implements fleet.Message.
func (Pull) Kind() fleet.Kind { return KindPull }

// SettingsVersion returns the version of the document.
func (p Pull) SettingsVersion() fleet.SettingsVersion { return p.settingsVersion }

// Offset returns the number of bytes of the body that the requester has.
func (p Pull) Offset() int { return p.offset }

// Chunk is a part of a document's body, with the other fields of the document.
type Chunk struct {
	settingsVersion fleet.SettingsVersion
	changeID        string
	ancestors       []string
	totalBytes      int
	offset          int
	data            []byte
}

// newChunk returns the chunk of d that begins at offset. The digest is that of d.
func newChunk(d Document, digest uint64, offset int) Chunk {
	end := min(len(d.body), offset+MaxChunkBytes)
	return Chunk{
		settingsVersion: fleet.NewSettingsVersion(d.revision, digest), changeID: d.changeID, ancestors: d.ancestors,
		totalBytes: len(d.body), offset: offset, data: d.body[offset:end],
	}
}

// Kind implements fleet.Message.
func (Chunk) Kind() fleet.Kind { return KindDocument }

// SettingsVersion returns the version of the document.
func (c Chunk) SettingsVersion() fleet.SettingsVersion { return c.settingsVersion }

// TotalBytes returns the size of the whole body.
func (c Chunk) TotalBytes() int { return c.totalBytes }

// Offset returns the position of the data in the body, in bytes.
func (c Chunk) Offset() int { return c.offset }

// Data returns the bytes of the body that the chunk carries.
func (c Chunk) Data() []byte { return c.data }
