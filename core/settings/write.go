package settings

import (
	"bytes"
	"encoding/json"
)

// indentStep is the indentation of one level of nesting in a formatted tree.
const indentStep = "  "

// quoteJSON returns text as a JSON string. Unlike json.Marshal it does not escape
// <, > and &, which are common in expressions.
func quoteJSON(text string) string {
	var out bytes.Buffer
	encoder := json.NewEncoder(&out)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(text); err != nil {
		return `""`
	}
	return string(bytes.TrimSuffix(out.Bytes(), []byte{'\n'}))
}

// format returns the node as indented JSON with a final newline.
func (n *node) format() []byte {
	var out bytes.Buffer
	n.write(&out, "", indentStep)
	out.WriteByte('\n')
	return out.Bytes()
}

// write appends the node to out. The step is the indentation of one level of
// nesting, and margin that of the line on which the node begins. With an empty step
// the output is a single line without spaces.
func (n *node) write(out *bytes.Buffer, margin, step string) {
	switch n.kind {
	case objectNode:
		n.writeObject(out, margin, step)
	case arrayNode:
		n.writeArray(out, margin, step)
	default:
		out.WriteString(n.literal())
	}
}

func (n *node) writeObject(out *bytes.Buffer, margin, step string) {
	if len(n.members) == 0 {
		out.WriteString("{}")
		return
	}
	out.WriteByte('{')
	for i, m := range n.members {
		writeSeparator(out, i, margin+step, step)
		out.WriteString(quoteJSON(m.name))
		out.WriteByte(':')
		if step != "" {
			out.WriteByte(' ')
		}
		m.value.write(out, margin+step, step)
	}
	writeClosing(out, margin, step, '}')
}

func (n *node) writeArray(out *bytes.Buffer, margin, step string) {
	if len(n.items) == 0 {
		out.WriteString("[]")
		return
	}
	out.WriteByte('[')
	for i, v := range n.items {
		writeSeparator(out, i, margin+step, step)
		v.write(out, margin+step, step)
	}
	writeClosing(out, margin, step, ']')
}

// writeSeparator writes what precedes element i of an object or array.
func writeSeparator(out *bytes.Buffer, i int, margin, step string) {
	if i > 0 {
		out.WriteByte(',')
	}
	if step != "" {
		out.WriteByte('\n')
		out.WriteString(margin)
	}
}

// writeClosing writes the end of an object or array that is not empty.
func writeClosing(out *bytes.Buffer, margin, step string, delimiter byte) {
	if step != "" {
		out.WriteByte('\n')
		out.WriteString(margin)
	}
	out.WriteByte(delimiter)
}
