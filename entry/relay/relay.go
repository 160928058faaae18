// Package relay runs sub-requests through the peer that holds the share of an
// upstream.
//
// A daemon whose share of an upstream's connections or cold-start concurrency
// is zero may not connect to it. It sends the sub-request over its link to a
// peer that has a share; the peer runs it and sends the sub-answer back.
//
// # Usage
//
//	r := relay.New(clock.Clock{}, runner)
//	r.Connect(peers.New(peers.Relay, identity, keys, r, log))
//	answer := r.Exchange(ctx, "10.0.0.2:7200", sub)
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

// maxRunningRequests bounds the sub-requests that this daemon runs for its peers at a
// time. Above it a peer is told that the sub-request was not run.
const maxRunningRequests = 4096

// SubRequest is a sub-request to run for a peer.
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

// NewSubRequest returns the sub-request that carries out a Send of a query.
func NewSubRequest(action query.Action, requestID, service string, body []byte) SubRequest {
	return SubRequest{
		service: service, upstream: action.Choice().Upstream(),
		attemptID: requestID + "/" + strconv.FormatUint(uint64(action.Attempt()), 10),
		shard:     action.Shard(), version: action.Version(), deadline: action.At(),
		freshConnection: action.Choice().FreshConnection(), coldShareGranted: action.Choice().ColdShareGranted(), body: body,
	}
}

// Service returns the service in the form user/service.
func (s SubRequest) Service() string { return s.service }

// Upstream returns the replica to ask.
func (s SubRequest) Upstream() upstream.ID { return s.upstream }

// AttemptID returns the id of the sub-request, unique for each attempt.
func (s SubRequest) AttemptID() string { return s.attemptID }

// Shard returns the wanted shard.
func (s SubRequest) Shard() snapshot.Shard { return s.shard }

// Version returns the wanted snapshot version.
func (s SubRequest) Version() snapshot.Version { return s.version }

// Deadline returns the instant, on this daemon's clock, at which the answer is
// of no more use.
func (s SubRequest) Deadline() clock.Millis { return s.deadline }

// FreshConnection reports whether a new connection must be used.
func (s SubRequest) FreshConnection() bool { return s.freshConnection }

// ColdShareGranted reports whether the sub-request uses the asking daemon's part of the
// upstream's cold level.
func (s SubRequest) ColdShareGranted() bool { return s.coldShareGranted }

// Body returns the query.
func (s SubRequest) Body() []byte { return s.body }

// Links carries messages to peers. An error of Send means that no byte was
// sent.
type Links interface {
	Dial(peer string)
	Hangup(peer string)
	Linked(peer string) bool
	Send(peer string, message []byte) error
}

// Runner runs a sub-request on this daemon's own share.
type Runner interface {
	RunRelayed(ctx context.Context, sub SubRequest) query.AttemptResult
}

// Relay sends and serves relayed sub-requests. It is safe for concurrent use.
type Relay struct {
	clock  clock.Clock
	links  Links
	runner Runner

	mu              sync.Mutex
	lastNumber      uint64
	linkWaits       map[string]chan struct{}
	lastUsed        map[string]clock.Millis
	pending         map[exchangeKey]*pendingExchange
	running         map[exchangeKey]context.CancelFunc
	partialRequests map[exchangeKey]*message
}

// exchangeKey names an exchange by the peer at the other end and the number
// that the asking daemon gave it.
type exchangeKey struct {
	peer   string
	number uint64
}

// pendingExchange is an exchange that this daemon asked a peer to run.
type pendingExchange struct {
	result chan query.AttemptResult
	header *wireResult
	data   []byte
	began  clock.Millis
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

// Connect gives the relay its links. It must be called before the first
// exchange.
func (r *Relay) Connect(links Links) { r.links = links }

// Exchange asks the peer to run sub and returns how it ended. The end of ctx
// cancels it at the peer too.
func (r *Relay) Exchange(ctx context.Context, peer string, sub SubRequest) query.AttemptResult {
	began := r.clock.Now()
	ctx, cancel := context.WithTimeout(ctx, (sub.deadline - began).Duration())
	defer cancel()
	if !r.awaitLink(ctx, peer) {
		return r.newFailure(upstream.NotConnected, began)
	}
	key, pending := r.register(peer, began)
	defer r.unregister(key)
	sent, err := r.sendRequest(key, sub)
	if err != nil {
		if sent {
			return r.newFailure(upstream.RelayLost, began)
		}
		return r.newFailure(upstream.NotConnected, began)
	}
	select {
	case result := <-pending.result:
		return result
	case <-ctx.Done():
		r.send(peer, message{Number: key.number, Kind: cancelMessage})
		if context.Cause(ctx) == context.DeadlineExceeded {
			return r.newFailure(upstream.Timeout, began)
		}
		return r.newFailure(upstream.Cancelled, began)
	}
}

// sendRequest sends the sub-request. It reports whether any piece of it was sent.
func (r *Relay) sendRequest(key exchangeKey, sub SubRequest) (sent bool, err error) {
	first := message{Number: key.number, Kind: requestMessage, Request: &wireRequest{
		Service: sub.service, Upstream: sub.upstream, AttemptID: sub.attemptID, Shard: sub.shard,
		Version: sub.version, TimeLeft: sub.deadline - r.clock.Now(), FreshConnection: sub.freshConnection, ColdShareGranted: sub.coldShareGranted,
	}}
	for _, m := range split(first, sub.body) {
		if err := r.send(key.peer, m); err != nil {
			return sent, err
		}
		sent = true
	}
	return sent, nil
}

func (r *Relay) register(peer string, began clock.Millis) (exchangeKey, *pendingExchange) {
	pending := &pendingExchange{result: make(chan query.AttemptResult, 1), began: began}
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

// LinkDown ends all exchanges with the peer. Those that it was asked to run
// may have run; those that it asked for are cancelled.
func (r *Relay) LinkDown(peer string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endLinkWait(peer)
	for key, pending := range r.pending {
		if key.peer == peer {
			pending.deliver(r.newFailure(upstream.RelayLost, pending.began))
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

// Receive takes a message of a peer. It returns an error for a message that no
// daemon sends.
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
	sub := SubRequest{
		service: request.Service, upstream: request.Upstream, attemptID: request.AttemptID, shard: request.Shard,
		version: request.Version, deadline: r.clock.Now() + request.TimeLeft, freshConnection: request.FreshConnection, coldShareGranted: request.ColdShareGranted,
		body: whole.Data,
	}
	ctx, cancel := context.WithTimeout(context.Background(), request.TimeLeft.Duration())
	if !r.startRunning(key, cancel) {
		cancel()
		r.sendResult(key, query.NewAttemptFailure(upstream.NewResult(upstream.NoRelayShare, 0, "")))
		return
	}
	go func() {
		defer r.stopRunning(key)
		r.sendResult(key, r.runner.RunRelayed(ctx, sub))
	}()
}

// joinPieces joins the pieces of an ask. It returns the whole once the last
// piece is there.
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

// sendResult sends the end of a sub-request to the peer that asked for it.
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
		pending.deliver(r.newFailure(upstream.Failed, pending.began))
		return
	}
	if m.More {
		return
	}
	outcome := pending.header.Outcome
	if outcome == upstream.Cancelled {
		// This daemon did not cancel it, so the deadline ended it at the peer.
		outcome = upstream.Timeout
	}
	result := upstream.NewResult(outcome, r.clock.Now()-pending.began, pending.header.Boot)
	pending.deliver(query.NewAttemptResult(result, pending.header.Shard, pending.header.Version, pending.data))
}

// deliver delivers the first end of the exchange; a later one is dropped.
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

func (r *Relay) newFailure(outcome upstream.Outcome, began clock.Millis) query.AttemptResult {
	return query.NewAttemptFailure(upstream.NewResult(outcome, r.clock.Now()-began, ""))
}
