package daemon

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/lovagegap-standin/deployment"
)

const slowService = "annual-reporting"

// addressCache holds the entry addresses that a caller knows and when they expire.
type addressCache struct {
	addresses []string
	expires   time.Time
}

// renewIfExpired renews the addresses if their lifetime is over.
func (c *addressCache) renewIfExpired() error {
	if time.Now().Before(c.expires) {
		return nil
	}
	return c.renew()
}

// renew asks the known addresses in turn for new ones until one answers.
func (c *addressCache) renew() error {
	var err error
	for _, address := range c.addresses {
		asked := time.Now()
		var reply struct {
			Addresses []string `json:"addresses"`
			Lifetime  string   `json:"lifetime"`
		}
		var status int
		status, err = getJSON(address, "/v1/addresses?dataCentre=ikeja", &reply)
		if err != nil || status != http.StatusOK {
			continue
		}
		lifetime, parseErr := time.ParseDuration(reply.Lifetime)
		if parseErr != nil {
			return parseErr
		}
		c.addresses, c.expires = reply.Addresses, asked.Add(lifetime)
		return nil
	}
	return fmt.Errorf("none of the entry addresses %v answered: %w", c.addresses, err)
}

// queryOnNewConnections sends queries until ctx ends, each on a connection of its own,
// and renews the addresses when their lifetime is over.
func (l *queryLoad) queryOnNewConnections(ctx context.Context, first, name, body string) {
	cache := &addressCache{addresses: []string{first}}
	client := &http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for turn := 0; ctx.Err() == nil; turn++ {
		err := cache.renewIfExpired()
		if err == nil {
			err = checkComplete(sendQuery(client, cache.addresses[turn%len(cache.addresses)], name, body))
		}
		l.nextQuery()
		l.recordFailure(err)
		time.Sleep(10 * time.Millisecond)
	}
}

// queryOnKeptConnection sends queries until ctx ends on one connection, and opens
// another one to a renewed address when a reply closes it.
func (l *queryLoad) queryOnKeptConnection(ctx context.Context, first string) {
	cache := &addressCache{addresses: []string{first}}
	for ctx.Err() == nil {
		address := cache.addresses[0]
		client := &http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{MaxConnsPerHost: 1}}
		for mustReconnect := false; !mustReconnect && ctx.Err() == nil; {
			var err error
			mustReconnect, err = queryOnce(client, address)
			l.nextQuery()
			l.recordFailure(err)
			time.Sleep(10 * time.Millisecond)
		}
		if err := cache.renew(); err != nil {
			l.recordFailure(err)
		}
		client.CloseIdleConnections()
	}
}

// queryOnce sends a query and reports whether the caller must reconnect, because the
// reply closes the connection or none came.
func queryOnce(client *http.Client, address string) (mustReconnect bool, err error) {
	body := requestBody(`{"query": 1, "explain": true}`)
	response, err := client.Post("http://"+address+queryPath(service), "application/json", body)
	if err != nil {
		return true, err
	}
	var a answer
	status, err := readJSON(response, &a)
	return response.Close, checkComplete(status, a, err)
}

// Guards against requests that fail or lose their connection during a planned stop:
// each daemon stops and restarts in turn while callers send short and long queries
// (I9).
func TestRollingStopFailsNoRequest(t *testing.T) {
	slow := deployment.Service{
		Name: slowService, ShardCount: 2, ReplicasPerShard: 3, Slots: 16, MaxConnections: 110,
		ServiceTime: deployment.Duration(1500 * time.Millisecond),
	}
	services := []deployment.Service{smallService(), slow}
	f := startFleet(t, fleetOptions{drainMargin: 2 * clock.Second, services: services, settings: `{
		"settings": {"addresses": {"lifetime": "1s"}},
		"users": {"association": {"services": {
			"review-desk": {"settings": {"upstreams": {"slots": 6, "connections": 45}}},
			"annual-reporting": {"settings": {"deadline": "10s", "upstreams": {"slots": 16, "connections": 110}}}}}}}`})
	ctx, cancel := context.WithCancel(context.Background())
	l := &queryLoad{stop: cancel}
	var wait sync.WaitGroup
	for n := range 8 {
		first := f.daemons[n%daemonCount].configuration.callerAddress
		wait.Go(func() { l.queryOnNewConnections(ctx, first, service, `{"query": 1, "explain": true}`) })
		wait.Go(func() { l.queryOnKeptConnection(ctx, first) })
		if n < daemonCount {
			wait.Go(func() { l.queryOnNewConnections(ctx, first, slowService, `{"query": 1, "explain": true}`) })
		}
	}
	defer wait.Wait()
	defer cancel()
	for _, daemon := range f.daemons {
		began := time.Now()
		daemon.stop()
		stopped := time.Since(began)
		daemon.start()
		f.waitReady()
		t.Logf("%s: stopped in %s, all ready %s later", daemon.configuration.name, stopped, time.Since(began)-stopped)
	}
	cancel()
	wait.Wait()
	t.Logf("%d queries", l.sentCount)
	require.Greater(t, l.sentCount, 1000)
	require.Empty(t, l.failures)
}
