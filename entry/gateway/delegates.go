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
	"github.com/lovagegap/lovagegap/entry/codec"
	"github.com/lovagegap/lovagegap/entry/routing"
)

const (
	gatherPath = "/v1/gather"
	maxGather  = 4 << 20
	// maxHelpers bounds the daemons of one data centre that are asked, and with
	// them the connections.
	maxHelpers = 8
	// avoidTime is how long a daemon that did not gather in time is not asked.
	avoidTime = clock.Second
)

// gatherAsk asks a daemon to gather shards.
type gatherAsk struct {
	Request   string              `cbor:"1,keyasint"`
	Method    string              `cbor:"2,keyasint"`
	Target    string              `cbor:"3,keyasint"`
	Host      string              `cbor:"4,keyasint"`
	Header    map[string][]string `cbor:"5,keyasint,omitempty"`
	Body      []byte              `cbor:"6,keyasint,omitempty"`
	Left      float64             `cbor:"7,keyasint"` // milliseconds, as the next two
	Objective float64             `cbor:"8,keyasint"`
	ReportIn  float64             `cbor:"9,keyasint"`
	Route     string              `cbor:"10,keyasint"`
	Services  []string            `cbor:"11,keyasint"`
	Priority  int                 `cbor:"12,keyasint"`
	TopK      int                 `cbor:"13,keyasint"`
	Regions   []string            `cbor:"14,keyasint,omitempty"`
}

// gatherReply is the merged part. Without shards NotRun tells whether a replica
// was asked.
type gatherReply struct {
	Shards  []int    `cbor:"1,keyasint,omitempty"` // positions in the ask
	Seals   []string `cbor:"2,keyasint,omitempty"`
	Records []byte   `cbor:"3,keyasint,omitempty"`
	NotRun  bool     `cbor:"4,keyasint,omitempty"`
	More    bool     `cbor:"5,keyasint,omitempty"` // another report follows
	Lost    string   `cbor:"6,keyasint,omitempty"`
	GaveUp  []int    `cbor:"7,keyasint,omitempty"` // positions in the ask, as the next one
	Shed    []int    `cbor:"8,keyasint,omitempty"`
	Due     bool     `cbor:"9,keyasint,omitempty"`
}

func newGatherAsk(ask routing.GatherRequest) gatherAsk {
	r := ask.Request
	return gatherAsk{
		Request: r.ID, Method: r.Method, Target: r.Target, Host: r.Host, Header: r.Header, Body: r.Body,
		Left: float64(r.Deadline), Objective: float64(ask.Objective),
		ReportIn: float64(ask.ReportIn), Route: ask.Route, Services: ask.Services,
		Priority: ask.Priority, TopK: ask.TopK, Regions: ask.AllowedRegions,
	}
}

const (
	maxGatherTime     = float64(clock.Hour)
	maxGatherServices = 4096
)

// check returns errShare for an ask that no daemon sends.
func (a gatherAsk) check() error {
	for _, time := range []float64{a.Left, a.Objective, a.ReportIn} {
		if !(time > 0 && time <= maxGatherTime) {
			return errors.Wrapf(errShare, "a time of %v ms", time)
		}
	}
	if len(a.Services) == 0 || len(a.Services) > maxGatherServices {
		return errors.Wrapf(errShare, "%d services", len(a.Services))
	}
	return nil
}

func (a gatherAsk) ask() routing.GatherRequest {
	return routing.GatherRequest{
		Request: routing.Request{
			ID: a.Request, Method: a.Method, Target: a.Target, Host: a.Host, Header: a.Header, Body: a.Body,
			Deadline: clock.Millis(a.Left),
		},
		Objective: clock.Millis(a.Objective), ReportIn: clock.Millis(a.ReportIn), Route: a.Route, Services: a.Services,
		Priority: a.Priority, TopK: a.TopK, AllowedRegions: a.Regions,
	}
}

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
		Lost: part.LostReplica, GaveUp: positions(part.Failed), Shed: positions(part.Shed), Due: part.HedgeDue,
	}
}

// part returns the part, or false for shards that were not asked for or seen
// before.
func (r gatherReply) part(services []string, seen map[int]bool) (part routing.Part, ok bool) {
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
		Covered: names(r.Shards), Seals: r.Seals, Records: r.Records, NotRun: r.NotRun, LostReplica: r.Lost,
		Failed: names(r.GaveUp), Shed: names(r.Shed), HedgeDue: r.Due,
	}
	return part, ok
}

// delegates are the serving daemons of other data centres of the region. It
// never waits for the roster or the engine.
type delegates struct {
	clock  clock.Clock
	self   fleet.Member
	key    []byte
	client *http.Client

	mu      sync.Mutex
	random  *rand.Rand
	peers   map[string][]string // by data centre
	avoided map[string]clock.Millis
}

func newDelegates(c clock.Clock, self fleet.Member, key []byte, random *rand.Rand) *delegates {
	return &delegates{
		clock: c, self: self, key: key, random: random, avoided: make(map[string]clock.Millis),
		client: &http.Client{Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: shareDial, KeepAlive: -1}).DialContext,
			MaxIdleConnsPerHost: 16, IdleConnTimeout: 20 * time.Second, DisableCompression: true,
		}},
	}
}

// set takes the members that serve callers.
func (d *delegates) set(serving []fleet.Member) {
	peers := make(map[string][]string)
	for _, m := range serving {
		if m.DataCentre() != d.self.DataCentre() && m.Region() == d.self.Region() {
			peers[m.DataCentre()] = append(peers[m.DataCentre()], string(m.ID()))
		}
	}
	for dataCentre, all := range peers {
		peers[dataCentre] = d.helpers(all)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peers = peers
}

// helpers returns the daemons to ask among those of a data centre. Each daemon
// has others, so that the work is spread.
func (d *delegates) helpers(all []string) []string {
	if len(all) <= maxHelpers {
		return all
	}
	slices.SortFunc(all, func(a, b string) int { return cmp.Compare(d.rank(a), d.rank(b)) })
	return all[:maxHelpers]
}

func (d *delegates) rank(peer string) uint64 {
	return xxhash.Sum64String(string(d.self.ID()) + " " + peer)
}

// DataCentres returns where there is a daemon to ask, in random order.
func (d *delegates) DataCentres() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	var found []string
	for dataCentre := range d.peers {
		if len(d.usable(now, dataCentre)) > 0 {
			found = append(found, dataCentre)
		}
	}
	d.random.Shuffle(len(found), func(i, j int) { found[i], found[j] = found[j], found[i] })
	return found
}

// usable returns the daemons of a data centre that are not avoided. The caller
// holds the lock.
func (d *delegates) usable(now clock.Millis, dataCentre string) []string {
	var found []string
	for _, peer := range d.peers[dataCentre] {
		if now >= d.avoided[peer] {
			found = append(found, peer)
		}
	}
	return found
}

func (d *delegates) pick(dataCentre string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	found := d.usable(d.clock.Now(), dataCentre)
	if len(found) == 0 {
		return ""
	}
	return found[d.random.IntN(len(found))]
}

func (d *delegates) avoid(peer string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	maps.DeleteFunc(d.avoided, func(_ string, until clock.Millis) bool { return now >= until })
	d.avoided[peer] = now + avoidTime
}

// Gather asks a daemon of the data centre. One that does not answer in time, or
// before the shards were answered otherwise, is avoided for some time.
func (d *delegates) Gather(ctx context.Context, dataCentre string, ask routing.GatherRequest, report func(routing.Part)) routing.Part {
	peer := d.pick(dataCentre)
	if peer == "" {
		return routing.Part{NotRun: true}
	}
	part, err := d.ask(ctx, peer, ask, report)
	if err != nil {
		d.avoid(peer)
	}
	return part
}

// ask reads reports up to the last one.
func (d *delegates) ask(ctx context.Context, peer string, ask routing.GatherRequest, report func(routing.Part)) (routing.Part, error) {
	body, err := post(ctx, d.client, d.key, peer+gatherPath, newGatherAsk(ask))
	if err != nil {
		return routing.Part{}, err
	}
	defer body.Close()
	decoder := codec.NewDecoder(io.LimitReader(body, maxGather))
	seen := make(map[int]bool)
	for {
		var reply gatherReply
		if err := decoder.Decode(&reply); err != nil {
			return routing.Part{}, errors.Wrapf(errShare, "%v", err)
		}
		part, ok := reply.part(ask.Services, seen)
		switch {
		case !ok:
			return routing.Part{}, errors.Wrap(errShare, "shards that were not asked for, or twice")
		case !reply.More:
			// The connection is used again only after the end of the answer.
			_, _ = io.Copy(io.Discard, body)
			return part, nil
		}
		report(part)
	}
}

// gather serves the daemons of other data centres.
func (g *Gateway) gather(c echo.Context) error {
	var wire gatherAsk
	if status, err := g.readAsk(c, maxGather, &wire); err != nil {
		return c.String(status, err.Error())
	}
	if err := wire.check(); err != nil {
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
	part := g.engine.Gather(c.Request().Context(), wire.ask(), func(early routing.Part) {
		if send(early, true) == nil {
			response.Flush()
		}
	})
	return send(part, false)
}
