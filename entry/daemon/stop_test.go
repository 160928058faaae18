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

// directory is a caller's cache of entry addresses.
type directory struct {
	addresses []string
	expires   time.Time
}

// refresh asks the addresses in hand for new ones once their lifetime is over.
func (d *directory) refresh() error {
	if time.Now().Before(d.expires) {
		return nil
	}
	return d.renew()
}

func (d *directory) renew() error {
	var err error
	for _, address := range d.addresses {
		asked := time.Now()
		var reply struct {
			Addresses []string `json:"addresses"`
			Lifetime  string   `json:"lifetime"`
		}
		var status int
		status, err = get(address, "/v1/addresses?dataCentre=ikeja", &reply)
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

// freshCaller opens a connection for each query and honours the lifetime of
// addresses.
func (l *load) freshCaller(ctx context.Context, first, name, body string) {
	d := &directory{addresses: []string{first}}
	client := &http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for turn := 0; ctx.Err() == nil; turn++ {
		err := d.refresh()
		if err == nil {
			err = complete(ask(client, d.addresses[turn%len(d.addresses)], name, body))
		}
		l.next()
		l.note(err)
		time.Sleep(10 * time.Millisecond)
	}
}

// keptCaller keeps one connection open and moves when a reply tells it to.
func (l *load) keptCaller(ctx context.Context, first string) {
	d := &directory{addresses: []string{first}}
	for ctx.Err() == nil {
		address := d.addresses[0]
		client := &http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{MaxConnsPerHost: 1}}
		for told := false; !told && ctx.Err() == nil; {
			var err error
			told, err = askOnce(client, address)
			l.next()
			l.note(err)
			time.Sleep(10 * time.Millisecond)
		}
		if err := d.renew(); err != nil {
			l.note(err)
		}
		client.CloseIdleConnections()
	}
}

func askOnce(client *http.Client, address string) (told bool, err error) {
	response, err := client.Post("http://"+address+queryPath(service), "application/json", requestBody(`{"query": 1, "explain": true}`))
	if err != nil {
		return true, err
	}
	var a answer
	status, err := read(response, &a)
	return response.Close, complete(status, a, err)
}

// Guards against requests that a planned stop cuts or fails (I9).
func TestRollingStop(t *testing.T) {
	slow := deployment.Service{
		Name: slowService, ShardCount: 2, ReplicasPerShard: 3, Slots: 16, MaxConnections: 110,
		ServiceTime: deployment.Duration(1500 * time.Millisecond),
	}
	f := launch(t, setup{margin: 2 * clock.Second, services: []deployment.Service{smallService(), slow}, settings: `{
		"settings": {"addresses": {"lifetime": "1s"}},
		"users": {"association": {"services": {
			"review-desk": {"settings": {"upstreams": {"slots": 6, "connections": 45}}},
			"annual-reporting": {"settings": {"deadline": "10s", "upstreams": {"slots": 16, "connections": 110}}}}}}}`})
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{stop: cancel}
	var wait sync.WaitGroup
	for n := range 8 {
		first := f.nodes[n%daemonCount].configuration.callers
		wait.Go(func() { l.freshCaller(ctx, first, service, `{"query": 1, "explain": true}`) })
		wait.Go(func() { l.keptCaller(ctx, first) })
		if n < daemonCount {
			wait.Go(func() { l.freshCaller(ctx, first, slowService, `{"query": 1, "explain": true}`) })
		}
	}
	defer wait.Wait()
	defer cancel()
	for _, node := range f.nodes {
		began := time.Now()
		node.stop()
		stopped := time.Since(began)
		node.start()
		f.waitReady()
		t.Logf("%s: stopped in %s, all ready %s later", node.configuration.name, stopped, time.Since(began)-stopped)
	}
	cancel()
	wait.Wait()
	t.Logf("%d queries", l.count)
	require.Greater(t, l.count, 1000)
	require.Empty(t, l.failures)
}
