package matrix_test

import (
	"fmt"

	"github.com/lovagegap/lovagegap/core/clock"
)

// fault is a row of the matrix. Inject begins it; it ends by itself.
type fault struct {
	name   string
	inject func(w *world)
}

// ownChange is the change of the settings that a fault makes; it keeps what is
// out already, as an operator does who reads before writing.
func (w *world) ownChange(d *daemon, change, out string) {
	body := string(d.rollout.Current().Body())
	if out != "" {
		body += " " + out
	}
	w.propose(d, change, body)
}

var faults = []fault{
	{"straggler", func(w *world) { w.upstreams[0].slow = w.now + 4*clock.Second }},
	{"replica lost", func(w *world) { w.lose(w.upstreams[0]) }},
	{"repartition under a query", func(w *world) { w.newVersion(8, shards+1, 0) }},
	{"new snapshot version", func(w *world) { w.newVersion(9, shards, 30) }},
	{"cold start without warning", func(w *world) { w.crash(w.upstreams[0], 100) }},
	{"store down", func(w *world) { w.fall(); w.after(8*clock.Second, func() { w.store.down = false }) }},
	{"store slow", func(w *world) {
		w.store.delay = 700
		w.after(8*clock.Second, func() { w.store.delay = 1 })
	}},
	{"write applied, reply lost", func(w *world) {
		w.store.loseReply = true
		w.ownChange(w.daemons[2], "lost reply", "")
	}},
	{"holder paused and unaware", func(w *world) { w.pause(w.holder(), 9*clock.Second) }},
	{"operators racing", func(w *world) {
		w.ownChange(w.daemons[1], "left", "c")
		w.ownChange(w.daemons[2], "right", "")
	}},
	{"crashing request sent again", func(w *world) { w.sendCrash(&caller{number: 1, centre: "b", address: "callers-1"}) }},
	{"silent connections", func(w *world) {
		for _, u := range w.upstreams {
			w.silent[string(w.focus.id)+" "+u.id] = 3
			w.silent[string(w.daemons[1].id)+" "+u.id] = 3
		}
		for _, d := range w.daemons[:3] {
			w.silentLinks[w.conns[pair(w.focus.id, d.id)]] = true
		}
	}},
	{"late and misleading reports", func(w *world) {
		w.mislead = true
		w.after(6*clock.Second, func() { w.mislead = false })
	}},
	{"data centre out", func(w *world) {
		w.ownChange(w.daemons[2], "out c", "c")
		w.after(9*clock.Second, func() { w.propose(w.daemons[0], "in c", "") })
	}},
	{"data centre lost", func(w *world) {
		for _, u := range w.upstreams {
			if u.centre == "c" {
				w.lose(u)
			}
		}
		w.disturb(w.daemons[2], clock.Hour)
		w.kill(w.daemons[2], true)
	}},
	{"planned stop", func(w *world) { w.anotherStop() }},
	{"region cut off", func(w *world) {
		w.split, w.splitAt, w.healedAt = true, w.now, w.now+8*clock.Second
		w.disturb(w.daemons[3], 9*clock.Second)
		w.after(8*clock.Second, func() { w.split = false })
	}},
	{"VM replaced", func(w *world) {
		w.replace(w.upstreams[2], fmt.Sprintf("10.2.0.%d:80", len(w.upstreams)))
		w.replaceEntry((w.focus.number + 1) % len(w.daemons))
	}},
}

// anotherStop stops the daemon in focus, or daemon 2 if that one stops already.
func (w *world) anotherStop() {
	if w.focus.drain.ClosesConnections() {
		w.daemons[2].stop()
		return
	}
	w.focus.stop()
}

// holder returns the daemon that is paused: the one in focus, or a bystander.
func (w *world) holder() *daemon {
	if w.bystander {
		return w.daemons[(w.focus.number+3)%len(w.daemons)]
	}
	return w.focus
}

func (w *world) pause(d *daemon, length clock.Millis) {
	w.disturb(d, length+3*clock.Second)
	d.paused = max(d.paused, w.now+length)
}

// newVersion spreads a version over the upstreams within a second; each drops
// the older ones some time after it has the new one.
func (w *world) newVersion(version uint64, n int, overlap clock.Millis) {
	if w.maps[version] != 0 {
		return
	}
	w.maps[version] = n
	for i, u := range w.upstreams {
		w.after(clock.Millis(i*120), func() {
			u.versions = append(u.versions, version)
			w.after(overlap, func() { u.versions = []uint64{version} })
		})
	}
}

// sendCrash sends a request that ends the process of each upstream that runs
// it, and sends it again when it failed.
func (w *world) sendCrash(c *caller) {
	c.count++
	if c.count > 5 {
		return
	}
	if d := w.target(c); d != nil {
		w.sendCall(c.centre, d, request{id: "crash", send: c.count, body: "crash", deadline: queryTime})
	}
	w.after(1200, func() { w.sendCrash(c) })
}

// replaceEntry ends an entry daemon and starts another at the same address.
func (w *world) replaceEntry(i int) {
	old := w.daemons[i]
	if !old.up || old.drain.ClosesConnections() {
		return
	}
	w.disturb(old, clock.Hour)
	w.kill(old, false)
	w.after(clock.Second, func() {
		w.daemons[i] = w.newDaemon(i)
		w.start(w.daemons[i], true)
	})
}

// replace lets an upstream leave as planned, ends its VM later, and brings up
// another one at once.
func (w *world) replace(u *vm, id string) {
	if u.gone || u.leaving {
		return
	}
	u.leaving, u.leavingAt = true, w.now
	w.leaves = append(w.leaves, leave{u.id, w.now})
	fresh := w.addUpstream(id, u.centre, u.kind)
	fresh.versions = append([]uint64(nil), u.versions...)
	w.after(5*clock.Second, func() { w.lose(u) })
}
