package settings

import (
	"encoding/json"
	"strings"

	"github.com/cockroachdb/errors"
)

// ErrNotSet is returned by Unset if the key is not set at the path.
var ErrNotSet = errors.New("settings: not set")

// Set returns the tree's text, formatted, with a key set at a path such as
// "users.association.services.review-desk". A class, a tenant or a data centre is
// added if the tree does not name it. A user or a service is not, since a misspelt
// one would have no effect: the error is ErrNoSuchPath. Both the given text and the
// result are checked as by Parse.
func Set(text []byte, path, key string, value json.RawMessage) ([]byte, error) {
	e, err := newEdit(text, path, key)
	if err != nil {
		return nil, err
	}
	var problems problemList
	v, err := readNode(value, &problems)
	if err != nil {
		return nil, err
	}
	object, err := e.container(true)
	if err != nil {
		return nil, err
	}
	group, name := splitKey(key)
	if group != "" {
		object = childObject(object, group)
	}
	object.put(name, v)
	return e.finish()
}

// Unset returns the tree's text, formatted, without the value of a key at a path,
// so that the value is inherited again. A group and a settings object that become
// empty are removed too. It returns ErrNotSet if the key is not set at the path.
func Unset(text []byte, path, key string) ([]byte, error) {
	e, err := newEdit(text, path, key)
	if err != nil {
		return nil, err
	}
	object, err := e.container(false)
	if err != nil {
		return nil, err
	}
	group, name := splitKey(key)
	inner := object
	if group != "" {
		inner = object.get(group)
	}
	if inner == nil || !inner.remove(name) {
		return nil, errors.Wrapf(ErrNotSet, "%s at %s", key, e.displayPath())
	}
	if group != "" && len(inner.members) == 0 {
		object.remove(group)
	}
	if e.location.level <= LevelClass && len(object.members) == 0 {
		e.levelObject.remove("settings")
	}
	return e.finish()
}

// TakeDataCentreOut returns the tree's text with a data centre marked as out of
// service: its upstreams receive no new work.
func TakeDataCentreOut(text []byte, dataCentre string) ([]byte, error) {
	return Set(text, "dataCentres."+dataCentre, keyTable[keyDataCentreOut].name, json.RawMessage("true"))
}

// BringDataCentreIn returns the tree's text with a data centre marked as in service.
func BringDataCentreIn(text []byte, dataCentre string) ([]byte, error) {
	return Set(text, "dataCentres."+dataCentre, keyTable[keyDataCentreOut].name, json.RawMessage("false"))
}

// Format returns the tree's text with uniform indentation. The text is checked as by
// Parse.
func Format(text []byte) ([]byte, error) {
	t, err := Parse(text)
	if err != nil {
		return nil, err
	}
	return t.root.format(), nil
}

// edit changes one value of a tree.
type edit struct {
	root        *node
	location    location
	path        string // as given by the caller
	levelObject *node  // the object of the level, tenant or data centre; set by container
}

// newEdit parses the text and checks that the key is allowed at the path.
func newEdit(text []byte, path, key string) (*edit, error) {
	t, err := Parse(text)
	if err != nil {
		return nil, err
	}
	loc, err := parseLocation(path)
	if err != nil {
		return nil, err
	}
	if err := checkKey(loc.level, path, key); err != nil {
		return nil, err
	}
	return &edit{root: t.root, location: loc, path: path}, nil
}

// checkKey returns ErrInvalid for a key that is unknown or not allowed at the level.
func checkKey(level Level, path, key string) error {
	var problems problemList
	id, ok := findKey(level, key)
	switch {
	case !ok:
		names := keyNames(level)
		problems.add(joinPath(path, key), "is not a known key"+didYouMean(key, names), strings.Join(names, ", "))
	case !keyTable[id].AllowedAt(level):
		problems.add(path, key+" cannot be set at the level "+level.String(), "at the levels "+keyTable[id].joinedLevels())
	}
	return problems.err()
}

// keyNames returns the names of the keys that are allowed at a level.
func keyNames(level Level) []string {
	var names []string
	for _, k := range keyTable {
		if k.AllowedAt(level) {
			names = append(names, k.name)
		}
	}
	return names
}

// container returns the object that holds the keys of the location. With create,
// the objects that Set may add are added.
func (e *edit) container(create bool) (*node, error) {
	n := e.root
	for i, keyword := range e.keywords() {
		name := e.location.names[i]
		next := n.get(keyword).get(name)
		addable := create && (e.location.level >= LevelClass && i == len(e.location.names)-1)
		if next == nil && !addable {
			return nil, errors.Wrapf(ErrNoSuchPath, "%s: the tree has no %s in %s", e.displayPath(), name, keyword)
		}
		if next == nil {
			next = childObject(childObject(n, keyword), name)
		}
		n = next
	}
	e.levelObject = n
	if e.location.level > LevelClass {
		return n, nil
	}
	if create {
		return childObject(n, "settings"), nil
	}
	if own := n.get("settings"); own != nil {
		return own, nil
	}
	return nil, errors.Wrapf(ErrNotSet, "no settings at %s", e.displayPath())
}

// keywords returns the steps that precede the names of the location.
func (e *edit) keywords() []string {
	switch e.location.level {
	case LevelDataCentre:
		return []string{"dataCentres"}
	case LevelTenant:
		return []string{"users", "services", "tenants"}
	}
	return pathKeywords[:len(e.location.names)]
}

// displayPath returns the path for messages, which is never empty.
func (e *edit) displayPath() string {
	if e.location.level == LevelFleet {
		return OriginFleet
	}
	return e.path
}

// finish returns the formatted tree, which it checks as by Parse.
func (e *edit) finish() ([]byte, error) {
	text := e.root.format()
	if _, err := Parse(text); err != nil {
		return nil, err
	}
	return text, nil
}

// childObject returns the value of a member, which it adds as an empty object if
// there is none.
func childObject(n *node, name string) *node {
	child := n.get(name)
	if child == nil {
		child = &node{kind: objectNode}
		n.put(name, child)
	}
	return child
}

// splitKey splits a key such as "hedge.ratio" into its group and the name within
// it. The group of an ungrouped key is "".
func splitKey(key string) (group, name string) {
	group, name, grouped := strings.Cut(key, ".")
	if !grouped {
		return "", key
	}
	return group, name
}

// JSONFromText converts a value typed on a command line into JSON, according to the
// kind of the key at the path. For an unknown key or path the value becomes a string;
// Set reports the key or path.
func JSONFromText(path, key, text string) json.RawMessage {
	loc, err := parseLocation(path)
	if err != nil {
		return json.RawMessage(quoteJSON(text))
	}
	k, _ := Lookup(loc.level, key)
	return k.JSONFromText(text)
}
