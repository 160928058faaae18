package gateway

import (
	"context"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"github.com/lovagegap/lovagegap/core/allowance"
	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/fleet"
	"github.com/lovagegap/lovagegap/core/route"
	"github.com/lovagegap/lovagegap/entry/codec"
	"github.com/lovagegap/lovagegap/entry/routing"
)

const (
	allowancePath          = "/v1/allowance"
	maxAllowanceBytes      = 1 << 10
	maxAllowanceTokens     = 1000
	maxAllowanceNameBytes  = 256
	allowanceTickInterval  = 250 * time.Millisecond
	allowanceIdleTimeout   = 50 * time.Second // below that of the peers' server
	maxAllowanceConnsPerID = 4
	// maxAllowanceWait is the time for which a request waits for the owner of its tenant.
	// The owner answers within 2 ms in a healthy network; requests with 50 ms in all
	// must have time left if it doesn't.
	maxAllowanceWait = 15 * time.Millisecond
)

// defaultAllowancePolicy is that of a process configuration without tenants.windowS.
var defaultAllowancePolicy = allowance.Policy{Window: 5 * clock.Second, Overshoot: 0.1, Slack: 20}

// allowanceRequest asks the owner of a tenant for tokens. The fields are those of
// allowance.Call.
type allowanceRequest struct {
	Tenant string  `cbor:"1,keyasint"`
	Rate   float64 `cbor:"2,keyasint"`
	Burst  float64 `cbor:"3,keyasint"`
	Needed int     `cbor:"4,keyasint"`
	Extra  int     `cbor:"5,keyasint,omitempty"`
	Unused int     `cbor:"6,keyasint,omitempty"`
}

// validate returns errPeerExchange for values outside the limits.
func (r allowanceRequest) validate() error {
	for _, number := range []float64{r.Rate, r.Burst} {
		if !(number >= 0 && number <= math.MaxFloat32) {
			return errors.Wrapf(errPeerExchange, "allowance request with a limit of %v", number)
		}
	}
	for _, tokens := range []int{r.Needed, r.Extra, r.Unused} {
		if tokens < 0 || tokens > maxAllowanceTokens {
			return errors.Wrapf(errPeerExchange, "allowance request for %d tokens", tokens)
		}
	}
	if r.Tenant == "" || len(r.Tenant) > maxAllowanceNameBytes {
		return errors.Wrap(errPeerExchange, "allowance request without a valid tenant")
	}
	return nil
}

// allowanceReply is the reply. The fields are those of allowance.Reply.
type allowanceReply struct {
	Granted      int     `cbor:"1,keyasint,omitempty"`
	Unavailable  bool    `cbor:"2,keyasint,omitempty"`
	NextInMs     float32 `cbor:"3,keyasint,omitempty"`
	RetryAfterMs float32 `cbor:"4,keyasint,omitempty"`
}

func (r allowanceReply) toCore() allowance.Reply {
	return allowance.Reply{
		Granted: max(0, min(r.Granted, maxAllowanceTokens)), Unavailable: r.Unavailable,
		NextIn: validMillis(r.NextInMs), RetryAfter: validMillis(r.RetryAfterMs),
	}
}

// validMillis returns the duration, or 0 if it is not one.
func validMillis(ms float32) clock.Millis {
	if !(ms >= 0 && float64(ms) <= float64(clock.Hour)) {
		return 0
	}
	return clock.Millis(ms)
}

// allowances implements routing.Allowances: it grants tenants' requests within limits
// that hold over the whole fleet. It is safe for concurrent use.
type allowances struct {
	clock  clock.Clock
	self   string
	key    []byte
	client *http.Client

	mu     sync.Mutex
	view   *allowance.View
	ledger *allowance.Ledger
	wallet *allowance.Wallet
	ended  map[*allowance.Call]chan struct{} // closed at the end of the call
}

// newAllowances returns allowances without members. The clock must count the time in which
// the machine is suspended.
func newAllowances(c clock.Clock, config Config, random *rand.Rand) *allowances {
	policy := config.Allowances
	if policy.Window <= 0 {
		policy = defaultAllowancePolicy
	}
	now := c.Now()
	view := allowance.NewView(config.PeerAddress, config.Seeds, now)
	return &allowances{
		clock: c, self: config.PeerAddress, key: config.Key,
		view: view, ledger: allowance.NewLedger(policy, view, now), wallet: allowance.NewWallet(policy, view, random, now),
		ended: make(map[*allowance.Call]chan struct{}),
		client: &http.Client{
			Timeout: policy.Lifetime().Duration(), // later tokens have expired
			Transport: &http.Transport{
				DialContext:         (&net.Dialer{Timeout: policy.Lifetime().Duration(), KeepAlive: -1}).DialContext,
				MaxIdleConnsPerHost: 1, MaxConnsPerHost: maxAllowanceConnsPerID, IdleConnTimeout: allowanceIdleTimeout,
				DisableCompression: true,
			},
		},
	}
}

// run updates the state until ctx ends.
func (a *allowances) run(ctx context.Context) {
	ticker := time.NewTicker(allowanceTickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			a.client.CloseIdleConnections()
			return
		case <-ticker.C:
			a.mu.Lock()
			a.ledger.Tick(a.clock.Now())
			a.mu.Unlock()
		}
	}
}

// setServing sets the members that serve callers.
func (a *allowances) setServing(serving []fleet.Member) {
	members := make([]string, len(serving))
	for i, m := range serving {
		members[i] = string(m.ID())
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.view.SetAlive(a.clock.Now(), members)
}

// setLeaving sets the members that are about to stop.
func (a *allowances) setLeaving(members []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.view.SetLeaving(members)
}

// Take requests permission for one request of a tenant.
func (a *allowances) Take(ctx context.Context, tenant *route.Tenant) routing.Grant {
	a.mu.Lock()
	defer a.mu.Unlock()
	var timeout <-chan time.Time
	decision := a.start(a.wallet.Take(a.clock.Now(), tenant.Name(), allowance.NewLimit(tenant.Rate(), tenant.Burst())))
	for decision.Kind() == allowance.Pending {
		// The channel is missing if the call ended while it was started.
		if ended, ok := a.ended[decision.WaitsFor()]; ok {
			if timeout == nil {
				timer := time.NewTimer(maxAllowanceWait)
				defer timer.Stop()
				timeout = timer.C
			}
			a.mu.Unlock()
			select {
			case <-ended:
			case <-timeout:
			case <-ctx.Done():
			}
			a.mu.Lock()
			if ctx.Err() != nil {
				a.wallet.Abandon(decision)
				return routing.Grant{}
			}
		}
		decision = a.start(a.wallet.Resume(a.clock.Now(), decision))
	}
	return routing.Grant{
		Granted: decision.Kind() == allowance.Granted, LimitReached: decision.Kind() == allowance.LimitReached,
		RetryAfter: decision.RetryAfter(),
	}
}

// Return gives the permission of a request back that provably did not run.
func (a *allowances) Return(tenant *route.Tenant) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.wallet.Return(a.clock.Now(), tenant.Name())
}

// start starts the call of a decision, if any, and returns the decision. The caller holds
// the lock.
func (a *allowances) start(decision allowance.Decision) allowance.Decision {
	call := decision.Call()
	switch {
	case call == nil:
	case call.Owner() == a.self:
		now := a.clock.Now()
		a.wallet.HandleReply(now, call,
			a.ledger.Grant(now, call.Tenant(), call.Limit(), call.Needed(), call.Extra(), call.Unused()))
	default:
		a.ended[call] = make(chan struct{})
		go a.exchange(call)
	}
	return decision
}

// exchange sends a call to its owner and handles the reply.
func (a *allowances) exchange(call *allowance.Call) {
	reply, err := a.fetch(call)
	a.mu.Lock()
	defer a.mu.Unlock()
	if now := a.clock.Now(); err == nil {
		a.wallet.HandleReply(now, call, reply)
	} else {
		a.wallet.HandleFailure(now, call)
	}
	close(a.ended[call])
	delete(a.ended, call)
}

func (a *allowances) fetch(call *allowance.Call) (allowance.Reply, error) {
	// The client has a time-out. Other requests use the tokens if the caller leaves.
	body, err := postToPeer(context.Background(), a.client, a.key, call.Owner()+allowancePath, allowanceRequest{
		Tenant: call.Tenant(), Rate: call.Limit().Rate(), Burst: call.Limit().Burst(),
		Needed: call.Needed(), Extra: call.Extra(), Unused: call.Unused(),
	})
	if err != nil {
		return allowance.Reply{}, err
	}
	defer body.Close()
	var reply allowanceReply
	text, err := io.ReadAll(io.LimitReader(body, maxAllowanceBytes))
	if err == nil {
		err = codec.Decode(text, &reply)
	}
	return reply.toCore(), err
}

// grant answers a call of another daemon.
func (a *allowances) grant(r allowanceRequest) allowanceReply {
	a.mu.Lock()
	defer a.mu.Unlock()
	reply := a.ledger.Grant(a.clock.Now(), r.Tenant, allowance.NewLimit(r.Rate, r.Burst), r.Needed, r.Extra, r.Unused)
	return allowanceReply{
		Granted: reply.Granted, Unavailable: reply.Unavailable,
		NextInMs: float32(reply.NextIn), RetryAfterMs: float32(reply.RetryAfter),
	}
}

// handleAllowance grants tokens to another daemon.
func (g *Gateway) handleAllowance(c echo.Context) error {
	var request allowanceRequest
	status, err := g.readPeerRequest(c, maxAllowanceBytes, &request)
	if err == nil {
		err = request.validate()
	}
	if err != nil {
		return c.String(status, err.Error())
	}
	body, err := codec.Encode(g.allowances.grant(request))
	if err != nil {
		return err
	}
	return c.Blob(http.StatusOK, mimeCBOR, body)
}

// metrics returns the gauges of the allowances.
func (a *allowances) metrics() map[string]int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	wallet, ledger := a.wallet.Stats(), a.ledger.Stats()
	return map[string]int64{
		"tokens-outstanding": int64(a.wallet.Outstanding(a.clock.Now())),
		"tokens-received":    wallet.Received,
		"tokens-expired":     wallet.Expired,
		"requests-granted":   wallet.Granted,
		"requests-reserve":   wallet.Reserve,
		"requests-refused":   wallet.LimitReached,
		"requests-unknown":   wallet.Unavailable,
		"calls-sent":         wallet.Calls,
		"calls-failed":       wallet.Failures,
		"owner-timeouts":     wallet.Timeouts,
		"owner.calls":        ledger.Calls,
		"owner.requested":    ledger.Requested,
		"owner.granted":      ledger.Granted,
		"owner.refused":      ledger.Refused,
		"owner.unavailable":  ledger.Unavailable,
		"owner.pauses":       ledger.Pauses,
		"owner.tenants":      int64(a.ledger.Accounts()),
		"share-permille":     int64(1000 * a.view.Share()),
	}
}
