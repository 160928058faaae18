package gateway

import (
	"strconv"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/fleet"
	"github.com/lovagegap/lovagegap/core/quarantine"
)

const (
	crashRecordKind     = "crash"
	crashRecordLifetime = clock.Minute
)

// publishCrash reports to all daemons that a request may have crashed a replica. The
// engine calls it with its lock held. The tracker calls functions that take that lock,
// so publishCrash must not wait for the tracker.
func (g *Gateway) publishCrash(f quarantine.Fingerprint, replica string) {
	go g.tracker.Publish(newCrashRecord(f.String()+"/"+replica, replica))
}

// newCrashRecord returns the record of a crash. The key is the fingerprint in
// hexadecimal, a slash and the replica, so that each replica counts once.
func newCrashRecord(key, replica string) fleet.Record {
	return fleet.NewRecord(crashRecordKind, key, 1, []byte(replica), crashRecordLifetime)
}

// handleRecord passes a crash record of a peer to the engine, and ignores malformed
// ones and those of other kinds. The tracker calls it with its lock held.
func (g *Gateway) handleRecord(record fleet.Record) {
	if record.Kind() != crashRecordKind || len(record.Key()) <= len(record.Body())+1 {
		return
	}
	text := record.Key()[:len(record.Key())-len(record.Body())-1]
	f, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return
	}
	g.engine.ReceiveCrash(quarantine.Fingerprint(f), string(record.Body()))
}
