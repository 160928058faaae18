// Package load sends queries to entry daemons at a given rate and measures
// their answers.
//
// Arrivals are open-loop: a query is due at its time whether or not earlier
// ones were answered, and its latency counts from that time, so that a stall
// of the daemon is not hidden by a generator that waits for it.
//
// # Usage
//
//	report, err := load.Run(ctx, load.Options{
//		Entries: []string{"127.0.0.1:17100"}, User: "association", Services: []string{"review-desk"},
//		Rate: 100, Count: 1000, Deadline: time.Second,
//	})
//	report.Print(os.Stdout)
package load

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Sentinel errors of Run.
var (
	// ErrOptions means that the options are incomplete or out of range.
	ErrOptions = errors.New("bad options")
	// ErrNotReady means that an entry daemon was not ready in time.
	ErrNotReady = errors.New("entry daemon not ready")
)

const (
	maxQueries          = 10_000_000
	maxQueriesPerSecond = 100_000
	maxInFlight         = 4096 // queries in flight; arrivals above it are counted as dropped
	replyGrace          = time.Second
)

// Options say what to send.
type Options struct {
	Entries         []string // addresses of entry daemons
	User            string
	Services        []string
	Rate            float64 // queries a second over all services
	Count           int     // queries over all services
	Deadline        time.Duration
	Body            string // JSON; empty for an example
	Seed            uint64
	ReadyTimeout    time.Duration // for the entry daemons to become ready
	WarmUp          bool          // within Wait, query each service at each entry until one answer is complete
	FollowAddresses bool          // ask for entry addresses and follow their lifetime
	DataCentre      string        // of the caller, for Addresses
}

func (o Options) validate() error {
	switch {
	case len(o.Entries) == 0 || o.User == "" || len(o.Services) == 0:
		return errors.Wrap(ErrOptions, "entries, a user and services are needed")
	case o.Rate <= 0 || o.Rate > maxQueriesPerSecond:
		return errors.Wrapf(ErrOptions, "rate must be above 0 and at most %d", maxQueriesPerSecond)
	case o.Count <= 0 || o.Count > maxQueries:
		return errors.Wrapf(ErrOptions, "count must be 1 to %d", maxQueries)
	case o.Deadline <= 0:
		return errors.Wrap(ErrOptions, "deadline must be positive")
	}
	return nil
}

// Run sends the queries and returns once the last one has ended, or ctx. It
// returns ErrOptions and ErrNotReady.
func Run(ctx context.Context, o Options) (*Report, error) {
	if err := o.validate(); err != nil {
		return nil, err
	}
	c := newCaller(o)
	defer c.close()
	if err := c.awaitReady(ctx); err != nil {
		return nil, err
	}
	report := newReport(o)
	c.sendAll(ctx, report)
	return report, nil
}

// sendAll starts each query when it is due. Gaps are exponential, as those of
// independent callers.
func (c *caller) sendAll(ctx context.Context, report *Report) {
	random := rand.New(rand.NewPCG(c.Seed, 0))
	inFlight := make(chan struct{}, maxInFlight)
	var pending sync.WaitGroup
	defer func() {
		pending.Wait()
		report.endedAt = time.Now()
	}()
	next := time.Now()
	report.startedAt = next
	for i := range c.Count {
		next = next.Add(time.Duration(random.ExpFloat64() / c.Rate * float64(time.Second)))
		due := next
		if !sleepUntil(ctx, due) {
			return
		}
		service := c.Services[serviceIndex(i, len(c.Services))]
		select {
		case inFlight <- struct{}{}:
		default:
			report.recordDropped(service)
			continue
		}
		pending.Go(func() {
			report.recordResult(service, c.query(ctx, service, due))
			<-inFlight
		})
	}
}

func sleepUntil(ctx context.Context, due time.Time) bool {
	left := time.Until(due)
	if left <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// serviceIndex returns the service of query i. Each round starts one service
// later: entry addresses rotate too, and with as many of them as services each
// service would be asked at one daemon only.
func serviceIndex(i, services int) int {
	return (i + i/services) % services
}
