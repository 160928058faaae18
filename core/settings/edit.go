package settings

import (
	"encoding/json"
	"strings"

	"github.com/cockroachdb/errors"
)

// ErrNotSet is returned when the value to clear is not set at that path.
var ErrNotSet = errors.New("settings: not set")

// Set returns the tree's text with one value set at a path such as
// "users.association.services.review-desk"; everything else is kept. A class,
// a tenant or a data centre is added if the tree does not name it; a user or
// a service is not, since a misspelt one would take no effect. The result is
// checked as by Parse.
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
	holder, err := e.container(true)
	if err != nil {
		return nil, err
	}
	group, name := splitKey(key)
	if group != "" {
		holder = childObject(holder, group)
	}
	holder.put(name, v)
	return e.finish()
}

// Unset returns the tree's text without the value that is set at the path, so
// that it is inherited again; everything else is kept. Objects that become
// empty are removed up to the level. It returns ErrNotSet if there is no such
// value.
func Unset(text []byte, path, key string) ([]byte, error) {
	e, err := newEdit(text, path, key)
	if err != nil {
		return nil, err
	}
	holder, err := e.container(false)
	if err != nil {
		return nil, err
	}
	group, name := splitKey(key)
	inner := holder
	if group != "" {
		inner = holder.get(group)
	}
	if inner == nil || !inner.remove(name) {
		return nil, errors.Wrapf(ErrNotSet, "%s at %s", key, e.displayPath())
	}
	if group != "" && len(inner.members) == 0 {
		holder.remove(group)
	}
	if e.location.level <= LevelClass && len(holder.members) == 0 {
		e.levelObject.remove("settings")
	}
	return e.finish()
}

// TakeDataCentreOut returns the tree's text with a data centre marked as out.
func TakeDataCentreOut(text []byte, dataCentre string) ([]byte, error) {
	return Set(text, "dataCentres."+dataCentre, keyTable[keyDataCentreOut].name, json.RawMessage("true"))
}

// BringDataCentreIn returns the tree's text with a data centre marked as not out.
func BringDataCentreIn(text []byte, dataCentre string) ([]byte, error) {
	return Set(text, "dataCentres."+dataCentre, keyTable[keyDataCentreOut].name, json.RawMessage("false"))
}

// Format returns the tree's text with uniform indentation.
func Format(text []byte) ([]byte, error) {
	t, err := Parse(text)
	if err != nil {
		return nil, err
	}
	return t.root.format(), nil
}

// edit is a change of one value in progress.
type edit struct {
	root        *node
	location    location
	path        string
	levelObject *node // the object of the level, tenant or data centre
}

func newEdit(text []byte, path, key string) (*edit, error) {
	t, err := Parse(text)
	if err != nil {
		return nil, err
	}
	p, err := parseLocation(path)
	if err != nil {
		return nil, err
	}
	if err := checkKey(p.level, path, key); err != nil {
		return nil, err
	}
	return &edit{root: t.root, location: p, path: path}, nil
}

// checkKey returns the problem of a key that is unknown or not allowed at the
// level.
func checkKey(level Level, path, key string) error {
	var problems problemList
	id, ok := findKey(level, key)
	switch {
	case !ok:
		names := keyNames(level)
		problems.add(joinPath(path, key), "is not a known key"+didYouMean(key, names), strings.Join(names, ", "))
	case !keyTable[id].AllowedAt(level):
		problems.add(path, key+" cannot be set at the level "+level.String(), "at the levels "+keyTable[id].levelNames())
	}
	return problems.err()
}

func keyNames(level Level) []string {
	var names []string
	for _, k := range keyTable {
		if k.AllowedAt(level) {
			names = append(names, k.name)
		}
	}
	return names
}

// container returns the object that holds the keys of the place.
func (e *edit) container(create bool) (*node, error) {
	n := e.root
	for i, word := range e.keywords() {
		name := e.location.names[i]
		next := n.get(word).get(name)
		mayAdd := create && (e.location.level >= LevelClass && i == len(e.location.names)-1)
		if next == nil && !mayAdd {
			return nil, errors.Wrapf(ErrNoSuchPath, "%s: the tree has no %s in %s", e.displayPath(), name, word)
		}
		if next == nil {
			next = childObject(childObject(n, word), name)
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
	return nil, errors.Wrapf(ErrNotSet, "nothing at %s", e.displayPath())
}

// keywords returns the member names that lead to the names of the place.
func (e *edit) keywords() []string {
	switch e.location.level {
	case LevelDataCentre:
		return []string{"dataCentres"}
	case LevelTenant:
		return []string{"users", "services", "tenants"}
	}
	return pathKeywords[:len(e.location.names)]
}

func (e *edit) displayPath() string {
	if e.location.level == LevelFleet {
		return OriginFleet
	}
	return e.path
}

// finish formats the tree and checks the result.
func (e *edit) finish() ([]byte, error) {
	text := e.root.format()
	if _, err := Parse(text); err != nil {
		return nil, err
	}
	return text, nil
}

// childObject returns the object member of that name, adding it if it is missing.
func childObject(n *node, name string) *node {
	c := n.get(name)
	if c == nil {
		c = &node{kind: objectNode}
		n.put(name, c)
	}
	return c
}

// splitKey cuts "hedge.ratio" into its group and the name within it.
func splitKey(key string) (group, name string) {
	group, name, grouped := strings.Cut(key, ".")
	if !grouped {
		return "", key
	}
	return group, name
}

// JSONFromText turns a value as typed on a command line into JSON, by the kind of
// the key at the path. The text of an unknown key becomes a string; Set then
// reports the key.
func JSONFromText(path, key, text string) json.RawMessage {
	p, err := parseLocation(path)
	if err != nil {
		return json.RawMessage(quoteJSON(text))
	}
	k, _ := Lookup(p.level, key)
	return k.JSONFromText(text)
}
