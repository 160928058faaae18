package mirror

import (
	"math/rand/v2"

	"github.com/lovagegap/lovagegap/core/clock"
)

// reregistrationSpread is the time over which the daemons register again after a restore, so
// that not all of them write at a time.
const reregistrationSpread = 3 * clock.Second

// Registration decides when a daemon writes its registration to the store: once, and once
// more in each era whose store lacks it. It is not safe for concurrent use.
type Registration struct {
	random  *rand.Rand
	done    bool
	writing bool
	era     Era          // in which it was done
	dueAt   clock.Millis // again after a restore of the store
}

// NewRegistration returns the state of a daemon that has not registered. It uses random for
// the delay after a restore.
func NewRegistration(random *rand.Rand) *Registration { return &Registration{random: random} }

// Begin reports whether to write the registration now. If so, it records that a write is in
// progress, which RecordWrite ends. Stored says whether the store has the registration in an
// era.
func (r *Registration) Begin(now clock.Millis, era Era, stored bool) bool {
	if (r.done || r.writing) && r.era != era {
		r.dueAt = now + reregistrationSpread*clock.Millis(r.random.Float64())
		r.done = false
	}
	r.era = era
	if stored {
		r.done = true
	}
	if r.done || r.writing || now < r.dueAt {
		return false
	}
	r.writing = true
	return true
}

// RecordWrite ends the write that began in an era. If the store was restored during the write,
// it may be lost and is repeated.
func (r *Registration) RecordWrite(era Era, written bool) {
	r.writing = false
	if written && era == r.era {
		r.done = true
	}
}
