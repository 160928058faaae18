package settings

import (
	"bytes"
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// ErrDocument is returned for a stored document that cannot be read.
var ErrDocument = errors.New("settings: invalid document")

// maxLabelBytes is the maximum length of a change id or an author.
const maxLabelBytes = 128

// Document is one revision of the settings tree with the change that made it. It is
// immutable. The zero value is revision 0: no settings have been written yet.
type Document struct {
	revision uint64
	changeID string
	author   string
	text     []byte
}

// NewDocument returns a document with a copy of the tree's text, which it does not
// check.
func NewDocument(revision uint64, changeID, author string, text []byte) Document {
	return Document{revision: revision, changeID: changeID, author: author, text: bytes.Clone(text)}
}

// Revision returns the revision, which increases with each change.
func (d Document) Revision() uint64 { return d.revision }

// ChangeID returns the id of the change that made the revision.
func (d Document) ChangeID() string { return d.changeID }

// Author returns who made the change.
func (d Document) Author() string { return d.author }

// Text returns the JSON text of the tree. The caller must not change it.
func (d Document) Text() []byte {
	if d.text == nil {
		return []byte("{}")
	}
	return d.text
}

// WithRevision returns a copy of the document with another revision.
func (d Document) WithRevision(revision uint64) Document {
	d.revision = revision
	return d
}

// Parse parses and checks the tree, with the errors of the function Parse.
func (d Document) Parse() (*Tree, error) { return Parse(d.Text()) }

// SameVersion reports whether both documents have the same revision and change id.
func (d Document) SameVersion(other Document) bool {
	return d.revision == other.revision && d.changeID == other.changeID
}

// Encode returns the JSON form that the platform stores. It returns ErrDocument if
// the change id, the author or the result is too long.
func (d Document) Encode() ([]byte, error) {
	if len(d.changeID) > maxLabelBytes || len(d.author) > maxLabelBytes {
		return nil, errors.Wrapf(ErrDocument, "change id of %d bytes and author of %d bytes, at most %d are allowed",
			len(d.changeID), len(d.author), maxLabelBytes)
	}
	var out bytes.Buffer
	encoder := json.NewEncoder(&out)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(d.toJSON()); err != nil {
		return nil, errors.WithSecondaryError(ErrDocument, err)
	}
	encoded := bytes.TrimSuffix(out.Bytes(), []byte{'\n'})
	if len(encoded) > MaxDocumentBytes {
		return nil, errors.Wrapf(ErrDocument, "document of %d bytes, at most %d are allowed",
			len(encoded), MaxDocumentBytes)
	}
	return encoded, nil
}

// DecodeDocument decodes the JSON form. It does not check the tree. Its error is
// ErrDocument.
func DecodeDocument(encoded []byte) (Document, error) {
	if len(encoded) > MaxDocumentBytes {
		return Document{}, errors.Wrapf(ErrDocument, "document of %d bytes, at most %d are allowed",
			len(encoded), MaxDocumentBytes)
	}
	var w documentJSON
	if err := json.Unmarshal(encoded, &w); err != nil {
		return Document{}, errors.Wrap(ErrDocument, err.Error())
	}
	if w.ChangeID == "" || len(w.Tree) == 0 {
		return Document{}, errors.Wrap(ErrDocument, "changeId and tree are required")
	}
	if len(w.ChangeID) > maxLabelBytes || len(w.Author) > maxLabelBytes {
		return Document{}, errors.Wrapf(ErrDocument, "change id of %d bytes and author of %d bytes, at most %d are allowed",
			len(w.ChangeID), len(w.Author), maxLabelBytes)
	}
	return NewDocument(w.Revision, w.ChangeID, w.Author, w.Tree), nil
}
