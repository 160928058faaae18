package settings

// orderConstraint is a rule between two keys: the value of small must not exceed that
// of large.
type orderConstraint struct {
	lower, upper keyID
}

// orderConstraints are checked on effective values, so that a value set at one level
// cannot contradict one inherited from another.
var orderConstraints = []orderConstraint{
	// An answer between the two would be both early and an error.
	{keyMinCoverage, keyWantedCoverage},
	{keyEjectionBase, keyEjectionMax},
	// The concurrency of a cold upstream grows up to its slots.
	{keyColdStartInitial, keyUpstreamsSlots},
	// A connection carries one exchange at a time.
	{keyUpstreamsSlots, keyUpstreamsConnections},
}

// checkOrder applies the rules at a level that set one of the two keys; a
// level that only inherits them repeats no problem.
func (b *treeBuilder) checkOrder(at, origin string, e *Effective) {
	for _, o := range orderConstraints {
		small, large := e.settings[o.lower], e.settings[o.upper]
		if small.value.number <= large.value.number || e.invalid[o.lower] || e.invalid[o.upper] {
			continue
		}
		switch {
		case small.origin == origin:
			b.problems.add(at+"."+keyTable[o.lower].name,
				small.literal+" is above "+keyTable[o.upper].name+", which is "+large.literal+" (from "+large.origin+")",
				"at most "+large.literal)
		case large.origin == origin:
			b.problems.add(at+"."+keyTable[o.upper].name,
				large.literal+" is below "+keyTable[o.lower].name+", which is "+small.literal+" (from "+small.origin+")",
				"at least "+small.literal)
		}
	}
}
