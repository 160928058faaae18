package settings

import (
	"fmt"
	"slices"
	"strings"
)

// maxDistinctExpressions is the maximum number of distinct expressions of a tree.
// Each compiled one takes a few kilobytes on every daemon.
const maxDistinctExpressions = 1000

// Parse parses and checks a settings tree. Its error is ErrMalformed or ErrInvalid
// and carries every problem, which Problems returns.
func Parse(text []byte) (*Tree, error) {
	var b treeBuilder
	root, err := readNode(text, &b.problems)
	if err != nil {
		return nil, err
	}
	t := b.buildTree(root)
	if err := b.problems.err(); err != nil {
		return nil, err
	}
	t.text, t.root = slices.Clone(text), root
	return t, nil
}

// ParseAccepted parses a tree that was accepted before, possibly by a daemon of
// another version. Keys and values that this version does not know or allow are
// ignored and returned as problems, so that the others still take effect. The
// error is ErrMalformed, or ErrInvalid for a text above MaxTreeBytes.
func ParseAccepted(text []byte) (*Tree, []Problem, error) {
	var b treeBuilder
	root, err := readNode(text, &b.problems)
	if err != nil {
		return nil, nil, err
	}
	t := b.buildTree(root)
	t.text, t.root = slices.Clone(text), root
	return t, Problems(b.problems.err()), nil
}

// treeBuilder builds a Tree from JSON nodes and collects the problems. In its
// methods, path is the path of the node and inherited are the values of the level
// above.
type treeBuilder struct {
	problems    problemList
	expressions map[string]*GoodAnswer // by source
}

func (b *treeBuilder) buildTree(root *node) *Tree {
	t := &Tree{users: make(map[string]*userSettings), outByDataCentre: make(map[string]bool)}
	b.checkMembers("", root, "settings", "dataCentres", "users")
	t.fleet = b.buildLevel(LevelFleet, "", root, defaults())
	b.visitEntries("dataCentres", root.get("dataCentres"), func(name, path string, n *node) {
		out := b.parseEntryValue(LevelDataCentre, path, n).boolean
		t.outByDataCentre[name] = out
		if out {
			t.dataCentresOut = append(t.dataCentresOut, name)
		}
	})
	slices.Sort(t.dataCentresOut)
	b.visitEntries("users", root.get("users"), func(name, path string, n *node) {
		t.users[name] = b.buildUser(path, n, t.fleet)
	})
	return t
}

func (b *treeBuilder) buildUser(path string, n *node, inherited *Effective) *userSettings {
	b.checkMembers(path, n, "settings", "services")
	u := &userSettings{effective: b.buildLevel(LevelUser, path, n, inherited), services: make(map[string]*serviceSettings)}
	b.visitEntries(joinPath(path, "services"), n.get("services"), func(name, path string, n *node) {
		u.services[name] = b.buildService(path, n, u.effective)
	})
	return u
}

func (b *treeBuilder) buildService(path string, n *node, inherited *Effective) *serviceSettings {
	b.checkMembers(path, n, "settings", "classes", "tenants")
	s := &serviceSettings{
		effective:     b.buildLevel(LevelService, path, n, inherited),
		classes:       make(map[string]*Effective),
		tenantWeights: make(map[string]float64),
	}
	b.visitEntries(joinPath(path, "classes"), n.get("classes"), func(name, path string, n *node) {
		b.checkMembers(path, n, "settings")
		s.classes[name] = b.buildLevel(LevelClass, path, n, s.effective)
	})
	b.visitEntries(joinPath(path, "tenants"), n.get("tenants"), func(name, path string, n *node) {
		s.tenantWeights[name] = b.parseEntryValue(LevelTenant, path, n).number
	})
	return s
}

// checkMembers checks that n is an object whose members are all known. It returns
// false only if n is not an object.
func (b *treeBuilder) checkMembers(path string, n *node, known ...string) bool {
	if !b.checkObject(path, n, known) {
		return false
	}
	for _, m := range n.members {
		if !slices.Contains(known, m.name) {
			b.addUnknownKey(joinPath(path, m.name), m.name, known)
		}
	}
	return true
}

func (b *treeBuilder) addUnknownKey(path, name string, known []string) {
	if b.problems.full() {
		b.problems.unlisted++ // the search for a suggestion is spared for problems that are not listed
		return
	}
	b.problems.add(path, "is not a known key"+didYouMean(name, known), strings.Join(known, ", "))
}

// visitEntries calls visit for each entry of an object whose members are names
// chosen by operators, and checks these names. A nil node has no entries.
func (b *treeBuilder) visitEntries(path string, n *node, visit func(name, path string, n *node)) {
	if n == nil {
		return
	}
	if n.kind != objectNode {
		b.problems.add(path, "is "+n.describe()+", not an object", "an object with one member for each name")
		return
	}
	for _, m := range n.members {
		memberPath := joinPath(path, m.name)
		if !validName(m.name) {
			b.problems.add(memberPath, "is not a valid name", nameAllowedText)
		}
		visit(m.name, memberPath, m.value)
	}
}

// parseEntryValue returns the single value of a tenant or data centre, or its
// default.
func (b *treeBuilder) parseEntryValue(level Level, path string, n *node) parsedValue {
	id := keyTenantWeight
	if level == LevelDataCentre {
		id = keyDataCentreOut
	}
	if !b.checkMembers(path, n, keyTable[id].name) {
		return defaultSetting(id).value
	}
	if v := n.get(keyTable[id].name); v != nil {
		if s := b.parseSetting(id, joinPath(path, keyTable[id].name), v); s != nil {
			return s.value
		}
	}
	return defaultSetting(id).value
}

// buildLevel returns the values in force at a level: its own settings over the
// inherited ones.
func (b *treeBuilder) buildLevel(level Level, path string, n *node, inherited *Effective) *Effective {
	own := n.get("settings")
	if own == nil {
		return inherited
	}
	origin := path
	if level == LevelFleet {
		origin = OriginFleet
	}
	e := &Effective{settings: inherited.settings, invalid: inherited.invalid}
	settingsPath := joinPath(path, "settings")
	if !b.checkObject(settingsPath, own, topLevelNames) {
		return inherited
	}
	for _, m := range own.members {
		b.parseMember(level, settingsPath, origin, m, e)
	}
	b.checkOrder(settingsPath, origin, e)
	return e
}

// checkObject reports whether n is an object, and adds a problem if it is not.
func (b *treeBuilder) checkObject(path string, n *node, known []string) bool {
	if n.kind == objectNode {
		return true
	}
	b.problems.add(path, "is "+n.describe()+", not an object", "an object with "+strings.Join(known, ", "))
	return false
}

// parseMember sets the key, or the group of keys, that a member of a settings
// object holds.
func (b *treeBuilder) parseMember(level Level, path, origin string, m member, e *Effective) {
	memberPath := joinPath(path, m.name)
	if id, ok := keysByName[m.name]; ok && !strings.Contains(m.name, ".") {
		b.assignSetting(level, id, memberPath, origin, m.value, e)
		return
	}
	names, ok := namesByGroup[m.name]
	if !ok {
		b.addUnknownSetting(memberPath, m.name)
		return
	}
	if !b.checkObject(memberPath, m.value, names) {
		return
	}
	for _, inner := range m.value.members {
		id, ok := keysByName[m.name+"."+inner.name]
		if !ok {
			b.addUnknownKey(joinPath(memberPath, inner.name), inner.name, names)
			continue
		}
		b.assignSetting(level, id, joinPath(memberPath, inner.name), origin, inner.value, e)
	}
}

// addUnknownSetting adds the problem of an unknown key. For a known key written
// with a dot it suggests the nested form.
func (b *treeBuilder) addUnknownSetting(path, name string) {
	group, rest, dotted := strings.Cut(name, ".")
	if _, known := keysByName[name]; known && dotted {
		b.problems.add(path, "is not a known key", fmt.Sprintf(`%s: {%s: …}`, quoteJSON(group), quoteJSON(rest)))
		return
	}
	b.addUnknownKey(path, name, topLevelNames)
}

func (b *treeBuilder) assignSetting(level Level, id keyID, path, origin string, n *node, e *Effective) {
	key := keyTable[id]
	if !key.AllowedAt(level) {
		b.problems.add(path, "cannot be set at the level "+level.String(), "at the levels "+key.joinedLevels())
		return
	}
	s := b.parseSetting(id, path, n)
	e.invalid[id] = s == nil
	if s != nil {
		s.origin = origin
		e.settings[id] = s
	}
}

// parseSetting checks a value. It returns nil if it added a problem.
func (b *treeBuilder) parseSetting(id keyID, path string, n *node) *setting {
	key := keyTable[id]
	v, reason := key.parseValue(n)
	if reason == "" && key.kind == KindExpression {
		v.goodAnswer, reason = b.compileExpression(v.text)
	}
	if reason != "" {
		b.problems.add(path, reason, key.AllowedValues())
		return nil
	}
	return &setting{value: v, literal: n.literal()}
}

// compileExpression compiles an expression, each distinct one once for the whole
// tree. The second result describes the problem, or is "".
func (b *treeBuilder) compileExpression(source string) (*GoodAnswer, string) {
	if g, ok := b.expressions[source]; ok {
		return g, ""
	}
	if len(b.expressions) >= maxDistinctExpressions {
		return nil, fmt.Sprintf("is one of more than %d distinct expressions", maxDistinctExpressions)
	}
	g, err := CompileGoodAnswer(source)
	if err != nil {
		return nil, TrimSentinel(err, ErrExpression)
	}
	if b.expressions == nil {
		b.expressions = make(map[string]*GoodAnswer)
	}
	b.expressions[source] = g
	return g, ""
}
