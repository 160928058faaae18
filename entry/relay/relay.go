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

// maxRunning bounds the sub-requests that this daemon runs for its peers at a
// time. Above it a peer is told that the sub-request was not run.
const maxRunning = 4096

// Sub is a sub-request to run for a peer.
type Sub struct {
	service  string
	upstream upstream.ID
	request  string
	shard    snapshot.Shard
	version  snapshot.Version
	deadline clock.Millis
	fresh    bool
	granted  bool
	body     []byte
}

// NewSub returns the sub-request that carries out a Send of a query.
func NewSub(action query.Action, request, service string, body []byte) Sub {
	return Sub{
		service: service, upstream: action.Choice().Upstream(),
		request: request + "/" + strconv.FormatUint(uint64(action.Attempt()), 10),
		shard:   action.Shard(), version: action.Version(), deadline: action.At(),
		fresh: action.Choice().FreshConnection(), granted: action.Choice().ColdShareGranted(), body: body,
	}
}

// Service returns the service in the form user/service.
func (s Sub) Service() string { return s.service }

// Upstream returns the replica to ask.
func (s Sub) Upstream() upstream.ID { return s.upstream }

// Request returns the id of the sub-request, unique for each attempt.
func (s Sub) Request() string { return s.request }

// Shard returns the wanted shard.
func (s Sub) Shard() snapshot.Shard { return s.shard }

// Version returns the wanted snapshot version.
func (s Sub) Version() snapshot.Version { return s.version }

// Deadline returns the instant, on this daemon's clock, at which the answer is
// of no more use.
func (s Sub) Deadline() clock.Millis { return s.deadline }

// Fresh reports whether a new connection must be used.
func (s Sub) Fresh() bool { return s.fresh }

// Granted reports whether the sub-request uses the asking daemon's part of the
// upstream's cold level.
func (s Sub) Granted() bool { return s.granted }

// Body returns the query.
func (s Sub) Body() []byte { return s.body }

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
	RunRelayed(ctx context.Context, sub Sub) query.AttemptResult
}

// Relay sends and serves relayed sub-requests. It is safe for concurrent use.
type Relay struct {
	clock  clock.Clock
	links  Links
	runner Runner

	mu      sync.Mutex
	next    uint64
	opening map[string]chan struct{}
	used    map[string]clock.Millis
	waiting map[exchangeKey]*waiter
	running map[exchangeKey]context.CancelFunc
	partial map[exchangeKey]*message
}

// exchangeKey names an exchange by the peer at the other end and the number
// that the asking daemon gave it.
type exchangeKey struct {
	peer   string
	number uint64
}

// waiter is an exchange that this daemon asked a peer to run.
type waiter struct {
	answer chan query.AttemptResult
	header *wireAnswer
	data   []byte
	began  clock.Millis
}

// New returns a relay that runs peers' sub-requests with runner.
func New(c clock.Clock, runner Runner) *Relay {
	return &Relay{
		clock: c, runner: runner,
		opening: make(map[string]chan struct{}),
		used:    make(map[string]clock.Millis),
		waiting: make(map[exchangeKey]*waiter),
		running: make(map[exchangeKey]context.CancelFunc),
		partial: make(map[exchangeKey]*message),
	}
}

// Connect gives the relay its links. It must be called before the first
// exchange.
func (r *Relay) Connect(links Links) { r.links = links }

// Exchange asks the peer to run sub and returns how it ended. The end of ctx
// cancels it at the peer too.
func (r *Relay) Exchange(ctx context.Context, peer string, sub Sub) query.AttemptResult {
	began := r.clock.Now()
	ctx, cancel := context.WithTimeout(ctx, (sub.deadline - began).Duration())
	defer cancel()
	if !r.open(ctx, peer) {
		return r.failure(upstream.NotConnected, began)
	}
	key, w := r.register(peer, began)
	defer r.unregister(key)
	sent, err := r.ask(key, sub)
	if err != nil {
		if sent {
			return r.failure(upstream.RelayLost, began)
		}
		return r.failure(upstream.NotConnected, began)
	}
	select {
	case answer := <-w.answer:
		return answer
	case <-ctx.Done():
		r.send(peer, message{Number: key.number, Kind: cancelMessage})
		if context.Cause(ctx) == context.DeadlineExceeded {
			return r.failure(upstream.Timeout, began)
		}
		return r.failure(upstream.Cancelled, began)
	}
}

// ask sends the sub-request. It reports whether any piece of it was sent.
func (r *Relay) ask(key exchangeKey, sub Sub) (sent bool, err error) {
	first := message{Number: key.number, Kind: askMessage, Ask: &wireAsk{
		Service: sub.service, Upstream: sub.upstream, Request: sub.request, Shard: sub.shard,
		Version: sub.version, Left: sub.deadline - r.clock.Now(), Fresh: sub.fresh, Granted: sub.granted,
	}}
	for _, m := range pieces(first, sub.body) {
		if err := r.send(key.peer, m); err != nil {
			return sent, err
		}
		sent = true
	}
	return sent, nil
}

func (r *Relay) register(peer string, began clock.Millis) (exchangeKey, *waiter) {
	w := &waiter{answer: make(chan query.AttemptResult, 1), began: began}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.next++
	key := exchangeKey{peer: peer, number: r.next}
	r.waiting[key] = w
	return key, w
}

func (r *Relay) unregister(key exchangeKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.waiting, key)
}

// LinkDown ends all exchanges with the peer. Those that it was asked to run
// may have run; those that it asked for are cancelled.
func (r *Relay) LinkDown(peer string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.opened(peer)
	for key, w := range r.waiting {
		if key.peer == peer {
			w.end(r.failure(upstream.RelayLost, w.began))
		}
	}
	for key, cancel := range r.running {
		if key.peer == peer {
			cancel()
		}
	}
	for key := range r.partial {
		if key.peer == peer {
			delete(r.partial, key)
		}
	}
}

// Receive takes a message of a peer. It returns an error for a message that no
// daemon sends.
func (r *Relay) Receive(peer string, text []byte) error {
	m, err := decode(text)
	if err != nil {
		return err
	}
	key := exchangeKey{peer: peer, number: m.Number}
	switch m.Kind {
	case askMessage:
		r.receiveAsk(key, m)
	case answerMessage:
		r.receiveAnswer(key, m)
	case cancelMessage:
		r.receiveCancel(key)
	}
	return nil
}

func (r *Relay) receiveAsk(key exchangeKey, m message) {
	whole, ok := r.assemble(key, m)
	if !ok {
		return
	}
	ask := whole.Ask
	sub := Sub{
		service: ask.Service, upstream: ask.Upstream, request: ask.Request, shard: ask.Shard,
		version: ask.Version, deadline: r.clock.Now() + ask.Left, fresh: ask.Fresh, granted: ask.Granted,
		body: whole.Data,
	}
	ctx, cancel := context.WithTimeout(context.Background(), ask.Left.Duration())
	if !r.begin(key, cancel) {
		cancel()
		r.reply(key, query.NewAttemptFailure(upstream.NewResult(upstream.NoRelayShare, 0, "")))
		return
	}
	go func() {
		defer r.end(key)
		r.reply(key, r.runner.RunRelayed(ctx, sub))
	}()
}

// assemble joins the pieces of an ask. It returns the whole once the last
// piece is there.
func (r *Relay) assemble(key exchangeKey, m message) (*message, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	whole := r.partial[key]
	if whole == nil {
		if m.Ask == nil || len(r.partial) >= maxRunning {
			return nil, false
		}
		whole = &message{Ask: m.Ask}
		r.partial[key] = whole
	}
	whole.Data = append(whole.Data, m.Data...)
	if len(whole.Data) > maxData {
		delete(r.partial, key)
		return nil, false
	}
	if m.More {
		return nil, false
	}
	delete(r.partial, key)
	return whole, true
}

func (r *Relay) begin(key exchangeKey, cancel context.CancelFunc) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.running) >= maxRunning || r.running[key] != nil {
		return false
	}
	r.running[key] = cancel
	return true
}

func (r *Relay) end(key exchangeKey) {
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
	delete(r.partial, key)
	if cancel := r.running[key]; cancel != nil {
		cancel()
	}
}

// reply sends the end of a sub-request to the peer that asked for it.
func (r *Relay) reply(key exchangeKey, answer query.AttemptResult) {
	result := answer.UpstreamResult()
	first := message{Number: key.number, Kind: answerMessage, Answer: &wireAnswer{
		Kind: result.Outcome(), Latency: result.Latency(), Boot: result.Boot(),
		Shard: answer.Shard(), Version: answer.Version(),
	}}
	for _, m := range pieces(first, answer.Data()) {
		if r.send(key.peer, m) != nil {
			return
		}
	}
}

func (r *Relay) receiveAnswer(key exchangeKey, m message) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.waiting[key]
	if w == nil {
		return
	}
	if w.header == nil {
		w.header = m.Answer
	}
	w.data = append(w.data, m.Data...)
	if w.header == nil || len(w.data) > maxData {
		w.end(r.failure(upstream.Failed, w.began))
		return
	}
	if m.More {
		return
	}
	kind := w.header.Kind
	if kind == upstream.Cancelled {
		// This daemon did not cancel it, so the deadline ended it at the peer.
		kind = upstream.Timeout
	}
	result := upstream.NewResult(kind, r.clock.Now()-w.began, w.header.Boot)
	w.end(query.NewAttemptResult(result, w.header.Shard, w.header.Version, w.data))
}

// end delivers the first end of the exchange; a later one is dropped.
func (w *waiter) end(answer query.AttemptResult) {
	select {
	case w.answer <- answer:
	default:
	}
}

func (r *Relay) send(peer string, m message) error {
	text, err := codec.Encode(m)
	if err != nil {
		return err
	}
	return r.links.Send(peer, text)
}

func (r *Relay) failure(kind upstream.Outcome, began clock.Millis) query.AttemptResult {
	return query.NewAttemptFailure(upstream.NewResult(kind, r.clock.Now()-began, ""))
}
