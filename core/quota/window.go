package quota

import "github.com/lovagegap/lovagegap/core/clock"

const (
	windowSlots      = 20           // slots into which the length of a window is divided
	minSlackFraction = 0.25         // fraction of the slack that is allowed at the start of the process
	minRateSpan      = clock.Second // least time over which RegularRate averages
)

// WindowBudget is one daemon's share of a fleet-wide budget of extra requests. In
// any window of time, extra requests must not exceed a ratio of the regular
// requests plus a slack. Each daemon counts its own regular requests, and the
// slack is divided by the number of daemons, so the shares sum to the whole
// budget. The zero value allows no extra requests. A WindowBudget is not safe for
// concurrent use.
type WindowBudget struct {
	ratio     float64      // extra requests per regular request
	slack     float64      // this daemon's share, in extra requests per window
	length    clock.Millis // length of the window
	startedAt clock.Millis // start of the process

	firstRegularAt clock.Millis         // first regular request, or 0
	currentSlot    int64                // number of the newest slot
	regular        [windowSlots + 1]int // regular requests by slot number modulo the length
	extra          [windowSlots + 1]int // extra requests, likewise
	sums           struct{ regular, extra int }
}

// Configure sets the ratio of extra to regular requests, this daemon's share of
// the slack in requests, the length of the window, and the instant at which the
// process started. An earlier process of the same daemon may have used the slack
// already, so the slack grows to its full size over the first window.
func (w *WindowBudget) Configure(ratio, slack float64, length, startedAt clock.Millis) {
	w.ratio, w.slack, w.length, w.startedAt = ratio, slack, length, startedAt
}

// RecordRegular counts a regular request at now.
func (w *WindowBudget) RecordRegular(now clock.Millis) {
	w.advance(now)
	if w.firstRegularAt == 0 {
		w.firstRegularAt = now
	}
	w.regular[w.currentSlot%int64(len(w.regular))]++
	w.sums.regular++
}

// RegularRate returns the number of regular requests per second in the window, or since
// the first one if that is later.
func (w *WindowBudget) RegularRate(now clock.Millis) float64 {
	w.advance(now)
	span := min(w.length, max(now-w.firstRegularAt, minRateSpan))
	if span <= 0 {
		return 0
	}
	return float64(w.sums.regular) / float64(span/clock.Second)
}

// Remaining returns how many extra requests are allowed now. It is negative after
// RecordExtra exceeded the budget.
func (w *WindowBudget) Remaining(now clock.Millis) float64 {
	return w.Size(now) - float64(w.sums.extra)
}

// Size returns how many extra requests the present window allows, with those that were
// made.
func (w *WindowBudget) Size(now clock.Millis) float64 {
	if w.length == 0 {
		return 0
	}
	w.advance(now)
	slack := w.slack * min(1, max(minSlackFraction, float64((now-w.startedAt)/w.length)))
	return w.ratio*float64(w.sums.regular) + slack
}

// Take counts an extra request if it leaves at least reserve extra requests, and
// reports whether it did.
func (w *WindowBudget) Take(now clock.Millis, reserve float64) bool {
	if w.Remaining(now) < 1+reserve {
		return false
	}
	w.RecordExtra(now)
	return true
}

// RecordExtra counts an extra request regardless of the budget, for one that the
// daemon could not prevent.
func (w *WindowBudget) RecordExtra(now clock.Millis) {
	w.advance(now)
	w.extra[w.currentSlot%int64(len(w.extra))]++
	w.sums.extra++
}

// advance removes the requests that are older than the window. The ring has one
// slot more than the window, so that a slot is removed only once all of it is
// older.
func (w *WindowBudget) advance(now clock.Millis) {
	if w.length == 0 {
		return
	}
	slot := int64(now / (w.length / windowSlots))
	if slot <= w.currentSlot {
		return
	}
	size := int64(len(w.extra))
	for i := max(w.currentSlot+1, slot-size+1); i <= slot; i++ {
		w.sums.regular -= w.regular[i%size]
		w.sums.extra -= w.extra[i%size]
		w.regular[i%size], w.extra[i%size] = 0, 0
	}
	w.currentSlot = slot
}
