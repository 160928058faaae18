// Package upstream decides which replica of a service runs a sub-request.
//
// A Pool holds the replicas of one service together with this daemon's own
// evidence about them. Reports from upstreams and from the platform lag or
// mislead, so they only steer what the daemon has seen itself.
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
// Cold starts are shared with the other daemons:
//
//	for _, record := range peerRecords {  // once, before p.Joined(now, true)
//		p.Learn(now, record)
//	}
//	for _, record := range p.Changes() {  // after each Pick, Done, Report, Tick
//		// send the record to the peers
//	}
//	if p.Learn(now, record) {             // a record arrives
//		// pass it on
//	}
package upstream

import (
	"github.com/cockroachdb/errors"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/snapshot"
)

// Sentinel errors of Pick.
var (
	// ErrNoReplica means that no replica may be asked: none holds the shard,
	// or all holders are excluded, leaving, taken out or ejected.
	ErrNoReplica = errors.New("no replica may be asked")
	// ErrSaturated means that the holders are usable but have no free share
	// of connections or cold-start concurrency.
	ErrSaturated = errors.New("all replicas are at their limit")
)

// ID is the address of an upstream, as IP:port.
type ID string

// Replica is an upstream as the platform lists it.
type Replica struct {
	id         ID
	dataCentre string
	region     string
}

// NewReplica returns a replica at address id in dataCentre.
func NewReplica(id ID, dataCentre string) Replica {
	return Replica{id: id, dataCentre: dataCentre}
}

// ID returns the address.
func (r Replica) ID() ID { return r.id }

// WithRegion returns the replica with its region. Only daemons of that region
// share the level of its cold start; without a region all daemons do.
func (r Replica) WithRegion(region string) Replica {
	r.region = region
	return r
}

// Region returns the region, or "" if it is unknown.
func (r Replica) Region() string { return r.region }

// DataCentre returns the data centre in which the replica runs.
func (r Replica) DataCentre() string { return r.dataCentre }

// Purpose says why a sub-request is sent. Hedges and retries differ from first
// sub-requests in what they may use.
type Purpose uint8

// Purposes.
const (
	FirstAttempt Purpose = iota
	Hedge
	Retry
)

// String names the purpose as it appears in explanations and metrics.
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

// PickRequest describes the sub-request for which a replica is wanted.
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

// NewPickRequest returns an ask for a first sub-request to one of holders.
func NewPickRequest(shard snapshot.Shard, version snapshot.Version, holders []string) PickRequest {
	return PickRequest{shard: shard, version: version, holders: holders}
}

// WithPurpose returns the ask with a purpose.
func (a PickRequest) WithPurpose(purpose Purpose) PickRequest {
	a.purpose = purpose
	return a
}

// Excluding returns the ask without the given replicas.
func (a PickRequest) Excluding(ids ...ID) PickRequest {
	a.excluded = ids
	return a
}

// WithHolders returns the ask limited to some of its holders.
func (a PickRequest) WithHolders(holders []string) PickRequest {
	a.holders = holders
	return a
}

// OnFreshConnection returns the ask for a new connection, as used after an
// exchange timed out.
func (a PickRequest) OnFreshConnection() PickRequest {
	a.freshConnection = true
	return a
}

// ForPeer returns the ask for a sub-request that a peer relays through this
// daemon. It is not relayed again. If the peer granted its own part of a cold
// level to the sub-request, this daemon's part is not needed.
func (a PickRequest) ForPeer(granted bool) PickRequest {
	a.relayed, a.coldShareGranted = true, granted
	return a
}

// Shard returns the wanted shard.
func (a PickRequest) Shard() snapshot.Shard { return a.shard }

// Version returns the wanted snapshot version.
func (a PickRequest) Version() snapshot.Version { return a.version }

// Holders returns the replicas that hold the shard.
func (a PickRequest) Holders() []string { return a.holders }

// Purpose returns why the sub-request is sent.
func (a PickRequest) Purpose() Purpose { return a.purpose }

// Choice is the replica picked for a sub-request and the way to it.
type Choice struct {
	upstream            ID
	via                 string
	freshConnection     bool
	coldShareGranted    bool
	trial               bool
	pickedAt            clock.Millis
	replica             *replicaState
	gated               bool
	afterConnectionLoss bool
	boot                string
}

// Upstream returns the picked replica.
func (c Choice) Upstream() ID { return c.upstream }

// Via returns the daemon through which the sub-request is relayed, or "" if
// this daemon sends it itself.
func (c Choice) Via() string { return c.via }

// FreshConnection reports whether the sub-request must use a new connection.
func (c Choice) FreshConnection() bool { return c.freshConnection }

// ColdShareGranted reports whether a relayed sub-request uses this daemon's part of the
// upstream's cold level. The relaying daemon is told so.
func (c Choice) ColdShareGranted() bool { return c.coldShareGranted }

// Trial reports whether the sub-request tries a replica that returns from an
// ejection.
func (c Choice) Trial() bool { return c.trial }

// AfterConnectionLoss reports whether the upstream had been lost before the choice and has
// not answered since, so that another loss says nothing about the request.
func (c Choice) AfterConnectionLoss() bool { return c.afterConnectionLoss }

// Gated reports whether the choice takes into account that the upstream is, or
// may be, in a cold start.
func (c Choice) Gated() bool { return c.gated }

// Boot returns the identity of the upstream's process as it was known at the
// choice, or "". Unless the choice is gated, only this process may run the
// sub-request: another one may be in a cold start.
func (c Choice) Boot() string { return c.boot }

// PickedAt returns the instant at which the replica was picked.
func (c Choice) PickedAt() clock.Millis { return c.pickedAt }

// Outcome classifies how an exchange with an upstream ended.
type Outcome uint8

// Kinds of results. The comment says what is known about the sub-request
// having run, which decides about retries and refusals.
const (
	// OK: a valid sub-answer.
	OK Outcome = iota
	// VersionGone: the upstream no longer holds the snapshot version; not run.
	VersionGone
	// WrongShard: the upstream does not hold the shard; not run.
	WrongShard
	// Shed: the upstream refused under load and says that it did not run it.
	Shed
	// NotConnected: no byte of the request can have left; not run.
	NotConnected
	// ConnectionLost: the connection broke after bytes left; may have run.
	ConnectionLost
	// Timeout: no reply in time; may have run.
	Timeout
	// Failed: the upstream ran it and reported an error, or sent an answer
	// that does not match what was asked.
	Failed
	// Cancelled: this daemon abandoned the exchange; may have run.
	Cancelled
	// NoShare: the relaying peer has no free share; not run, and the upstream
	// was not reached.
	NoRelayShare
	// RelayLost: the link to the relaying peer broke; may have run. It is no
	// evidence about the upstream.
	RelayLost
	// Stale: every open connection had ended while it was idle, and no new one
	// was opened; not run. The upstream may have restarted.
	IdleConnectionsClosed
)

// NotRun reports whether the kind proves that the sub-request did not run.
func (k Outcome) NotRun() bool {
	switch k {
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

// String names the kind as it appears in explanations and metrics.
func (k Outcome) String() string {
	if int(k) < len(outcomeNames) {
		return outcomeNames[k]
	}
	return "unknown"
}

// Result is how an exchange with an upstream ended.
type Result struct {
	outcome Outcome
	latency clock.Millis
	boot    string
}

// NewResult returns a result. Boot is the process identity that the upstream
// stated in its reply, or "" without a reply.
func NewResult(kind Outcome, latency clock.Millis, boot string) Result {
	return Result{outcome: kind, latency: latency, boot: boot}
}

// Outcome returns how the exchange ended.
func (r Result) Outcome() Outcome { return r.outcome }

// Latency returns the time from the send to the end of the exchange.
func (r Result) Latency() clock.Millis { return r.latency }

// Boot returns the process identity stated by the upstream, or "".
func (r Result) Boot() string { return r.boot }
