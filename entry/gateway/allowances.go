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
	"github.com/lovagegap/lovagegap/entry/body"
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
	standingPath           = "/v1/allowance-standing"
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

// standingRequest asks an owner whether it has replaced the daemon that asks, see
// allowance.Inquiry.
type standingRequest struct {
	Daemon    string  `cbor:"1,keyasint"`
	RunningMs float64 `cbor:"2,keyasint"`
}

// standingReply is the reply. The fields are those of allowance.Standing.
type standingReply struct {
	Continuous bool    `cbor:"1,keyasint,omitempty"`
	Alive      int     `cbor:"2,keyasint,omitempty"`
	Refills    bool    `cbor:"3,keyasint,omitempty"`
	RunningMs  float64 `cbor:"4,keyasint,omitempty"`
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
	view := allowance.NewView(policy, config.PeerAddress, config.Seeds, now)
	return &allowances{
		clock: c, self: config.PeerAddress, key: config.Key,
		view: view, ledger: allowance.NewLedger(policy, view, now), wallet: allowance.NewWallet(policy, view, random, now),
		ended: make(map[*allowance.Call]chan struct{}),
		client: &http.Client{
			Timeout: policy.Lifetime().Duration(), // later tokens have expired
			Transport: body.StrictTransport(&http.Transport{
				DialContext:         (&net.Dialer{Timeout: policy.Lifetime().Duration(), KeepAlive: -1}).DialContext,
				MaxIdleConnsPerHost: 1, MaxConnsPerHost: maxAllowanceConnsPerID, IdleConnTimeout: allowanceIdleTimeout,
				DisableCompression: true,
			}),
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
			a.inquire()
		}
	}
}

// setAvailable sets the members that answer peers and are not about to stop.
func (a *allowances) setAvailable(available []fleet.Member) {
	members := make([]allowance.Member, len(available))
	for i, m := range available {
		members[i] = allowance.Member{Name: string(m.ID()), DataCentre: m.DataCentre()}
	}
	a.mu.Lock()
	a.view.SetAlive(a.clock.Now(), members)
	a.mu.Unlock()
	a.inquire()
}

// inquire sends the inquiries that are due.
func (a *allowances) inquire() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, inquiry := range a.view.Inquiries(a.clock.Now()) {
		go func() {
			var reply standingReply
			err := a.post(inquiry.Peer+standingPath, standingRequest{Daemon: a.self, RunningMs: float64(inquiry.Running)}, &reply)
			if err != nil {
				return // asked again
			}
			a.mu.Lock()
			defer a.mu.Unlock()
			a.view.HandleStanding(a.clock.Now(), inquiry, allowance.Standing{
				Continuous: reply.Continuous, Alive: reply.Alive, Refills: reply.Refills, Running: clock.Millis(reply.RunningMs),
			})
		}()
	}
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
	decision := a.start(a.wallet.Take(a.clock.Now(), tenant.Name(), allowance.NewLimit(tenant.Rate(), tenant.Burst())))
	for decision.Kind() == allowance.Pending {
		// The channel is missing if the call ended while it was started.
		if ended, ok := a.ended[decision.WaitsFor()]; ok {
			timer := time.NewTimer((decision.WaitUntil() - a.clock.Now()).Duration())
			a.mu.Unlock()
			select {
			case <-ended:
			case <-timer.C:
			case <-ctx.Done():
			}
			timer.Stop()
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
	var reply allowanceReply
	err := a.post(call.Owner()+allowancePath, allowanceRequest{
		Tenant: call.Tenant(), Rate: call.Limit().Rate(), Burst: call.Limit().Burst(),
		Needed: call.Needed(), Extra: call.Extra(), Unused: call.Unused(),
	}, &reply)
	return reply.toCore(), err
}

// post sends a request to a peer and decodes the reply.
func (a *allowances) post(address string, request, reply any) error {
	// The client has a time-out. Other requests use the tokens if the caller leaves.
	body, err := postToPeer(context.Background(), a.client, a.key, address, request)
	if err != nil {
		return err
	}
	defer body.Close()
	text, err := io.ReadAll(io.LimitReader(body, maxAllowanceBytes))
	if err != nil {
		return err
	}
	return codec.Decode(text, reply)
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

// handleStanding answers the inquiry of another daemon.
func (g *Gateway) handleStanding(c echo.Context) error {
	var request standingRequest
	status, err := g.readPeerRequest(c, maxAllowanceBytes, &request)
	if err == nil && !(request.RunningMs >= 0 && request.RunningMs <= math.MaxFloat32) {
		status, err = http.StatusBadRequest, errors.Wrapf(errPeerExchange, "inquiry after %v ms", request.RunningMs)
	}
	if err != nil {
		return c.String(status, err.Error())
	}
	body, err := codec.Encode(g.allowances.standing(request))
	if err != nil {
		return err
	}
	return c.Blob(http.StatusOK, mimeCBOR, body)
}

func (a *allowances) standing(r standingRequest) standingReply {
	a.mu.Lock()
	defer a.mu.Unlock()
	standing := a.view.Standing(a.clock.Now(), r.Daemon, clock.Millis(r.RunningMs))
	return standingReply{
		Continuous: standing.Continuous, Alive: standing.Alive, Refills: standing.Refills, RunningMs: float64(standing.Running),
	}
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
