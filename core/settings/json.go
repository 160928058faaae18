package settings

import "encoding/json"

// documentJSON is the JSON form in which a Document is stored.
type documentJSON struct {
	Revision uint64          `json:"revision"`
	ChangeID string          `json:"changeId"`
	Author   string          `json:"author"`
	Tree     json.RawMessage `json:"tree"`
}

func (d Document) toJSON() documentJSON {
	return documentJSON{Revision: d.revision, ChangeID: d.changeID, Author: d.author, Tree: d.Text()}
}

// problemJSON is the JSON form of a Problem in the operators' API.
type problemJSON struct {
	Path    string `json:"path"`
	Problem string `json:"problem"`
	Allowed string `json:"allowed"`
}

// MarshalJSON returns an object with the members path, problem and allowed.
func (p Problem) MarshalJSON() ([]byte, error) {
	return json.Marshal(problemJSON{Path: p.path, Problem: p.text, Allowed: p.allowed})
}

// UnmarshalJSON decodes the form that MarshalJSON returns.
func (p *Problem) UnmarshalJSON(data []byte) error {
	var w problemJSON
	if err := json.Unmarshal(data, &w); err != nil {
		return err
	}
	*p = Problem{path: w.Path, text: w.Problem, allowed: w.Allowed}
	return nil
}

// valueJSON is the JSON form of a Value in the operators' API.
type valueJSON struct {
	Key    string          `json:"key"`
	Value  json.RawMessage `json:"value"`
	Origin string          `json:"origin"`
}

// MarshalJSON returns an object with the members key, value and origin.
func (v Value) MarshalJSON() ([]byte, error) {
	return json.Marshal(valueJSON{Key: v.key, Value: v.JSON(), Origin: v.origin})
}

// UnmarshalJSON decodes the form that MarshalJSON returns.
func (v *Value) UnmarshalJSON(data []byte) error {
	var w valueJSON
	if err := json.Unmarshal(data, &w); err != nil {
		return err
	}
	*v = Value{key: w.Key, literal: string(w.Value), origin: w.Origin}
	return nil
}
