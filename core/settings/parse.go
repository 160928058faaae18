package settings

import (
	"fmt"
	"slices"
	"strings"
)

// maxDistinctExpressions bounds the different conditions of one tree, since each
// compiled one takes a few kilobytes on every daemon.
const maxDistinctExpressions = 1000

// Parse reads and checks a settings tree. Its error is ErrMalformed or
// ErrInvalid and carries every problem.
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

// ParseAccepted reads a tree that was accepted before, possibly by a daemon of
// another version. What this version does not understand or allow is left out
// and returned as problems, so that the rest is in force all the same. The
// error is ErrMalformed, or ErrInvalid for a text that is too long.
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

// treeBuilder turns nodes into a Tree and collects problems.
type treeBuilder struct {
	problems   problemList
	conditions map[string]*GoodAnswer
}

func (b *treeBuilder) buildTree(root *node) *Tree {
	t := &Tree{users: make(map[string]*userSettings), outByDataCentre: make(map[string]bool)}
	b.checkMembers("", root, "settings", "dataCentres", "users")
	t.fleet = b.buildLevel(LevelFleet, "", root, defaults())
	b.visitEntries("dataCentres", root.get("dataCentres"), func(name, at string, n *node) {
		out := b.parseEntryValue(LevelDataCentre, at, n).boolean
		t.outByDataCentre[name] = out
		if out {
			t.dataCentresOut = append(t.dataCentresOut, name)
		}
	})
	slices.Sort(t.dataCentresOut)
	b.visitEntries("users", root.get("users"), func(name, at string, n *node) {
		t.users[name] = b.buildUser(at, n, t.fleet)
	})
	return t
}

func (b *treeBuilder) buildUser(at string, n *node, above *Effective) *userSettings {
	b.checkMembers(at, n, "settings", "services")
	u := &userSettings{effective: b.buildLevel(LevelUser, at, n, above), services: make(map[string]*serviceSettings)}
	b.visitEntries(joinPath(at, "services"), n.get("services"), func(name, at string, n *node) {
		u.services[name] = b.buildService(at, n, u.effective)
	})
	return u
}

func (b *treeBuilder) buildService(at string, n *node, above *Effective) *serviceSettings {
	b.checkMembers(at, n, "settings", "classes", "tenants")
	s := &serviceSettings{
		effective:     b.buildLevel(LevelService, at, n, above),
		classes:       make(map[string]*Effective),
		tenantWeights: make(map[string]float64),
	}
	b.visitEntries(joinPath(at, "classes"), n.get("classes"), func(name, at string, n *node) {
		b.checkMembers(at, n, "settings")
		s.classes[name] = b.buildLevel(LevelClass, at, n, s.effective)
	})
	b.visitEntries(joinPath(at, "tenants"), n.get("tenants"), func(name, at string, n *node) {
		s.tenantWeights[name] = b.parseEntryValue(LevelTenant, at, n).number
	})
	return s
}

// checkMembers checks that n is an object with no other members than known.
func (b *treeBuilder) checkMembers(at string, n *node, known ...string) bool {
	if !b.checkObject(at, n, known) {
		return false
	}
	for _, m := range n.members {
		if !slices.Contains(known, m.name) {
			b.addUnknownKey(joinPath(at, m.name), m.name, known)
		}
	}
	return true
}

func (b *treeBuilder) addUnknownKey(at, name string, known []string) {
	if b.problems.full() {
		b.problems.unlisted++ // no suggestion is searched for what is not listed
		return
	}
	b.problems.add(at, "is not a known key"+didYouMean(name, known), strings.Join(known, ", "))
}

// visitEntries visits the named entries of an object and checks their names. A nil
// node has none.
func (b *treeBuilder) visitEntries(at string, n *node, visit func(name, at string, n *node)) {
	if n == nil {
		return
	}
	if n.kind != objectNode {
		b.problems.add(at, "is "+n.describe()+", not an object", "an object with one member for each name")
		return
	}
	for _, m := range n.members {
		here := joinPath(at, m.name)
		if !validName(m.name) {
			b.problems.add(here, "is not a valid name", nameAllowedText)
		}
		visit(m.name, here, m.value)
	}
}

// parseEntryValue reads an entry that holds one value.
func (b *treeBuilder) parseEntryValue(level Level, at string, n *node) parsedValue {
	id := keyTenantWeight
	if level == LevelDataCentre {
		id = keyDataCentreOut
	}
	if !b.checkMembers(at, n, keyTable[id].name) {
		return defaultSetting(id).value
	}
	if v := n.get(keyTable[id].name); v != nil {
		if s := b.parseSetting(id, joinPath(at, keyTable[id].name), v); s != nil {
			return s.value
		}
	}
	return defaultSetting(id).value
}

// buildLevel reads the settings of one level over those of the level above.
func (b *treeBuilder) buildLevel(level Level, at string, n *node, above *Effective) *Effective {
	own := n.get("settings")
	if own == nil {
		return above
	}
	origin := at
	if level == LevelFleet {
		origin = OriginFleet
	}
	e := &Effective{settings: above.settings, invalid: above.invalid}
	here := joinPath(at, "settings")
	if !b.checkObject(here, own, topLevelNames) {
		return above
	}
	for _, m := range own.members {
		b.parseMember(level, here, origin, m, e)
	}
	b.checkOrder(here, origin, e)
	return e
}

// checkObject reports anything else than an object.
func (b *treeBuilder) checkObject(at string, n *node, known []string) bool {
	if n.kind == objectNode {
		return true
	}
	b.problems.add(at, "is "+n.describe()+", not an object", "an object with "+strings.Join(known, ", "))
	return false
}

// parseMember reads a key, or a group of keys, of a settings object.
func (b *treeBuilder) parseMember(level Level, at, origin string, m member, e *Effective) {
	here := joinPath(at, m.name)
	if id, ok := keysByName[m.name]; ok && !strings.Contains(m.name, ".") {
		b.assignSetting(level, id, here, origin, m.value, e)
		return
	}
	names, ok := namesByGroup[m.name]
	if !ok {
		b.addUnknownSetting(here, m.name)
		return
	}
	if !b.checkObject(here, m.value, names) {
		return
	}
	for _, inner := range m.value.members {
		id, ok := keysByName[m.name+"."+inner.name]
		if !ok {
			b.addUnknownKey(joinPath(here, inner.name), inner.name, names)
			continue
		}
		b.assignSetting(level, id, joinPath(here, inner.name), origin, inner.value, e)
	}
}

// addUnknownSetting hints at the nested form if a dotted name was used.
func (b *treeBuilder) addUnknownSetting(at, name string) {
	group, rest, dotted := strings.Cut(name, ".")
	if _, known := keysByName[name]; known && dotted {
		b.problems.add(at, "is not a known key", fmt.Sprintf(`%s: {%s: …}`, quoteJSON(group), quoteJSON(rest)))
		return
	}
	b.addUnknownKey(at, name, topLevelNames)
}

func (b *treeBuilder) assignSetting(level Level, id keyID, at, origin string, n *node, e *Effective) {
	key := keyTable[id]
	if !key.AllowedAt(level) {
		b.problems.add(at, "cannot be set at the level "+level.String(), "at the levels "+key.levelNames())
		return
	}
	s := b.parseSetting(id, at, n)
	e.invalid[id] = s == nil
	if s != nil {
		s.origin = origin
		e.settings[id] = s
	}
}

// parseSetting checks a value; it returns nil after a problem.
func (b *treeBuilder) parseSetting(id keyID, at string, n *node) *setting {
	key := keyTable[id]
	v, wrong := key.parseValue(n)
	if wrong == "" && key.kind == KindExpression {
		v.goodAnswer, wrong = b.compileCondition(v.text)
	}
	if wrong != "" {
		b.problems.add(at, wrong, key.AllowedValues())
		return nil
	}
	return &setting{value: v, literal: n.literal()}
}

// compileCondition compiles an expression once for the whole tree.
func (b *treeBuilder) compileCondition(source string) (*GoodAnswer, string) {
	if g, ok := b.conditions[source]; ok {
		return g, ""
	}
	if len(b.conditions) >= maxDistinctExpressions {
		return nil, fmt.Sprintf("is one of more than %d different conditions", maxDistinctExpressions)
	}
	g, err := CompileGoodAnswer(source)
	if err != nil {
		return nil, TrimSentinel(err, ErrExpression)
	}
	if b.conditions == nil {
		b.conditions = make(map[string]*GoodAnswer)
	}
	b.conditions[source] = g
	return g, ""
}
