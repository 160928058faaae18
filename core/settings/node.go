package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
)

// Limits of a tree's text.
const (
	// MaxDocumentBytes is the maximum size of an encoded Document: the maximum size
	// of a value in the platform's key-value service.
	MaxDocumentBytes = 1_000_000
	// MaxTreeBytes is the maximum size of the text of a tree. The difference leaves
	// room for the other fields of a Document.
	MaxTreeBytes = MaxDocumentBytes - 4096
	// maxDepth is the maximum nesting of objects and arrays. The deepest valid value
	// is nested nine levels deep.
	maxDepth = 16
)

type nodeKind uint8

const (
	nullNode nodeKind = iota
	boolNode
	numberNode
	stringNode
	arrayNode
	objectNode
)

var nodeKindNames = [...]string{"null", "a bool", "a number", "a string", "an array", "an object"}

// node is a JSON value that preserves the order of members and the notation of
// numbers, so that an edit leaves the rest of a text as it is.
type node struct {
	kind    nodeKind
	text    string   // literal of a bool or number, content of a string
	members []member // of an object
	items   []*node  // of an array
}

type member struct {
	name  string
	value *node
}

// describe returns the type of the value with an article, for use in problems.
func (n *node) describe() string { return nodeKindNames[n.kind] }

// get returns the value of a member, or nil if there is none or n is nil.
func (n *node) get(name string) *node {
	if n == nil {
		return nil
	}
	for _, m := range n.members {
		if m.name == name {
			return m.value
		}
	}
	return nil
}

// put sets the value of a member, which it appends if there is none of the name.
func (n *node) put(name string, v *node) {
	for i, m := range n.members {
		if m.name == name {
			n.members[i].value = v
			return
		}
	}
	n.members = append(n.members, member{name, v})
}

// remove deletes a member and reports whether it existed.
func (n *node) remove(name string) bool {
	for i, m := range n.members {
		if m.name == name {
			n.members = append(n.members[:i], n.members[i+1:]...)
			return true
		}
	}
	return false
}

// literal returns the JSON text of the value on one line.
func (n *node) literal() string {
	switch n.kind {
	case stringNode:
		return quoteJSON(n.text)
	case nullNode:
		return "null"
	case arrayNode, objectNode:
		var out bytes.Buffer
		n.write(&out, "", "")
		return out.String()
	}
	return n.text
}

// readNode parses a JSON text. Duplicate members and values nested too deeply are
// added to problems; the first of several duplicates is kept. Its error is
// ErrMalformed, or ErrInvalid for a text above MaxTreeBytes.
func readNode(text []byte, problems *problemList) (*node, error) {
	if len(text) > MaxTreeBytes {
		problems.add("", fmt.Sprintf("the tree is %d bytes long", len(text)), fmt.Sprintf("at most %d bytes", MaxTreeBytes))
		return nil, problems.err()
	}
	if err := checkSyntax(text); err != nil {
		return nil, err
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	r := nodeReader{decoder: decoder, problems: problems}
	root, err := r.readValue("", 0)
	if err != nil {
		return nil, malformedError(text, 0, err.Error())
	}
	return root, nil
}

// checkSyntax returns ErrMalformed with line and column if text is not JSON.
func checkSyntax(text []byte) error {
	if !utf8.Valid(text) {
		return malformedError(text, invalidUTF8Offset(text), "invalid UTF-8")
	}
	var raw json.RawMessage
	err := json.Unmarshal(text, &raw)
	if err == nil {
		return nil
	}
	offset := len(text)
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		offset = int(syntax.Offset) - 1
	}
	if strings.HasPrefix(err.Error(), "unexpected end") {
		offset = len(text)
	}
	return malformedError(text, offset, err.Error())
}

// invalidUTF8Offset returns the offset of the first byte that is not valid UTF-8.
func invalidUTF8Offset(text []byte) int {
	for i := 0; i < len(text); {
		r, size := utf8.DecodeRune(text[i:])
		if r == utf8.RuneError && size == 1 {
			return i
		}
		i += size
	}
	return len(text)
}

// malformedError returns an ErrMalformed that gives the line and column of offset,
// which counts bytes.
func malformedError(text []byte, offset int, reason string) error {
	before := text[:min(max(offset, 0), len(text))]
	line := 1 + bytes.Count(before, []byte{'\n'})
	column := 1 + utf8.RuneCount(before[bytes.LastIndexByte(before, '\n')+1:])
	message := fmt.Sprintf("line %d, column %d: %s", line, column, reason)
	return &Error{sentinel: ErrMalformed, problems: []Problem{{text: message, allowed: "a JSON object"}}}
}

// nodeReader builds nodes from the tokens of a decoder.
type nodeReader struct {
	decoder  *json.Decoder
	problems *problemList
}

func (r *nodeReader) readValue(path string, depth int) (*node, error) {
	if depth > maxDepth {
		r.problems.add(path, "is nested too deeply", fmt.Sprintf("at most %d levels", maxDepth))
		var skipped json.RawMessage
		return &node{kind: nullNode}, r.decoder.Decode(&skipped)
	}
	token, err := r.decoder.Token()
	if err != nil {
		return nil, err
	}
	switch t := token.(type) {
	case json.Delim:
		if t == '{' {
			return r.readObject(path, depth)
		}
		return r.readArray(path, depth)
	case string:
		return &node{kind: stringNode, text: t}, nil
	case json.Number:
		return &node{kind: numberNode, text: t.String()}, nil
	case bool:
		return &node{kind: boolNode, text: fmt.Sprint(t)}, nil
	}
	return &node{kind: nullNode}, nil
}

func (r *nodeReader) readObject(path string, depth int) (*node, error) {
	n := &node{kind: objectNode}
	seen := make(map[string]bool)
	for r.decoder.More() {
		token, err := r.decoder.Token()
		if err != nil {
			return nil, err
		}
		name, _ := token.(string)
		memberPath := joinPath(path, name)
		v, err := r.readValue(memberPath, depth+1)
		if err != nil {
			return nil, err
		}
		if seen[name] {
			r.problems.add(memberPath, "is given more than once", "one value for each key")
			continue
		}
		seen[name] = true
		n.members = append(n.members, member{name, v})
	}
	_, err := r.decoder.Token()
	return n, err
}

func (r *nodeReader) readArray(path string, depth int) (*node, error) {
	n := &node{kind: arrayNode}
	for r.decoder.More() {
		v, err := r.readValue(path, depth+1)
		if err != nil {
			return nil, err
		}
		n.items = append(n.items, v)
	}
	_, err := r.decoder.Token()
	return n, err
}

// joinPath appends a name to a path. A name that is not valid is quoted, since it
// may contain dots.
func joinPath(path, name string) string {
	step := truncate(name)
	if !validName(step) {
		step = quoteJSON(step)
	}
	if path == "" {
		return step
	}
	return path + "." + step
}

// maxNameBytes is the maximum length of the name of a user, service, class, tenant
// or data centre.
const maxNameBytes = 63

func validName(name string) bool {
	if name == "" || len(name) > maxNameBytes {
		return false
	}
	for _, c := range []byte(name) {
		letter := c|0x20 >= 'a' && c|0x20 <= 'z'
		digit := c >= '0' && c <= '9'
		if !letter && !digit && c != '-' {
			return false
		}
	}
	return true
}

const nameAllowedText = "1 to 63 letters, digits and hyphens"
