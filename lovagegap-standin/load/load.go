// Package load sends queries to entry daemons at a given rate and measures the
// answers.
//
// The load is open-loop: each query is sent when it is due, whether or not earlier
// ones have been answered, and its latency counts from that time. A stall of a
// daemon thus shows in the latency of all queries that become due during it.
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
	// ErrOptions means that an option is missing or out of range.
	ErrOptions = errors.New("invalid load options")
	// ErrNotReady means that an entry daemon was not ready within ReadyTimeout.
	ErrNotReady = errors.New("entry daemon not ready")
)

const (
	maxQueries          = 10_000_000
	maxQueriesPerSecond = 100_000
	maxInFlight         = 4096        // queries due while as many are in flight are counted as dropped
	replyGrace          = time.Second // time after the deadline of a query within which its reply is awaited
)

// Options describe a load.
type Options struct {
	Entries         []string // addresses of entry daemons
	User            string
	Services        []string
	Rate            float64       // queries per second over all services, above 0 and at most 100 000
	Count           int           // queries over all services, 1 to 10 000 000
	Deadline        time.Duration // of each query
	Body            string        // query as JSON; "" sends an example
	Seed            uint64        // of the arrival times
	ReadyTimeout    time.Duration // for the entry daemons to become ready; 0 skips the check
	WarmUp          bool          // within ReadyTimeout, query each service at each entry until one answer is complete
	FollowAddresses bool          // request entry addresses from the daemons whenever their lifetime ends
	DataCentre      string        // of the caller, for FollowAddresses
}

func (o Options) validate() error {
	switch {
	case len(o.Entries) == 0 || o.User == "" || len(o.Services) == 0:
		return errors.Wrap(ErrOptions, "needs at least one entry, a user and at least one service")
	case o.Rate <= 0 || o.Rate > maxQueriesPerSecond:
		return errors.Wrapf(ErrOptions, "rate %g must be above 0 and at most %d queries per second",
			o.Rate, maxQueriesPerSecond)
	case o.Count <= 0 || o.Count > maxQueries:
		return errors.Wrapf(ErrOptions, "count %d must be from 1 to %d queries", o.Count, maxQueries)
	case o.Deadline <= 0:
		return errors.Wrapf(ErrOptions, "deadline %s must be positive", o.Deadline)
	}
	return nil
}

// Run sends the queries and waits until all have ended. When ctx ends it sends no
// more queries, cancels those in flight and returns the report so far. Its errors
// match ErrOptions or ErrNotReady.
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

// sendAll sends each query when it is due. The gaps between arrivals are
// exponentially distributed, as with independent callers.
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

// sleepUntil returns false if ctx ends first.
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

// serviceIndex returns the index of the service that query i goes to. Each round
// over the services starts one service later. Since the entry addresses rotate too,
// each service would otherwise be queried at one daemon only when there are as many
// entries as services.
func serviceIndex(i, services int) int {
	return (i + i/services) % services
}
