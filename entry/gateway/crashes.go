package gateway

import (
	"strconv"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/fleet"
	"github.com/lovagegap/lovagegap/core/quarantine"
)

// Kinds of the records that the daemons publish about requests that crash replicas.
const (
	crashRecordKind      = "crash"
	quarantineRecordKind = "quarantine"
)

const crashRecordLifetime = clock.Minute

// publishCrash reports to all daemons that a request may have crashed a replica. The
// engine calls it with its lock held. The tracker calls functions that take that lock,
// so publishCrash must not wait for the tracker.
func (g *Gateway) publishCrash(f quarantine.Fingerprint, replica string) {
	go g.tracker.Publish(newCrashRecord(f.String()+"/"+replica, replica))
}

// publishQuarantine publishes a quarantined request to all daemons. Like publishCrash, it
// must not wait for the tracker.
func (g *Gateway) publishQuarantine(f quarantine.Fingerprint, left clock.Millis) {
	go g.tracker.Publish(newQuarantineRecord(f.String(), left))
}

// newCrashRecord returns the record of a crash. The key is the fingerprint in
// hexadecimal, a slash and the replica, so that each replica counts once.
func newCrashRecord(key, replica string) fleet.Record {
	return fleet.NewRecord(crashRecordKind, key, 1, []byte(replica), crashRecordLifetime)
}

// newQuarantineRecord returns the record of a quarantined request, which lasts as long
// as the quarantine. The key is the fingerprint in hexadecimal.
func newQuarantineRecord(key string, left clock.Millis) fleet.Record {
	return fleet.NewRecord(quarantineRecordKind, key, 1, nil, left)
}

// handleRecord passes a record of a peer to the engine, and ignores malformed ones and
// those of other kinds. The tracker calls it with its lock held.
func (g *Gateway) handleRecord(record fleet.Record) {
	switch record.Kind() {
	case releaseReportKind, releaseDirectiveKind:
		if g.dependencies.Releases != nil {
			g.releases.handleRecord(record)
		}
	case crashRecordKind:
		if len(record.Key()) <= len(record.Body())+1 {
			return
		}
		text := record.Key()[:len(record.Key())-len(record.Body())-1]
		if f, err := strconv.ParseUint(text, 16, 64); err == nil {
			g.engine.ReceiveCrash(quarantine.Fingerprint(f), string(record.Body()))
		}
	case quarantineRecordKind:
		if f, err := strconv.ParseUint(record.Key(), 16, 64); err == nil {
			g.engine.ReceiveQuarantine(quarantine.Fingerprint(f), record.Lifetime())
		}
	}
}
