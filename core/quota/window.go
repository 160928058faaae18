package quota

import "github.com/lovagegap/lovagegap/core/clock"

const windowSlots = 20

// WindowBudget is this daemon's part of a fleet-wide budget of extra requests: in
// any window of time, extras may not pass a ratio of the regular requests plus
// a slack. Each daemon counts its own regular requests, and the slack is
// divided by the number of daemons, so the parts add up to the whole. The zero
// value allows nothing. It is not safe for concurrent use.
type WindowBudget struct {
	ratio       float64
	slack       float64
	length      clock.Millis
	startedAt   clock.Millis
	currentSlot int64
	regular     [windowSlots + 1]int
	extra       [windowSlots + 1]int
	sums        struct{ regular, extra int }
}

// Configure sets the ratio, this daemon's part of the slack, and the length of
// the window. Began is the start of the process: what an earlier process of the
// same daemon spent is unknown, so the slack is granted over the first window.
func (w *WindowBudget) Configure(ratio, slack float64, length, startedAt clock.Millis) {
	w.ratio, w.slack, w.length, w.startedAt = ratio, slack, length, startedAt
}

// RecordRegular counts a regular request.
func (w *WindowBudget) RecordRegular(now clock.Millis) {
	w.advance(now)
	w.regular[w.currentSlot%int64(len(w.regular))]++
	w.sums.regular++
}

// Remaining returns how many extra requests are allowed now.
func (w *WindowBudget) Remaining(now clock.Millis) float64 {
	if w.length == 0 {
		return 0
	}
	w.advance(now)
	slack := w.slack * min(1, max(0.25, float64((now-w.startedAt)/w.length)))
	return w.ratio*float64(w.sums.regular) + slack - float64(w.sums.extra)
}

// Take counts an extra request if one is allowed while reserve extras are kept
// back, and reports whether it was.
func (w *WindowBudget) Take(now clock.Millis, reserve float64) bool {
	if w.Remaining(now) < 1+reserve {
		return false
	}
	w.RecordExtra(now)
	return true
}

// RecordExtra counts an extra request that nothing could prevent.
func (w *WindowBudget) RecordExtra(now clock.Millis) {
	w.advance(now)
	w.extra[w.currentSlot%int64(len(w.extra))]++
	w.sums.extra++
}

// advance forgets what has left the window. The ring has one slot more than the
// window, so that the oldest slot leaves it whole.
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
