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

// publishCrash spreads that a request may have crashed a replica. It is called
// under the lock of the engine, which the roster's observers take, so it must
// not wait for the roster.
func (g *Gateway) publishCrash(f quarantine.Fingerprint, replica string) {
	go g.roster.Publish(newCrashRecord(f.String()+"/"+replica, replica))
}

func newCrashRecord(key, replica string) fleet.Record {
	return fleet.NewRecord(crashRecordKind, key, 1, []byte(replica), crashRecordLifetime)
}

// handleRecord takes what a peer has spread. It is called under the lock of the
// roster; a malformed record of a peer is left out.
func (g *Gateway) handleRecord(record fleet.Record) {
	if record.Kind() != crashRecordKind || len(record.Key()) <= len(record.Body())+1 {
		return
	}
	text := record.Key()[:len(record.Key())-len(record.Body())-1]
	f, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return
	}
	g.engine.HearCrash(quarantine.Fingerprint(f), string(record.Body()))
}
