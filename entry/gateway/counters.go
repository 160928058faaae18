package gateway

import (
	"github.com/lovagegap/lovagegap/core/clock"
)

// Counters counts what the engine does. The zero value is ready for use.
type Counters struct{}

// Sent counts an exchange.
func (*Counters) Sent(_, _, _ string) {}

// Ended counts the end of an exchange.
func (*Counters) Ended(_, _ string) {}

// Finished counts an answer.
func (*Counters) Finished(_, _ string, _, _ int, _ clock.Millis) {}
