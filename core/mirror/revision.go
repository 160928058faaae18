package mirror

import (
	"cmp"
	"strconv"
)

// Era is a time between two restores of the store from an older copy. After a restore the
// store issues revisions again that it has issued before. The zero value is the era of a
// store that states none and has not been seen to go back.
type Era struct {
	stated   uint64 // by the store; 0 if it states none
	inferred uint64 // restores since then that were inferred from revisions that went back
}

// NewEra returns an era of which the store states the first number, which is 0 if it states
// none. Inferred is the number of restores that daemons inferred since.
func NewEra(stated, inferred uint64) Era { return Era{stated: stated, inferred: inferred} }

// Stated returns the number that the store states, or 0.
func (e Era) Stated() uint64 { return e.stated }

// Inferred returns the number of restores that were inferred since the store stated the era.
func (e Era) Inferred() uint64 { return e.inferred }

// Compare returns a negative number if e is earlier than other, and a positive one if it is
// later.
func (e Era) Compare(other Era) int {
	return cmp.Or(cmp.Compare(e.stated, other.stated), cmp.Compare(e.inferred, other.inferred))
}

// next returns the era after a restore that the store does not state. Call.Resolve infers it.
func (e Era) next() Era { return Era{stated: e.stated, inferred: e.inferred + 1} }

// String returns the number that the store states and, if there are any, that of inferred
// restores, as in "3" and "3.1".
func (e Era) String() string {
	text := strconv.FormatUint(e.stated, 10)
	if e.inferred > 0 {
		text += "." + strconv.FormatUint(e.inferred, 10)
	}
	return text
}

// Revision is a revision of the store. Revisions of one era are ordered by their numbers, and
// all of them come before those of later eras. The zero value comes before all others.
type Revision struct {
	era    Era
	number uint64
}

// NewRevision returns the revision with a number in an era.
func NewRevision(era Era, number uint64) Revision { return Revision{era: era, number: number} }

// Era returns the era of the revision.
func (r Revision) Era() Era { return r.era }

// Number returns the number that the store has given to the revision.
func (r Revision) Number() uint64 { return r.number }

// IsZero reports whether r is the zero value.
func (r Revision) IsZero() bool { return r == Revision{} }

// Compare returns a negative number if r comes before other, and a positive one if it comes
// after it.
func (r Revision) Compare(other Revision) int {
	return cmp.Or(r.era.Compare(other.era), cmp.Compare(r.number, other.number))
}

// Before reports whether r comes before other.
func (r Revision) Before(other Revision) bool { return r.Compare(other) < 0 }

// Resolve returns the revision in a reply of the store to a call that began when an era was
// known. A reply that states no later era belongs to that one.
func (r Revision) Resolve(known Era) Revision {
	if r.era.stated <= known.stated {
		r.era = known
	}
	return r
}

// String returns the era and the number, as in "3/1207".
func (r Revision) String() string { return r.era.String() + "/" + strconv.FormatUint(r.number, 10) }
