package matrix_test

import (
	"fmt"

	"github.com/lovagegap/lovagegap/core/clock"
)

// fault is a row of the matrix. inject starts the fault, which ends by itself.
type fault struct {
	name   string
	inject func(w *world)
}

// proposeAlsoOut proposes at d to take one more data centre out, or none if out is
// empty. Data centres that are out already stay out, as after an operator who reads
// the settings before changing them.
func (w *world) proposeAlsoOut(d *daemon, change, out string) {
	body := string(d.rollout.Current().Body())
	if out != "" {
		body += " " + out
	}
	w.proposeSettings(d, change, body)
}

var faults = []fault{
	{"straggler", func(w *world) { w.upstreams[0].slowUntil = w.now + 4*clock.Second }},
	{"replica lost", func(w *world) { w.loseUpstream(w.upstreams[0]) }},
	{"repartition under a query", func(w *world) { w.publishVersion(8, shards+1, 0) }},
	{"new snapshot version", func(w *world) { w.publishVersion(9, shards, 30) }},
	{"cold start without warning", func(w *world) { w.crashUpstream(w.upstreams[0], 100) }},
	{"store down", func(w *world) { w.takeStoreDown(); w.schedule(8*clock.Second, func() { w.store.down = false }) }},
	{"store slow", func(w *world) {
		w.store.delay = 700
		w.schedule(8*clock.Second, func() { w.store.delay = 1 })
	}},
	{"write applied, reply lost", func(w *world) {
		w.store.loseNextReply = true
		w.proposeAlsoOut(w.daemons[2], "lost reply", "")
	}},
	{"holder paused and unaware", func(w *world) { w.pause(w.daemonToPause(), 9*clock.Second) }},
	{"operators racing", func(w *world) {
		w.proposeAlsoOut(w.daemons[1], "left", "c")
		w.proposeAlsoOut(w.daemons[2], "right", "")
	}},
	{"crashing request sent again", func(w *world) {
		w.sendCrashingRequest(&caller{number: 1, centre: "b", address: "callers-1"})
	}},
	{"silent connections", func(w *world) {
		for _, u := range w.upstreams {
			w.silentConnections[string(w.focus.id)+" "+u.id] = 3
			w.silentConnections[string(w.daemons[1].id)+" "+u.id] = 3
		}
		for _, d := range w.daemons[:3] {
			w.silentLinks[w.links[linkKey(w.focus.id, d.id)]] = true
		}
	}},
	{"late and misleading reports", func(w *world) {
		w.misleadingReports = true
		w.schedule(6*clock.Second, func() { w.misleadingReports = false })
	}},
	{"data centre out", func(w *world) {
		w.proposeAlsoOut(w.daemons[2], "out c", "c")
		w.schedule(9*clock.Second, func() { w.proposeSettings(w.daemons[0], "in c", "") })
	}},
	{"data centre lost", func(w *world) {
		for _, u := range w.upstreams {
			if u.centre == "c" {
				w.loseUpstream(u)
			}
		}
		w.disturb(w.daemons[2], clock.Hour)
		w.killDaemon(w.daemons[2], true)
	}},
	{"planned stop", func(w *world) { w.stopAnotherDaemon() }},
	{"region cut off", func(w *world) {
		w.farRegionCutOff, w.cutOffAt, w.healedAt = true, w.now, w.now+8*clock.Second
		w.disturb(w.daemons[3], 9*clock.Second)
		w.schedule(8*clock.Second, func() { w.farRegionCutOff = false })
	}},
	{"VM replaced", func(w *world) {
		w.replaceUpstream(w.upstreams[2], fmt.Sprintf("10.2.0.%d:80", len(w.upstreams)))
		w.replaceEntryDaemon((w.focus.number + 1) % len(w.daemons))
	}},
}

// stopAnotherDaemon starts the planned stop of the daemon in focus, or of daemon 2 if
// that one is stopping already.
func (w *world) stopAnotherDaemon() {
	if w.focus.drain.ClosesConnections() {
		w.daemons[2].startDrain()
		return
	}
	w.focus.startDrain()
}

// daemonToPause returns the daemon in focus, or another one in a run with a bystander.
func (w *world) daemonToPause() *daemon {
	if w.bystander {
		return w.daemons[(w.focus.number+3)%len(w.daemons)]
	}
	return w.focus
}

// pause suspends the process of d for a time, as when its VM is frozen.
func (w *world) pause(d *daemon, duration clock.Millis) {
	w.disturb(d, duration+3*clock.Second)
	d.pausedUntil = max(d.pausedUntil, w.now+duration)
}

// publishVersion loads a snapshot version with the given number of shards into one
// upstream after the other, 120 ms apart. Each drops its older versions after the
// overlap.
func (w *world) publishVersion(version uint64, shardCount int, overlap clock.Millis) {
	if w.shardCounts[version] != 0 {
		return
	}
	w.shardCounts[version] = shardCount
	for i, u := range w.upstreams {
		w.schedule(clock.Millis(i*120), func() {
			u.versions = append(u.versions, version)
			w.schedule(overlap, func() { u.versions = []uint64{version} })
		})
	}
}

// sendCrashingRequest sends a request that crashes each upstream that runs it, up to
// five times.
func (w *world) sendCrashingRequest(c *caller) {
	c.requestCount++
	if c.requestCount > 5 {
		return
	}
	if d := w.chooseDaemon(c); d != nil {
		w.sendCall(c.centre, d, request{id: "crash", sendNumber: c.requestCount, body: "crash", timeout: queryTimeout})
	}
	w.schedule(1200, func() { w.sendCrashingRequest(c) })
}

// replaceEntryDaemon ends an entry daemon and starts a new one at the same address
// a second later.
func (w *world) replaceEntryDaemon(number int) {
	old := w.daemons[number]
	if !old.up || old.drain.ClosesConnections() {
		return
	}
	w.disturb(old, clock.Hour)
	w.killDaemon(old, false)
	w.schedule(clock.Second, func() {
		w.daemons[number] = w.newDaemon(number)
		w.startDaemon(w.daemons[number], true)
	})
}

// replaceUpstream makes an upstream announce that it leaves, adds another one at
// once, and ends the VM of the first 5 s later.
func (w *world) replaceUpstream(u *upstreamVM, id string) {
	if u.gone || u.leaving {
		return
	}
	u.leaving, u.leavingAt = true, w.now
	w.leaves = append(w.leaves, upstreamLeave{u.id, w.now})
	replacement := w.addUpstream(id, u.centre, u.shardGroup)
	replacement.versions = append([]uint64(nil), u.versions...)
	w.schedule(5*clock.Second, func() { w.loseUpstream(u) })
}
