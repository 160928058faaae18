package settings

// orderConstraint requires that the value of lower does not exceed that of upper.
type orderConstraint struct {
	lower, upper keyID
}

// orderConstraints are checked on effective values, so that a value set at one level
// cannot contradict one inherited from another.
var orderConstraints = []orderConstraint{
	// Otherwise tail-first could answer early with a coverage that makes the answer
	// an error.
	{keyMinCoverage, keyWantedCoverage},
	{keyEjectionBase, keyEjectionMax},
	// The concurrency of a cold upstream starts at the initial value and grows to its
	// slots.
	{keyColdStartInitial, keyUpstreamsSlots},
	// A connection carries one exchange at a time, so each slot needs its own.
	{keyUpstreamsSlots, keyUpstreamsConnections},
}

// checkOrder checks the constraints of which the level of origin sets a key. A level
// that inherits both keys does not repeat the problem of a level above.
func (b *treeBuilder) checkOrder(path, origin string, e *Effective) {
	for _, c := range orderConstraints {
		lower, upper := e.settings[c.lower], e.settings[c.upper]
		if lower.value.number <= upper.value.number || e.invalid[c.lower] || e.invalid[c.upper] {
			continue
		}
		switch {
		case lower.origin == origin:
			b.problems.add(path+"."+keyTable[c.lower].name,
				lower.literal+" is above "+keyTable[c.upper].name+", which is "+upper.literal+" (from "+upper.origin+")",
				"at most "+upper.literal)
		case upper.origin == origin:
			b.problems.add(path+"."+keyTable[c.upper].name,
				upper.literal+" is below "+keyTable[c.lower].name+", which is "+lower.literal+" (from "+lower.origin+")",
				"at least "+lower.literal)
		}
	}
}
