package bench

import "github.com/lovagegap/lovagegap/core/clock"

var (
	association = []string{"ikeja", "lekki", "bodija"}
	tatra       = []string{"trnava", "nitra", "zilina"}
)

// Median service times, as in examples/*/deployment.json.
const (
	associationMedian = 3 * clock.Millisecond
	tatraMedian       = 2 * clock.Millisecond
	wideMedian        = 5 * clock.Millisecond
)

// services have the shapes in docs/design.md, section 1.3. The tables refer to them by
// index.
var services = []service{
	{"review-desk", association, 10, 3, 6, 45, 6, associationMedian, 0},
	{"referee-portal", association, 15, 3, 6, 45, 6, associationMedian, 0},
	{"disbursement-records", association, 25, 2, 2, 110, 1, associationMedian, 0},
	{"annual-reporting", association, 5, 5, 2, 110, 1, associationMedian, 0},
	{"live-results", tatra, 10, 3, 2, 25, 6, tatraMedian, 0},
	{"crew-admin", tatra, 15, 3, 2, 25, 6, tatraMedian, 0},
	{"registrations", tatra, 5, 2, 4, 45, 1, tatraMedian, 0},
	{"certificates", tatra, 1, 5, 4, 45, 1, tatraMedian, 0},
}

// wideService has the largest fan-out that the design provides for, 270 shards.
var wideService = service{"fan-out-270", association, 270, 3, 4, 45, 1, wideMedian, 0}

// withStragglers returns the service with 1 % stragglers.
func (s service) withStragglers() service {
	s.stragglerFraction = 0.01
	return s
}
