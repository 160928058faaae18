package platform

import (
	"bytes"
	"encoding/json"
	"net/netip"

	"github.com/cockroachdb/errors"
)

// wireValue is the reply of the platform about a key; JSON has the value as base64.
type wireValue struct {
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
}

func (w wireValue) value() Value { return NewValue(w.Value, w.Revision) }

// wireVM is an element of the list of VMs.
type wireVM struct {
	Address    string `json:"address"`
	Peer       string `json:"peer"`
	DataCentre string `json:"dataCentre"`
	Region     string `json:"region"`
	Role       string `json:"role"`
	User       string `json:"user"`
	Service    string `json:"service"`
	State      string `json:"state"`
}

func (w wireVM) vm() VM {
	return VM{
		address: w.Address, peer: w.Peer, dataCentre: w.DataCentre, region: w.Region,
		role: w.Role, user: w.User, service: w.Service, leaving: w.State == "leaving",
	}
}

// maxNameBytes bounds the names in the list of VMs.
const maxNameBytes = 200

// vmList is the list of VMs as the platform sends it. Decoding leaves out the elements
// that describe no VM, such as one with a field of another type, a port out of range or
// nesting that encoding/json refuses. They do not invalidate the others.
type vmList struct {
	vms     []VM
	skipped int // elements left out
}

func (l *vmList) decode(text []byte) error {
	elements, ok := splitArray(text)
	if !ok {
		return errors.New("the list of VMs is no JSON array")
	}
	l.vms = make([]VM, 0, len(elements))
	for _, element := range elements {
		var w wireVM
		if json.Unmarshal(element, &w) != nil || !w.valid() {
			l.skipped++
			continue
		}
		l.vms = append(l.vms, w.vm())
	}
	return nil
}

// splitArray returns the elements of a JSON array, which may themselves be invalid, and
// false if the text is no array. Unlike encoding/json it has no limit for nesting.
func splitArray(text []byte) (elements [][]byte, ok bool) {
	text = bytes.TrimSpace(text)
	if len(text) < 2 || text[0] != '[' || text[len(text)-1] != ']' {
		return nil, false
	}
	text = text[1 : len(text)-1]
	depth, start, inString := 0, 0, false
	for i := 0; i < len(text); i++ {
		switch c := text[i]; {
		case inString && c == '\\':
			i++
		case c == '"':
			inString = !inString
		case inString:
		case c == '[' || c == '{':
			depth++
		case c == ']' || c == '}':
			if depth--; depth < 0 {
				return nil, false
			}
		case c == ',' && depth == 0:
			elements = append(elements, text[start:i])
			start = i + 1
		}
	}
	if depth != 0 || inString {
		return nil, false
	}
	if last := bytes.TrimSpace(text[start:]); len(last) > 0 || len(elements) > 0 {
		elements = append(elements, last)
	}
	return elements, true
}

func (w wireVM) valid() bool {
	for _, name := range []string{w.DataCentre, w.Region, w.Role, w.User, w.Service, w.State} {
		if len(name) > maxNameBytes {
			return false
		}
	}
	return validAddress(w.Address) && (w.Peer == "" || validAddress(w.Peer))
}

func validAddress(text string) bool {
	address, err := netip.ParseAddrPort(text)
	return err == nil && address.Port() != 0
}
