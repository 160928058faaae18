package settings

// Change is one path whose value differs between two trees.
type Change struct {
	path string
	old  string
	new  string
}

// Path returns the path, for example "users.tatra.settings.policy".
func (c Change) Path() string { return c.path }

// Old returns the earlier value as JSON, or "" if the path was not set.
func (c Change) Old() string { return c.old }

// New returns the later value as JSON, or "" if the path is not set any more.
func (c Change) New() string { return c.new }

// String formats the change in one line.
func (c Change) String() string {
	switch {
	case c.old == "":
		return c.path + ": set to " + c.new
	case c.new == "":
		return c.path + ": " + c.old + " removed"
	}
	return c.path + ": " + c.old + " changed to " + c.new
}

// Diff lists the paths whose values differ, in the order of the tree before and
// then of the one after.
func Diff(before, after *Tree) []Change {
	return diffNodes("", before.node(), after.node(), nil)
}

func (t *Tree) node() *node {
	if t.root == nil {
		return &node{kind: objectNode}
	}
	return t.root
}

// diffNodes appends the changes from a to b; a nil node is not set.
func diffNodes(path string, a, b *node, changes []Change) []Change {
	if !a.hasMembers() && !b.hasMembers() {
		if from, to := compactJSON(a), compactJSON(b); from != to {
			changes = append(changes, Change{path: path, old: from, new: to})
		}
		return changes
	}
	before, after := a.membersByName(), b.membersByName()
	for _, m := range a.memberList() {
		changes = diffNodes(joinPath(path, m.name), m.value, after[m.name], changes)
	}
	for _, m := range b.memberList() {
		if before[m.name] == nil {
			changes = diffNodes(joinPath(path, m.name), nil, m.value, changes)
		}
	}
	return changes
}

func (n *node) hasMembers() bool { return n != nil && len(n.members) > 0 }

func (n *node) memberList() []member {
	if n == nil {
		return nil
	}
	return n.members
}

// membersByName maps names to values; get would make the comparison of two objects
// quadratic in their members.
func (n *node) membersByName() map[string]*node {
	index := make(map[string]*node, len(n.memberList()))
	for _, m := range n.memberList() {
		index[m.name] = m.value
	}
	return index
}

func compactJSON(n *node) string {
	if n == nil {
		return ""
	}
	return n.literal()
}
