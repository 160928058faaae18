package quota

import "github.com/lovagegap/lovagegap/core/clock"

const windowSlots = 20

// Window is this daemon's part of a fleet-wide budget of extra requests: in
// any window of time, extras may not pass a ratio of the regular requests plus
// a slack. Each daemon counts its own regular requests, and the slack is
// divided by the number of daemons, so the parts add up to the whole. The zero
// value allows nothing. It is not safe for concurrent use.
type Window struct {
	ratio   float64
	slack   float64
	span    clock.Millis
	began   clock.Millis
	slot    int64
	regular [windowSlots + 1]int
	extra   [windowSlots + 1]int
	sums    struct{ regular, extra int }
}

// Configure sets the ratio, this daemon's part of the slack, and the length of
// the window. Began is the start of the process: what an earlier process of the
// same daemon spent is unknown, so the slack is granted over the first window.
func (w *Window) Configure(ratio, slack float64, span, began clock.Millis) {
	w.ratio, w.slack, w.span, w.began = ratio, slack, span, began
}

// Regular counts a regular request.
func (w *Window) Regular(now clock.Millis) {
	w.roll(now)
	w.regular[w.slot%int64(len(w.regular))]++
	w.sums.regular++
}

// Left returns how many extra requests are allowed now.
func (w *Window) Left(now clock.Millis) float64 {
	if w.span == 0 {
		return 0
	}
	w.roll(now)
	slack := w.slack * min(1, max(0.25, float64((now-w.began)/w.span)))
	return w.ratio*float64(w.sums.regular) + slack - float64(w.sums.extra)
}

// Take counts an extra request if one is allowed while reserve extras are kept
// back, and reports whether it was.
func (w *Window) Take(now clock.Millis, reserve float64) bool {
	if w.Left(now) < 1+reserve {
		return false
	}
	w.Spend(now)
	return true
}

// Spend counts an extra request that nothing could prevent.
func (w *Window) Spend(now clock.Millis) {
	w.roll(now)
	w.extra[w.slot%int64(len(w.extra))]++
	w.sums.extra++
}

// roll forgets what has left the window. The ring has one slot more than the
// window, so that the oldest slot leaves it whole.
func (w *Window) roll(now clock.Millis) {
	if w.span == 0 {
		return
	}
	slot := int64(now / (w.span / windowSlots))
	if slot <= w.slot {
		return
	}
	size := int64(len(w.extra))
	for i := max(w.slot+1, slot-size+1); i <= slot; i++ {
		w.sums.regular -= w.regular[i%size]
		w.sums.extra -= w.extra[i%size]
		w.regular[i%size], w.extra[i%size] = 0, 0
	}
	w.slot = slot
}
