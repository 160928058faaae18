package settings

// Change is a path whose value differs between two trees.
type Change struct {
	path string
	old  string
	new  string
}

// Path returns the path, for example "users.tatra.settings.policy".
func (c Change) Path() string { return c.path }

// Old returns the earlier value as JSON, or "" if the path was not set.
func (c Change) Old() string { return c.old }

// New returns the later value as JSON, or "" if the path is no longer set.
func (c Change) New() string { return c.new }

// String returns the change on one line.
func (c Change) String() string {
	switch {
	case c.old == "":
		return c.path + ": set to " + c.new
	case c.new == "":
		return c.path + ": " + c.old + " removed"
	}
	return c.path + ": " + c.old + " changed to " + c.new
}

// Diff returns the paths whose values differ, in the order of the tree before and,
// for paths that are new, of the tree after.
func Diff(before, after *Tree) []Change {
	return diffNodes("", before.node(), after.node(), nil)
}

// node returns the root, which is an empty object for the zero Tree.
func (t *Tree) node() *node {
	if t.root == nil {
		return &node{kind: objectNode}
	}
	return t.root
}

// diffNodes appends the changes from before to after. A nil node is a path that is
// not set.
func diffNodes(path string, before, after *node, changes []Change) []Change {
	if !before.hasMembers() && !after.hasMembers() {
		if from, to := compactJSON(before), compactJSON(after); from != to {
			changes = append(changes, Change{path: path, old: from, new: to})
		}
		return changes
	}
	beforeMembers, afterMembers := before.membersByName(), after.membersByName()
	for _, m := range before.memberList() {
		changes = diffNodes(joinPath(path, m.name), m.value, afterMembers[m.name], changes)
	}
	for _, m := range after.memberList() {
		if beforeMembers[m.name] == nil {
			changes = diffNodes(joinPath(path, m.name), nil, m.value, changes)
		}
	}
	return changes
}

func (n *node) hasMembers() bool { return n != nil && len(n.members) > 0 }

// memberList returns the members; a nil node has none.
func (n *node) memberList() []member {
	if n == nil {
		return nil
	}
	return n.members
}

// membersByName returns the values by name. With get, the comparison of two objects
// would take time quadratic in their members.
func (n *node) membersByName() map[string]*node {
	index := make(map[string]*node, len(n.memberList()))
	for _, m := range n.memberList() {
		index[m.name] = m.value
	}
	return index
}

// compactJSON returns the JSON of n on one line, or "" for nil.
func compactJSON(n *node) string {
	if n == nil {
		return ""
	}
	return n.literal()
}
