package gateway

import (
	"strconv"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/fleet"
	"github.com/lovagegap/lovagegap/core/quarantine"
)

const (
	crashRecord   = "crash"
	crashLifetime = clock.Minute
)

// tellCrash spreads that a request may have crashed a replica. It is called
// under the lock of the engine, which the roster's observers take, so it must
// not wait for the roster.
func (g *Gateway) tellCrash(f quarantine.Fingerprint, replica string) {
	go g.roster.Publish(newCrashRecord(f.String()+"/"+replica, replica))
}

func newCrashRecord(key, replica string) fleet.Record {
	return fleet.NewRecord(crashRecord, key, 1, []byte(replica), crashLifetime)
}

// hearRecord takes what a peer has spread. It is called under the lock of the
// roster; a malformed record of a peer is left out.
func (g *Gateway) hearRecord(record fleet.Record) {
	if record.Kind() != crashRecord || len(record.Key()) <= len(record.Body())+1 {
		return
	}
	text := record.Key()[:len(record.Key())-len(record.Body())-1]
	f, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return
	}
	g.engine.ReceiveCrash(quarantine.Fingerprint(f), string(record.Body()))
}
