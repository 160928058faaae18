// Package upstream selects the replica of a service that runs a sub-request.
//
// A Pool holds the replicas of one service and what this daemon has observed
// of them: latency, failures, connections and restarts. It limits concurrency
// at upstreams in a cold start, ejects failing or slow replicas, and divides
// each upstream's slots and connections among the daemons of the fleet.
// Reports of upstreams and of the platform lag behind or are wrong, so they
// influence the score and the cold-start state but never eject a replica.
//
// Slots are the sub-requests that an upstream runs at a time. A share is this
// daemon's part of a fleet-wide limit. The level of a cold start is the
// concurrency that the whole fleet may have at the upstream; it doubles until
// it reaches the slots. The manager of a cold start is the daemon that ranks
// first for the upstream; it alone changes the level.
//
// # Usage
//
//	var p upstream.Pool
//	p.SetPolicy(now, upstream.Policy{}.WithLimits(6, 45))
//	p.SetMembers(now, self, members)      // whenever the member table changes
//	p.Add(now, upstream.NewReplica("10.0.0.7:80", "ikeja"))
//	choice, err := p.Pick(now, upstream.NewPickRequest(shard, version, holders))
//	// send the sub-request, through choice.Via() if it is not ""
//	p.Done(now, choice, upstream.NewResult(upstream.OK, latency, boot))
//
// Cold-start records are exchanged with the other daemons:
//
//	for _, record := range peerRecords {      // once, before p.CompleteJoin(now, true)
//		p.ReceiveRecord(now, record)
//	}
//	for _, record := range p.TakeChanges() {  // after each Pick, Done, ReceiveReport, Tick
//		// send the record to the peers
//	}
//	if p.ReceiveRecord(now, record) {         // for each record that arrives
//		// forward it to the other peers
//	}
package upstream

import (
	"github.com/cockroachdb/errors"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/snapshot"
)

// Sentinel errors of Pick.
var (
	// ErrNoReplica means that no holder of the shard is eligible: each is
	// unknown, excluded, leaving, ejected or in a data centre taken out.
	ErrNoReplica = errors.New("no eligible replica holds the shard")
	// ErrSaturated means that there are eligible holders, but this daemon's
	// share of connections or of cold-start concurrency is used up at each.
	ErrSaturated = errors.New("all eligible replicas are at their concurrency limit")
)

// ID is the address of an upstream, as IP:port.
type ID string

// Replica is an upstream with its location, as the platform lists it.
type Replica struct {
	id         ID
	dataCentre string
	region     string
}

// NewReplica returns a replica at address id in dataCentre, without a region.
func NewReplica(id ID, dataCentre string) Replica {
	return Replica{id: id, dataCentre: dataCentre}
}

// ID returns the address.
func (r Replica) ID() ID { return r.id }

// WithRegion returns a copy of the replica with its region. The level of a cold
// start is divided among the daemons of that region, or among all daemons if
// the region is "".
func (r Replica) WithRegion(region string) Replica {
	r.region = region
	return r
}

// Region returns the region, or "" if it is unknown.
func (r Replica) Region() string { return r.region }

// DataCentre returns the data centre in which the replica runs.
func (r Replica) DataCentre() string { return r.dataCentre }

// Purpose says why an attempt is made. Only a first attempt serves as the trial
// after an ejection or is directed at a cold replica that needs a success.
type Purpose uint8

// Purposes of attempts.
const (
	FirstAttempt Purpose = iota
	Hedge
	Retry
)

// String returns the purpose as it appears in explanations and metrics.
func (p Purpose) String() string {
	switch p {
	case Hedge:
		return "hedge"
	case Retry:
		return "retry"
	default:
		return "first"
	}
}

// PickRequest describes an attempt for which Pick selects a replica.
type PickRequest struct {
	shard            snapshot.Shard
	version          snapshot.Version
	holders          []string
	excluded         []ID
	purpose          Purpose
	freshConnection  bool
	relayed          bool
	coldShareGranted bool
}

// NewPickRequest returns a request for a first attempt at one of holders, the
// addresses of the replicas that hold the shard in the given version.
func NewPickRequest(shard snapshot.Shard, version snapshot.Version, holders []string) PickRequest {
	return PickRequest{shard: shard, version: version, holders: holders}
}

// WithPurpose returns a copy of the request with a purpose.
func (r PickRequest) WithPurpose(purpose Purpose) PickRequest {
	r.purpose = purpose
	return r
}

// Excluding returns a copy of the request that does not select any of ids. It
// replaces the replicas excluded before and keeps the slice.
func (r PickRequest) Excluding(ids ...ID) PickRequest {
	r.excluded = ids
	return r
}

// WithHolders returns a copy of the request with other holders.
func (r PickRequest) WithHolders(holders []string) PickRequest {
	r.holders = holders
	return r
}

// OnFreshConnection returns a copy of the request whose exchange uses a new
// connection, as is done after an exchange timed out.
func (r PickRequest) OnFreshConnection() PickRequest {
	r.freshConnection = true
	return r
}

// ForPeer returns a copy of the request for a sub-request that a peer relays
// through this daemon. It is not relayed again. Granted says that the sub-request
// counts against the peer's level share, so that it needs none of this daemon's.
func (r PickRequest) ForPeer(granted bool) PickRequest {
	r.relayed, r.coldShareGranted = true, granted
	return r
}

// Shard returns the shard that the attempt queries.
func (r PickRequest) Shard() snapshot.Shard { return r.shard }

// Version returns the snapshot version that the attempt queries.
func (r PickRequest) Version() snapshot.Version { return r.version }

// Holders returns the addresses of the replicas that hold the shard. The caller
// must not modify the slice.
func (r PickRequest) Holders() []string { return r.holders }

// Purpose returns why the attempt is made.
func (r PickRequest) Purpose() Purpose { return r.purpose }

// Choice is the replica that Pick selected and how the attempt reaches it. The
// caller passes it to Done when the exchange has ended.
type Choice struct {
	upstream            ID
	via                 string
	freshConnection     bool
	coldShareGranted    bool
	trial               bool
	pickedAt            clock.Millis
	replica             *replicaState
	cold                bool // the upstream is in a cold start
	gated               bool
	afterConnectionLoss bool
	boot                string
}

// Upstream returns the address of the selected replica.
func (c Choice) Upstream() ID { return c.upstream }

// Via returns the daemon through which the sub-request is relayed, or "" if
// this daemon sends it itself.
func (c Choice) Via() string { return c.via }

// FreshConnection reports whether the exchange must use a new connection.
func (c Choice) FreshConnection() bool { return c.freshConnection }

// ColdShareGranted reports whether a relayed sub-request counts against this
// daemon's level share. The caller must state this to the relaying peer, so that
// the peer does not count the sub-request against its own.
func (c Choice) ColdShareGranted() bool { return c.coldShareGranted }

// Trial reports whether the attempt decides if the replica is readmitted after
// an ejection.
func (c Choice) Trial() bool { return c.trial }

// AfterConnectionLoss reports whether connections to the upstream had failed or
// ended before the choice, without an answer since. Another loss then does not
// suggest that the request crashes the upstream.
func (c Choice) AfterConnectionLoss() bool { return c.afterConnectionLoss }

// Gated reports whether the choice respects the concurrency of an upstream that has
// just started, because it is or may be at the initial level of a cold start.
func (c Choice) Gated() bool { return c.gated }

// Boot returns the boot id of the upstream's process as known at the time of the
// choice, or "". Unless the choice is gated, only this process may run the
// sub-request, because another process may be in a cold start, at a lower level.
func (c Choice) Boot() string { return c.boot }

// PickedAt returns the time at which the replica was selected.
func (c Choice) PickedAt() clock.Millis { return c.pickedAt }

// Outcome classifies how an exchange with an upstream ended.
type Outcome uint8

// Outcomes of exchanges. Each says whether the sub-request has run, on which
// retries and refusals depend.
const (
	// OK: the upstream sent a valid response.
	OK Outcome = iota
	// VersionGone: the upstream no longer holds the snapshot version. Not run.
	VersionGone
	// WrongShard: the upstream does not hold the shard. Not run.
	WrongShard
	// Shed: the upstream refused the sub-request under load. Not run, as the
	// upstream states.
	Shed
	// NotConnected: no byte of the request was sent. Not run.
	NotConnected
	// ConnectionLost: the connection broke after bytes were sent. May have run.
	ConnectionLost
	// Timeout: no reply arrived in time. May have run.
	Timeout
	// Failed: the upstream ran the sub-request and reported an error, or its
	// answer does not match the request.
	Failed
	// Cancelled: this daemon abandoned the exchange. May have run.
	Cancelled
	// NoRelayShare: the relaying peer has no free share and did not contact the
	// upstream. Not run.
	NoRelayShare
	// RelayLost: the link to the relaying peer broke. May have run; it is no
	// evidence about the upstream.
	RelayLost
	// IdleConnectionsClosed: all open connections had been closed while idle,
	// and no new one was opened. Not run; the upstream may have restarted.
	IdleConnectionsClosed
)

// NotRun reports whether the outcome proves that the sub-request did not run.
func (o Outcome) NotRun() bool {
	switch o {
	case VersionGone, WrongShard, Shed, NotConnected, NoRelayShare, IdleConnectionsClosed:
		return true
	default:
		return false
	}
}

var outcomeNames = [...]string{
	"ok", "version gone", "wrong shard", "shed", "not connected",
	"connection lost", "timeout", "failed", "cancelled", "no share", "relay lost", "stale",
}

// String returns the outcome as it appears in explanations and metrics.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return "unknown"
}

// Result is the end of an exchange with an upstream.
type Result struct {
	outcome Outcome
	latency clock.Millis
	boot    string
}

// NewResult returns a result. Latency runs from the send to the end of the
// exchange. Boot is the boot id in the upstream's reply, or "" without a reply.
func NewResult(outcome Outcome, latency clock.Millis, boot string) Result {
	return Result{outcome: outcome, latency: latency, boot: boot}
}

// Outcome returns how the exchange ended.
func (r Result) Outcome() Outcome { return r.outcome }

// Latency returns the time from the send to the end of the exchange.
func (r Result) Latency() clock.Millis { return r.latency }

// Boot returns the boot id in the upstream's reply, or "".
func (r Result) Boot() string { return r.boot }
