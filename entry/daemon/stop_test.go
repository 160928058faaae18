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

// addressCache is a caller's cache of entry addresses.
type addressCache struct {
	addresses []string
	expires   time.Time
}

// renewIfExpired asks the addresses in hand for new ones once their lifetime is over.
func (d *addressCache) renewIfExpired() error {
	if time.Now().Before(d.expires) {
		return nil
	}
	return d.renew()
}

func (d *addressCache) renew() error {
	var err error
	for _, address := range d.addresses {
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
		d.addresses, d.expires = reply.Addresses, asked.Add(lifetime)
		return nil
	}
	return fmt.Errorf("no address answers: %w", err)
}

// queryOnNewConnections opens a connection for each query and honours the lifetime of
// addresses.
func (l *queryLoad) queryOnNewConnections(ctx context.Context, first, name, body string) {
	d := &addressCache{addresses: []string{first}}
	client := &http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for turn := 0; ctx.Err() == nil; turn++ {
		err := d.renewIfExpired()
		if err == nil {
			err = checkComplete(sendQuery(client, d.addresses[turn%len(d.addresses)], name, body))
		}
		l.nextQuery()
		l.recordFailure(err)
		time.Sleep(10 * time.Millisecond)
	}
}

// queryOnKeptConnection keeps one connection open and moves when a reply tells it to.
func (l *queryLoad) queryOnKeptConnection(ctx context.Context, first string) {
	d := &addressCache{addresses: []string{first}}
	for ctx.Err() == nil {
		address := d.addresses[0]
		client := &http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{MaxConnsPerHost: 1}}
		for told := false; !told && ctx.Err() == nil; {
			var err error
			told, err = queryOnce(client, address)
			l.nextQuery()
			l.recordFailure(err)
			time.Sleep(10 * time.Millisecond)
		}
		if err := d.renew(); err != nil {
			l.recordFailure(err)
		}
		client.CloseIdleConnections()
	}
}

func queryOnce(client *http.Client, address string) (mustReconnect bool, err error) {
	response, err := client.Post("http://"+address+queryPath(service), "application/json", requestBody(`{"query": 1, "explain": true}`))
	if err != nil {
		return true, err
	}
	var a answer
	status, err := readJSON(response, &a)
	return response.Close, checkComplete(status, a, err)
}

// Guards against requests that a planned stop cuts or fails (I9).
func TestRollingStopFailsNoRequest(t *testing.T) {
	slow := deployment.Service{
		Name: slowService, Shards: 2, Replicas: 3, Slots: 16, Connections: 110,
		ServiceTime: deployment.Duration(1500 * time.Millisecond),
	}
	f := startFleet(t, fleetOptions{drainMargin: 2 * clock.Second, services: []deployment.Service{smallService(), slow}, settings: `{
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
