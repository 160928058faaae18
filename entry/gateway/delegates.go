package gateway

import (
	"cmp"
	"context"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/fleet"
	"github.com/lovagegap/lovagegap/core/route"
	"github.com/lovagegap/lovagegap/entry/body"
	"github.com/lovagegap/lovagegap/entry/codec"
	"github.com/lovagegap/lovagegap/entry/routing"
)

const (
	gatherPath     = "/v1/gather"
	maxGatherBytes = 4 << 20
	// maxDelegatesPerDataCentre bounds the daemons of a data centre to which this one
	// delegates, and so the connections to them.
	maxDelegatesPerDataCentre = 8
	// avoidDuration is how long a daemon is not selected after a failed delegation.
	avoidDuration = clock.Second
)

// gatherRequest asks a daemon of another data centre to gather shards. The fields
// are those of routing.GatherRequest.
type gatherRequest struct {
	RequestID   string              `cbor:"1,keyasint"`
	Method      string              `cbor:"2,keyasint"`
	Target      string              `cbor:"3,keyasint"`
	Host        string              `cbor:"4,keyasint"`
	Header      map[string][]string `cbor:"5,keyasint,omitempty"`
	Body        []byte              `cbor:"6,keyasint,omitempty"`
	TimeLeftMs  float64             `cbor:"7,keyasint"`
	ObjectiveMs float64             `cbor:"8,keyasint"`
	ReportInMs  float64             `cbor:"9,keyasint"`
	Route       string              `cbor:"10,keyasint"`
	Services    []string            `cbor:"11,keyasint"`
	Priority    int                 `cbor:"12,keyasint"`
	TopK        int                 `cbor:"13,keyasint"`
	Regions     []string            `cbor:"14,keyasint,omitempty"`
	Tenant      string              `cbor:"15,keyasint,omitempty"` // name, or ""
}

// gatherReply is one report on the shards of a gatherRequest, with the merged records
// of those that succeeded. If it lists no shards, NotRun reports whether no attempt was
// made. The fields are those of routing.Part.
type gatherReply struct {
	Shards      []int    `cbor:"1,keyasint,omitempty"` // positions in Services of the request
	Seals       []string `cbor:"2,keyasint,omitempty"`
	Records     []byte   `cbor:"3,keyasint,omitempty"`
	NotRun      bool     `cbor:"4,keyasint,omitempty"`
	More        bool     `cbor:"5,keyasint,omitempty"` // another report follows
	LostReplica string   `cbor:"6,keyasint,omitempty"`
	Failed      []int    `cbor:"7,keyasint,omitempty"` // positions in Services of the request
	Shed        []int    `cbor:"8,keyasint,omitempty"` // positions in Services of the request
	HedgeDue    bool     `cbor:"9,keyasint,omitempty"`

	Leaving []wireObservation `cbor:"10,keyasint,omitempty"` // replicas that stated that they leave
}

func newGatherRequest(request routing.GatherRequest) gatherRequest {
	r, tenant := request.Request, ""
	if r.Tenant != nil {
		tenant = r.Tenant.Name()
	}
	return gatherRequest{
		RequestID: r.ID, Method: r.Method, Target: r.Target, Host: r.Host, Header: r.Header, Body: r.Body,
		TimeLeftMs: float64(r.Deadline), ObjectiveMs: float64(request.Objective),
		ReportInMs: float64(request.ReportIn), Route: request.Route, Services: request.Services,
		Priority: request.Priority, TopK: request.TopK, Regions: request.AllowedRegions, Tenant: tenant,
	}
}

const (
	maxGatherTimeMs   = float64(clock.Hour)
	maxGatherServices = 4096
)

// validate returns errPeerExchange for durations or a number of services outside the
// limits.
func (r gatherRequest) validate() error {
	for _, duration := range []float64{r.TimeLeftMs, r.ObjectiveMs, r.ReportInMs} {
		if !(duration > 0 && duration <= maxGatherTimeMs) {
			return errors.Wrapf(errPeerExchange, "gather request with a duration of %v ms", duration)
		}
	}
	if len(r.Services) == 0 || len(r.Services) > maxGatherServices {
		return errors.Wrapf(errPeerExchange, "gather request for %d services", len(r.Services))
	}
	return nil
}

func (r gatherRequest) toRouting() routing.GatherRequest {
	var tenant *route.Tenant
	if r.Tenant != "" {
		tenant = route.NewTenant(r.Tenant, r.Priority, 0, 0)
	}
	return routing.GatherRequest{
		Request: routing.Request{
			ID: r.RequestID, Method: r.Method, Target: r.Target, Host: r.Host, Header: r.Header, Body: r.Body,
			Deadline: clock.Millis(r.TimeLeftMs), Tenant: tenant,
		},
		Objective: clock.Millis(r.ObjectiveMs), ReportIn: clock.Millis(r.ReportInMs), Route: r.Route,
		Services: r.Services, Priority: r.Priority, TopK: r.TopK, AllowedRegions: r.Regions,
	}
}

// newGatherReply returns the report for a part of the requested services. More reports
// whether another one follows.
func newGatherReply(services []string, part routing.Part, more bool) gatherReply {
	position := make(map[string]int, len(services))
	for i, service := range services {
		position[service] = i
	}
	positions := func(names []string) []int {
		var found []int
		for _, name := range names {
			found = append(found, position[name])
		}
		return found
	}
	return gatherReply{
		Shards: positions(part.Covered), Seals: part.Seals, Records: part.Records, NotRun: part.NotRun, More: more,
		LostReplica: part.LostReplica, Failed: positions(part.Failed), Shed: positions(part.Shed), HedgeDue: part.HedgeDue,
		Leaving: encodeObservations(part.Leaving),
	}
}

// toRouting converts the report and adds its shards to seen. It returns false if a
// shard was not requested or has been seen before.
func (r gatherReply) toRouting(services []string, seen map[int]bool) (part routing.Part, ok bool) {
	ok = true
	names := func(positions []int) []string {
		var found []string
		for _, i := range positions {
			if i < 0 || i >= len(services) || seen[i] {
				ok = false
				return nil
			}
			seen[i] = true
			found = append(found, services[i])
		}
		return found
	}
	part = routing.Part{
		Covered: names(r.Shards), Seals: r.Seals, Records: r.Records, NotRun: r.NotRun, LostReplica: r.LostReplica,
		Failed: names(r.Failed), Shed: names(r.Shed), HedgeDue: r.HedgeDue, Leaving: decodeObservations(r.Leaving),
	}
	return part, ok
}

// delegates implements routing.Delegates: it delegates shards to the serving daemons
// in other data centres of the region. It never waits for the tracker or the engine.
// It is safe for concurrent use.
type delegates struct {
	clock  clock.Clock
	self   fleet.Member
	key    []byte
	client *http.Client

	mu           sync.Mutex
	random       *rand.Rand
	peers        map[string][]string     // by data centre
	avoidedUntil map[string]clock.Millis // by daemon
}

func newDelegates(c clock.Clock, self fleet.Member, key []byte, random *rand.Rand) *delegates {
	return &delegates{
		clock: c, self: self, key: key, random: random, avoidedUntil: make(map[string]clock.Millis),
		client: &http.Client{Transport: body.StrictTransport(&http.Transport{
			DialContext:         (&net.Dialer{Timeout: peerDialTimeout, KeepAlive: -1}).DialContext,
			MaxIdleConnsPerHost: 16, IdleConnTimeout: 20 * time.Second, DisableCompression: true,
		})},
	}
}

// setServing sets the members that serve callers. Those of this data centre and of
// other regions are ignored.
func (d *delegates) setServing(serving []fleet.Member) {
	peers := make(map[string][]string)
	for _, m := range serving {
		if m.DataCentre() != d.self.DataCentre() && m.Region() == d.self.Region() {
			peers[m.DataCentre()] = append(peers[m.DataCentre()], string(m.ID()))
		}
	}
	for dataCentre, all := range peers {
		peers[dataCentre] = d.selectDelegates(all)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peers = peers
}

// selectDelegates returns at most maxDelegatesPerDataCentre of the daemons of a data
// centre, and may reorder all. Rendezvous hashing gives each daemon a different
// selection, so that the load is spread.
func (d *delegates) selectDelegates(all []string) []string {
	if len(all) <= maxDelegatesPerDataCentre {
		return all
	}
	slices.SortFunc(all, func(a, b string) int { return cmp.Compare(d.rank(a), d.rank(b)) })
	return all[:maxDelegatesPerDataCentre]
}

func (d *delegates) rank(peer string) uint64 {
	return xxhash.Sum64String(string(d.self.ID()) + " " + peer)
}

// DataCentres returns the data centres with an available delegate, in random order.
func (d *delegates) DataCentres() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	var found []string
	for dataCentre := range d.peers {
		if len(d.available(now, dataCentre)) > 0 {
			found = append(found, dataCentre)
		}
	}
	d.random.Shuffle(len(found), func(i, j int) { found[i], found[j] = found[j], found[i] })
	return found
}

// available returns the delegates in a data centre that are not avoided. The caller
// holds the lock.
func (d *delegates) available(now clock.Millis, dataCentre string) []string {
	var found []string
	for _, peer := range d.peers[dataCentre] {
		if now >= d.avoidedUntil[peer] {
			found = append(found, peer)
		}
	}
	return found
}

// pick returns a random available delegate in a data centre, or "".
func (d *delegates) pick(dataCentre string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	found := d.available(d.clock.Now(), dataCentre)
	if len(found) == 0 {
		return ""
	}
	return found[d.random.IntN(len(found))]
}

func (d *delegates) avoid(peer string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	maps.DeleteFunc(d.avoidedUntil, func(_ string, until clock.Millis) bool { return now >= until })
	d.avoidedUntil[peer] = now + avoidDuration
}

// Gather delegates shards to a daemon in the data centre. A daemon that fails, or has
// not answered when ctx ends, is avoided for avoidDuration.
func (d *delegates) Gather(
	ctx context.Context, dataCentre string, request routing.GatherRequest, report func(routing.Part),
) routing.Part {
	peer := d.pick(dataCentre)
	if peer == "" {
		return routing.Part{NotRun: true}
	}
	part, err := d.requestGather(ctx, peer, request, report)
	if err != nil {
		d.avoid(peer)
	}
	return part
}

// requestGather sends the request, calls report for each report but the last one, and
// returns the last one.
func (d *delegates) requestGather(
	ctx context.Context, peer string, request routing.GatherRequest, report func(routing.Part),
) (routing.Part, error) {
	body, err := postToPeer(ctx, d.client, d.key, peer+gatherPath, newGatherRequest(request))
	if err != nil {
		return routing.Part{}, err
	}
	defer body.Close()
	decoder := codec.NewDecoder(io.LimitReader(body, maxGatherBytes))
	seen := make(map[int]bool)
	for {
		var reply gatherReply
		if err := decoder.Decode(&reply); err != nil {
			return routing.Part{}, errors.Wrapf(errPeerExchange, "%v", err)
		}
		part, ok := reply.toRouting(request.Services, seen)
		switch {
		case !ok:
			return routing.Part{}, errors.Wrap(errPeerExchange, "gather reply lists a repeated or foreign shard")
		case !reply.More:
			// The connection is reused only if the body is read to its end.
			_, _ = io.Copy(io.Discard, body)
			return part, nil
		}
		report(part)
	}
}

// handleGather gathers shards for a daemon of another data centre. The reply is a
// sequence of reports.
func (g *Gateway) handleGather(c echo.Context) error {
	var wire gatherRequest
	if status, err := g.readPeerRequest(c, maxGatherBytes, &wire); err != nil {
		return c.String(status, err.Error())
	}
	if err := wire.validate(); err != nil {
		return c.String(http.StatusBadRequest, err.Error())
	}
	response := c.Response()
	response.Header().Set(echo.HeaderContentType, mimeCBOR)
	send := func(part routing.Part, more bool) error {
		text, err := codec.Encode(newGatherReply(wire.Services, part, more))
		if err == nil {
			_, err = response.Write(text)
		}
		return err
	}
	part := g.engine.Gather(c.Request().Context(), wire.toRouting(), func(early routing.Part) {
		if send(early, true) == nil {
			response.Flush()
		}
	})
	return send(part, false)
}
