// Package relay runs sub-requests on behalf of peer daemons, and has peers run
// this daemon's own.
//
// The daemons divide an upstream's connections and cold-start concurrency among
// themselves. A daemon whose share of an upstream is zero may not connect to
// it. It sends the sub-request over its link to a peer that has a share; the
// peer sends it to the upstream and returns the result.
//
// # Usage
//
//	r := relay.New(clock.Clock{}, runner)
//	r.Connect(peers.New(peers.Relay, identity, keys, r, log))
//	result := r.Exchange(ctx, "10.0.0.2:7200", subRequest)
package relay

import (
	"context"
	"strconv"
	"sync"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/query"
	"github.com/lovagegap/lovagegap/core/snapshot"
	"github.com/lovagegap/lovagegap/core/upstream"
	"github.com/lovagegap/lovagegap/entry/codec"
)

// maxRunningRequests bounds the sub-requests that this daemon runs for its peers
// at a time. Above it the relay replies that the sub-request was not run. It also
// bounds the requests of which only some pieces have arrived.
const maxRunningRequests = 4096

// SubRequest is an attempt that runs at a peer: one request for one shard to one
// replica.
type SubRequest struct {
	service          string
	upstream         upstream.ID
	attemptID        string
	shard            snapshot.Shard
	version          snapshot.Version
	deadline         clock.Millis
	freshConnection  bool
	coldShareGranted bool
	body             []byte
}

// NewSubRequest returns the sub-request for a Send action of the query with the
// id requestID. The service has the form user/service.
func NewSubRequest(action query.Action, requestID, service string, body []byte) SubRequest {
	return SubRequest{
		service: service, upstream: action.Choice().Upstream(),
		attemptID: requestID + "/" + strconv.FormatUint(uint64(action.Attempt()), 10),
		shard:     action.Shard(), version: action.Version(), deadline: action.At(),
		freshConnection:  action.Choice().FreshConnection(),
		coldShareGranted: action.Choice().ColdShareGranted(), body: body,
	}
}

// Service returns the service in the form user/service.
func (s SubRequest) Service() string { return s.service }

// Upstream returns the replica that the sub-request goes to.
func (s SubRequest) Upstream() upstream.ID { return s.upstream }

// AttemptID returns the id of the sub-request, which differs between the
// attempts of a query.
func (s SubRequest) AttemptID() string { return s.attemptID }

// Shard returns the requested shard.
func (s SubRequest) Shard() snapshot.Shard { return s.shard }

// Version returns the requested snapshot version.
func (s SubRequest) Version() snapshot.Version { return s.version }

// Deadline returns the time, on this daemon's clock, after which the query no
// longer uses the result.
func (s SubRequest) Deadline() clock.Millis { return s.deadline }

// FreshConnection reports whether the sub-request must use a new connection to
// the upstream.
func (s SubRequest) FreshConnection() bool { return s.freshConnection }

// ColdShareGranted reports whether the sub-request counts against the requesting
// daemon's share of the upstream's cold-start concurrency.
func (s SubRequest) ColdShareGranted() bool { return s.coldShareGranted }

// Body returns the body of the query. The caller must not change it.
func (s SubRequest) Body() []byte { return s.body }

// Links sends messages to peers. Dial starts to open a link without waiting for it,
// and Disconnect closes it. Linked reports whether it is open. An error of Send means
// that no byte of the message was sent.
type Links interface {
	Dial(peer string)
	Disconnect(peer string)
	Linked(peer string) bool
	Send(peer string, message []byte) error
}

// Runner runs the sub-request of a peer on this daemon's own share of the
// upstream.
type Runner interface {
	RunRelayed(ctx context.Context, subRequest SubRequest) query.AttemptResult
}

// Relay sends sub-requests to peers and runs those of peers. It is safe for
// concurrent use after Connect.
type Relay struct {
	clock  clock.Clock
	links  Links
	runner Runner

	mu              sync.Mutex
	lastNumber      uint64
	linkWaits       map[string]chan struct{} // by peer; closed when the wait ends
	lastUsed        map[string]clock.Millis  // by peer
	pending         map[exchangeKey]*pendingExchange
	running         map[exchangeKey]context.CancelFunc
	partialRequests map[exchangeKey]*message
}

// exchangeKey identifies an exchange by the peer at the other end and the number
// that the requesting daemon gave it.
type exchangeKey struct {
	peer   string
	number uint64
}

// pendingExchange is a sub-request that a peer runs for this daemon.
type pendingExchange struct {
	result    chan query.AttemptResult
	header    *wireResult
	data      []byte
	startedAt clock.Millis
}

// New returns a relay that runs peers' sub-requests with runner.
func New(c clock.Clock, runner Runner) *Relay {
	return &Relay{
		clock: c, runner: runner,
		linkWaits:       make(map[string]chan struct{}),
		lastUsed:        make(map[string]clock.Millis),
		pending:         make(map[exchangeKey]*pendingExchange),
		running:         make(map[exchangeKey]context.CancelFunc),
		partialRequests: make(map[exchangeKey]*message),
	}
}

// Connect sets the links to peers. It must be called before the first exchange.
func (r *Relay) Connect(links Links) { r.links = links }

// Exchange has the peer run the sub-request and returns the result. It returns at the
// deadline of the sub-request at the latest; the end of ctx cancels it at the peer
// too. The outcome is NotConnected if no byte reached the peer, and RelayLost if the
// link broke after that, in which case the sub-request may have run.
func (r *Relay) Exchange(ctx context.Context, peer string, subRequest SubRequest) query.AttemptResult {
	startedAt := r.clock.Now()
	ctx, cancel := context.WithTimeout(ctx, (subRequest.deadline - startedAt).Duration())
	defer cancel()
	if !r.awaitLink(ctx, peer) {
		return r.newFailure(upstream.NotConnected, startedAt)
	}
	key, pending := r.register(peer, startedAt)
	defer r.unregister(key)
	sent, err := r.sendRequest(key, subRequest)
	if err != nil {
		if sent {
			return r.newFailure(upstream.RelayLost, startedAt)
		}
		return r.newFailure(upstream.NotConnected, startedAt)
	}
	select {
	case result := <-pending.result:
		return result
	case <-ctx.Done():
		r.send(peer, message{Number: key.number, Kind: cancelMessage})
		if context.Cause(ctx) == context.DeadlineExceeded {
			return r.newFailure(upstream.Timeout, startedAt)
		}
		return r.newFailure(upstream.Cancelled, startedAt)
	}
}

// sendRequest sends a sub-request in pieces. It reports whether any piece was sent.
func (r *Relay) sendRequest(key exchangeKey, subRequest SubRequest) (sent bool, err error) {
	first := message{Number: key.number, Kind: requestMessage, Request: &wireRequest{
		Service: subRequest.service, Upstream: subRequest.upstream, AttemptID: subRequest.attemptID, Shard: subRequest.shard,
		Version: subRequest.version, TimeLeft: subRequest.deadline - r.clock.Now(),
		FreshConnection: subRequest.freshConnection, ColdShareGranted: subRequest.coldShareGranted,
	}}
	for _, m := range split(first, subRequest.body) {
		if err := r.send(key.peer, m); err != nil {
			return sent, err
		}
		sent = true
	}
	return sent, nil
}

func (r *Relay) register(peer string, startedAt clock.Millis) (exchangeKey, *pendingExchange) {
	pending := &pendingExchange{result: make(chan query.AttemptResult, 1), startedAt: startedAt}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastNumber++
	key := exchangeKey{peer: peer, number: r.lastNumber}
	r.pending[key] = pending
	return key, pending
}

func (r *Relay) unregister(key exchangeKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.pending, key)
}

// LinkDown ends all exchanges with the peer. Sub-requests sent to the peer end
// with RelayLost, since they may have run; those that run for it are cancelled.
func (r *Relay) LinkDown(peer string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endLinkWait(peer)
	for key, pending := range r.pending {
		if key.peer == peer {
			pending.deliver(r.newFailure(upstream.RelayLost, pending.startedAt))
		}
	}
	for key, cancel := range r.running {
		if key.peer == peer {
			cancel()
		}
	}
	for key := range r.partialRequests {
		if key.peer == peer {
			delete(r.partialRequests, key)
		}
	}
}

// Receive handles a message of a peer. It returns an error for a message that is
// malformed or has an unknown kind.
func (r *Relay) Receive(peer string, data []byte) error {
	m, err := decodeMessage(data)
	if err != nil {
		return err
	}
	key := exchangeKey{peer: peer, number: m.Number}
	switch m.Kind {
	case requestMessage:
		r.receiveRequest(key, m)
	case resultMessage:
		r.receiveResult(key, m)
	case cancelMessage:
		r.receiveCancel(key)
	}
	return nil
}

func (r *Relay) receiveRequest(key exchangeKey, m message) {
	whole, ok := r.joinPieces(key, m)
	if !ok {
		return
	}
	request := whole.Request
	subRequest := SubRequest{
		service: request.Service, upstream: request.Upstream, attemptID: request.AttemptID, shard: request.Shard,
		version: request.Version, deadline: r.clock.Now() + request.TimeLeft,
		freshConnection: request.FreshConnection, coldShareGranted: request.ColdShareGranted, body: whole.Data,
	}
	ctx, cancel := context.WithTimeout(context.Background(), request.TimeLeft.Duration())
	if !r.startRunning(key, cancel) {
		cancel()
		r.sendResult(key, query.NewAttemptFailure(upstream.NewResult(upstream.NoRelayShare, 0, "")))
		return
	}
	go func() {
		defer r.stopRunning(key)
		r.sendResult(key, r.runner.RunRelayed(ctx, subRequest))
	}()
}

// joinPieces adds m to the pieces of its request. It returns the whole request
// once the last piece has arrived. It drops a request above maxDataBytes.
func (r *Relay) joinPieces(key exchangeKey, m message) (*message, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	whole := r.partialRequests[key]
	if whole == nil {
		if m.Request == nil || len(r.partialRequests) >= maxRunningRequests {
			return nil, false
		}
		whole = &message{Request: m.Request}
		r.partialRequests[key] = whole
	}
	whole.Data = append(whole.Data, m.Data...)
	if len(whole.Data) > maxDataBytes {
		delete(r.partialRequests, key)
		return nil, false
	}
	if m.More {
		return nil, false
	}
	delete(r.partialRequests, key)
	return whole, true
}

func (r *Relay) startRunning(key exchangeKey, cancel context.CancelFunc) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.running) >= maxRunningRequests || r.running[key] != nil {
		return false
	}
	r.running[key] = cancel
	return true
}

func (r *Relay) stopRunning(key exchangeKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if cancel := r.running[key]; cancel != nil {
		cancel()
	}
	delete(r.running, key)
}

func (r *Relay) receiveCancel(key exchangeKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.partialRequests, key)
	if cancel := r.running[key]; cancel != nil {
		cancel()
	}
}

// sendResult sends the result of a sub-request to the peer that requested it.
func (r *Relay) sendResult(key exchangeKey, result query.AttemptResult) {
	upstreamResult := result.UpstreamResult()
	first := message{Number: key.number, Kind: resultMessage, Result: &wireResult{
		Outcome: upstreamResult.Outcome(), Latency: upstreamResult.Latency(), Boot: upstreamResult.Boot(),
		Shard: result.Shard(), Version: result.Version(),
	}}
	for _, m := range split(first, result.Data()) {
		if r.send(key.peer, m) != nil {
			return
		}
	}
}

func (r *Relay) receiveResult(key exchangeKey, m message) {
	r.mu.Lock()
	defer r.mu.Unlock()
	pending := r.pending[key]
	if pending == nil {
		return
	}
	if pending.header == nil {
		pending.header = m.Result
	}
	pending.data = append(pending.data, m.Data...)
	if pending.header == nil || len(pending.data) > maxDataBytes {
		pending.deliver(r.newFailure(upstream.Failed, pending.startedAt))
		return
	}
	if m.More {
		return
	}
	outcome := pending.header.Outcome
	if outcome == upstream.Cancelled {
		// This daemon did not cancel it, so it ended at its deadline at the peer.
		outcome = upstream.Timeout
	}
	result := upstream.NewResult(outcome, r.clock.Now()-pending.startedAt, pending.header.Boot)
	pending.deliver(query.NewAttemptResult(result, pending.header.Shard, pending.header.Version, pending.data))
}

// deliver passes the result to the goroutine of Exchange. It drops all but the first.
func (p *pendingExchange) deliver(result query.AttemptResult) {
	select {
	case p.result <- result:
	default:
	}
}

func (r *Relay) send(peer string, m message) error {
	data, err := codec.Encode(m)
	if err != nil {
		return err
	}
	return r.links.Send(peer, data)
}

// newFailure returns a result without data, with the latency since startedAt.
func (r *Relay) newFailure(outcome upstream.Outcome, startedAt clock.Millis) query.AttemptResult {
	return query.NewAttemptFailure(upstream.NewResult(outcome, r.clock.Now()-startedAt, ""))
}
