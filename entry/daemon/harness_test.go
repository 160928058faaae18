package daemon

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"os/signal"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/settings"
	"github.com/lovagegap/lovagegap/entry/operators"
	"github.com/lovagegap/lovagegap/lovagegap-standin/deployment"
	"github.com/lovagegap/lovagegap/lovagegap-standin/platform"
	"github.com/lovagegap/lovagegap/lovagegap-standin/upstreams"
)

const (
	daemonCount = 4
	user        = "association"
	service     = "review-desk"
	settingsKey = "lovagegap/settings"
	// startTime bounds waits whose length is no target of its own.
	startTime = 40 * time.Second
	// childVariable makes the test binary run as a daemon with the
	// configuration that it holds.
	childVariable = "LOVAGEGAPD_TEST_CONFIGURATION"
)

func TestMain(m *testing.M) {
	if text := os.Getenv(childVariable); text != "" {
		os.Exit(runChild([]byte(text)))
	}
	os.Exit(m.Run())
}

// runChild runs a daemon until SIGTERM or the end of the parent, which closes
// standard input.
func runChild(text []byte) int {
	configuration, err := parse(text)
	if err != nil {
		return 2
	}
	go func() {
		_, _ = io.Copy(io.Discard, os.Stdin)
		os.Exit(3)
	}()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	if runRetrying(ctx, configuration) != nil {
		return 1
	}
	return 0
}

// runRetrying runs a daemon. A process that another test is starting holds the
// test's listeners until its program is loaded, so that an address may be in
// use for a moment after it was given up.
func runRetrying(ctx context.Context, configuration Configuration) error {
	for began := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		err := Run(ctx, configuration, logr.Discard())
		if !errors.Is(err, ErrListen) || time.Since(began) > startTime {
			return err
		}
	}
}

// nextPort walks over ports below the range from which the system takes the
// ports of outgoing connections, and below those of the examples.
var nextPort atomic.Int64

// reserved holds the listeners that keep free ports until a daemon starts.
var reserved sync.Map

func freeAddress(t *testing.T) string {
	t.Helper()
	for range 6000 {
		port := 10000 + (int64(os.Getpid())*97+nextPort.Add(1))%6000
		address := fmt.Sprintf("127.0.0.1:%d", port)
		listener, err := net.Listen("tcp", address)
		if err == nil {
			reserved.Store(address, listener)
			return address
		}
	}
	require.Fail(t, "no free port")
	return ""
}

// gate is one daemon's way to the platform; closing it cuts off that daemon
// only.
type gate struct {
	server *httptest.Server
	closed atomic.Bool
}

func newGate(t *testing.T, inner http.Handler) *gate {
	g := &gate{}
	g.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if g.closed.Load() {
			panic(http.ErrAbortHandler)
		}
		inner.ServeHTTP(w, r)
	}))
	t.Cleanup(g.server.Close)
	t.Cleanup(g.cut)
	return g
}

func (g *gate) cut() {
	g.closed.Store(true)
	g.server.CloseClientConnections()
}

// node is one daemon, in the test's process or in one of its own.
type node struct {
	t             *testing.T
	text          []byte
	configuration Configuration
	gate          *gate
	cancel        context.CancelFunc
	done          chan struct{}
	process       *exec.Cmd
}

// release frees the addresses of the daemon for it.
func (n *node) release() {
	for _, address := range []string{n.configuration.callers, n.configuration.operators, n.configuration.peers} {
		if listener, ok := reserved.LoadAndDelete(address); ok {
			_ = listener.(net.Listener).Close()
		}
	}
}

// start runs the daemon in the test's process.
func (n *node) start() {
	n.release()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	n.cancel, n.done = cancel, done
	go func() {
		defer close(done)
		if err := runRetrying(ctx, n.configuration); err != nil {
			n.t.Errorf("daemon %s: %v", n.configuration.name, err)
		}
	}()
}

// stop carries out a planned stop and waits for its end.
func (n *node) stop() {
	n.cancel()
	select {
	case <-n.done:
	case <-time.After(startTime):
		n.t.Errorf("planned stop of %s does not end", n.configuration.name)
	}
}

// spawn runs the daemon in a process of its own.
func (n *node) spawn() {
	n.release()
	n.process = exec.Command(os.Args[0])
	n.process.Env = append(os.Environ(), childVariable+"="+string(n.text))
	_, err := n.process.StdinPipe()
	require.NoError(n.t, err)
	require.NoError(n.t, n.process.Start())
}

func (n *node) kill() {
	_ = n.process.Process.Kill()
	_ = n.process.Wait()
}

func (n *node) signal(s os.Signal) { require.NoError(n.t, n.process.Process.Signal(s)) }

func (n *node) ready() bool {
	status, _ := get(n.configuration.callers, "/ready", nil)
	return status == http.StatusOK
}

// setup describes a deployment. The zero value is 4 shards x 3 replicas with
// all daemons in the test's process.
type setup struct {
	services  []deployment.Service
	settings  string
	processes int // number of the first daemons that get a process of their own
	seeds     bool
	margin    clock.Millis
}

// fleetUnderTest is a running deployment.
type fleetUnderTest struct {
	t         *testing.T
	clock     clock.Clock
	upstreams *upstreams.Fleet
	platform  *platform.Server
	nodes     []*node
	probes    int
}

func smallService() deployment.Service {
	return deployment.Service{
		Name: service, ShardCount: 4, ReplicasPerShard: 3, Slots: 6, MaxConnections: 45,
		ServiceTime: deployment.Duration(3 * time.Millisecond),
	}
}

const plainSettings = `{
	"settings": {"addresses": {"lifetime": "1s"}},
	"users": {"association": {"services": {"review-desk": {"settings": {
		"upstreams": {"slots": 6, "connections": 45}}}}}}}`

// launch starts a deployment and waits until every daemon serves.
func launch(t *testing.T, s setup) *fleetUnderTest {
	t.Helper()
	t.Parallel()
	d := deployment.Deployment{
		User: user, Region: "southwest", DataCentres: []string{"ikeja", "lekki", "bodija"},
		UpstreamIP: "127.0.0.1", Services: s.services, Seed: 1,
	}
	if len(d.Services) == 0 {
		d.Services = []deployment.Service{smallService()}
	}
	f := &fleetUnderTest{t: t}
	var err error
	f.upstreams, err = upstreams.Start(d, f.clock)
	require.NoError(t, err)
	t.Cleanup(f.upstreams.Close)
	f.platform = platform.New(f.clock, f.vms(d)...)
	f.nodes = f.configure(s, d)
	for n, node := range f.nodes {
		f.platform.SetVM(platform.VM{
			Address: node.configuration.callers, PeerAddress: node.configuration.peers, Role: "entry", State: platform.Live,
			DataCentre: node.configuration.dataCentre, Region: d.Region,
		})
		if n < s.processes {
			node.spawn()
			t.Cleanup(node.kill)
			continue
		}
		node.start()
	}
	t.Cleanup(f.stop)
	f.waitReady()
	if s.settings == "" {
		s.settings = plainSettings
	}
	status, _ := f.apply(0, 0, "initial", s.settings)
	require.Equal(t, http.StatusOK, status)
	f.waitRevision(1, 5*time.Second)
	return f
}

func (f *fleetUnderTest) vms(d deployment.Deployment) []platform.VM {
	var vms []platform.VM
	for _, u := range f.upstreams.All() {
		vms = append(vms, platform.VM{
			Address: u.Address(), DataCentre: u.DataCentre(), Region: d.Region,
			Role: "upstream", User: user, Service: u.Service(), State: platform.Live,
		})
	}
	return vms
}

func (f *fleetUnderTest) configure(s setup, d deployment.Deployment) []*node {
	var nodes []*node
	var peers []string
	for range daemonCount {
		peers = append(peers, freeAddress(f.t))
	}
	for n := range daemonCount {
		g := newGate(f.t, f.platform.Handler())
		wire := wireConfiguration{
			Name: fmt.Sprintf("entry-%d", n), DataCentre: d.DataCentres[n%len(d.DataCentres)], Region: d.Region,
			Callers: freeAddress(f.t), Operators: freeAddress(f.t), Peers: peers[n],
			Platform: g.server.URL, PeerKeys: []string{"key-of-the-test-deployment"},
		}
		if s.seeds {
			wire.Seeds = peers
		}
		text, err := json.Marshal(wire)
		require.NoError(f.t, err)
		configuration, err := parse(text)
		require.NoError(f.t, err)
		configuration.drainMargin = s.margin
		nodes = append(nodes, &node{t: f.t, text: text, configuration: configuration, gate: g})
	}
	return nodes
}

// stop ends the daemons in the test's process. The planned stop itself is
// tested elsewhere, so the test does not wait for the margin of this one.
func (f *fleetUnderTest) stop() {
	for _, node := range f.nodes {
		if node.cancel != nil {
			node.cancel()
		}
	}
}

func (f *fleetUnderTest) waitReady() {
	f.t.Helper()
	f.within(startTime, "all daemons serve", func() bool {
		for _, node := range f.nodes {
			if !node.ready() {
				return false
			}
		}
		return true
	})
}

// within waits for a condition and returns how long it took.
func (f *fleetUnderTest) within(limit time.Duration, what string, condition func() bool) time.Duration {
	f.t.Helper()
	began := time.Now()
	for !condition() {
		require.Less(f.t, time.Since(began), limit, what)
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(began)
}

// waitRevision waits until all daemons have the revision in force.
func (f *fleetUnderTest) waitRevision(revision uint64, limit time.Duration, except ...int) time.Duration {
	f.t.Helper()
	return f.within(limit, fmt.Sprintf("revision %d in force everywhere", revision), func() bool {
		for n := range f.nodes {
			if len(except) > 0 && except[0] == n {
				continue
			}
			if f.document(n).Revision != revision {
				return false
			}
		}
		return true
	})
}

func (f *fleetUnderTest) document(n int) operators.Document {
	var d operators.Document
	_, _ = get(f.nodes[n].configuration.operators, "/v1/settings", &d)
	return d
}

// applied is the reply to a change of settings.
type applied struct {
	operators.Document
	Current operators.Document `json:"current"`
}

func (f *fleetUnderTest) apply(n int, expect uint64, change, tree string) (int, applied) {
	body := fmt.Sprintf(`{"expect": %d, "changeId": %q, "author": "test", "tree": %s}`, expect, change, tree)
	var reply applied
	status, err := post(web, f.nodes[n].configuration.operators, "/v1/settings/apply", body, &reply)
	require.NoError(f.t, err)
	return status, reply
}

// dataCentre takes a data centre out or brings it in, as lovagegapctl does: it
// edits the tree in force and applies it.
func (f *fleetUnderTest) dataCentre(n int, name, direction, change string) {
	f.t.Helper()
	var current struct {
		Revision uint64          `json:"revision"`
		Tree     json.RawMessage `json:"tree"`
	}
	status, err := get(f.nodes[n].configuration.operators, "/v1/settings", &current)
	require.NoError(f.t, err)
	require.Equal(f.t, http.StatusOK, status)
	edit := settings.TakeDataCentreOut
	if direction == "in" {
		edit = settings.BringDataCentreIn
	}
	tree, err := edit(current.Tree, name)
	require.NoError(f.t, err)
	status, _ = f.apply(n, current.Revision, change, string(tree))
	require.Equal(f.t, http.StatusOK, status)
}

// members returns the states of the members as daemon n sees them, by address.
func (f *fleetUnderTest) members(n int) map[string]string {
	var view operators.Fleet
	_, _ = get(f.nodes[n].configuration.operators, "/v1/fleet", &view)
	states := make(map[string]string)
	for _, m := range view.Members {
		states[m.ID] = m.State
	}
	return states
}

// events counts the journal entries of a kind over the whole fleet.
func (f *fleetUnderTest) events(kind string) (list []operators.Event) {
	for _, n := range f.nodes {
		var reply struct {
			Events []operators.Event `json:"events"`
		}
		_, _ = get(n.configuration.operators, "/v1/events", &reply)
		for _, e := range reply.Events {
			if e.Kind == kind {
				list = append(list, e)
			}
		}
	}
	return list
}

var web = &http.Client{Timeout: 30 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

func get(address, path string, reply any) (int, error) {
	response, err := web.Get("http://" + address + path)
	if err != nil {
		return 0, err
	}
	return read(response, reply)
}

func post(client *http.Client, address, path, body string, reply any) (int, error) {
	response, err := client.Post("http://"+address+path, "application/json", requestBody(body))
	if err != nil {
		return 0, err
	}
	return read(response, reply)
}

func requestBody(text string) io.Reader { return bytes.NewReader([]byte(text)) }

func read(response *http.Response, reply any) (int, error) {
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil || reply == nil {
		return response.StatusCode, err
	}
	return response.StatusCode, json.Unmarshal(text, reply)
}

// wireStep is one step of the explanation of an answer.
type wireStep struct {
	At       string `json:"at"`
	Shard    int    `json:"shard"`
	Upstream string `json:"upstream"`
	Event    string `json:"event"`
	Reason   string `json:"reason"`
}

// why returns the steps of the missing shards.
func (a answer) why() []wireStep {
	return slices.DeleteFunc(slices.Clone(a.Explain.Steps), func(s wireStep) bool {
		return !slices.Contains(a.Coverage.Missing, s.Shard)
	})
}

// answer is the part of an answer or error that tests look at.
type answer struct {
	Snapshot uint64 `json:"snapshot"`
	Coverage struct {
		Asked   int   `json:"asked"`
		Covered int   `json:"covered"`
		Missing []int `json:"missing"`
	} `json:"coverage"`
	Partial bool `json:"partial"`
	Parts   []struct {
		Shard int `json:"shard"`
		Data  struct {
			Shard int `json:"shard"`
		} `json:"data"`
	} `json:"parts"`
	Explain struct {
		Steps []wireStep `json:"steps"`
	} `json:"explain"`
	Error struct {
		Code    string `json:"code"`
		Message string `json:"message"`
		Ran     string `json:"ran"`
		Address string `json:"address"`
	} `json:"error"`
}

// complete returns what is wrong with a reply that should be a whole answer.
func complete(status int, a answer, err error) error {
	switch {
	case err != nil:
		return err
	case status != http.StatusOK:
		return fmt.Errorf("status %d: %s %s", status, a.Error.Code, a.Error.Message)
	case a.Partial || a.Coverage.Covered != a.Coverage.Asked || len(a.Parts) != a.Coverage.Asked:
		return fmt.Errorf("partial: missing %v: %v", a.Coverage.Missing, a.why())
	default:
		return nil
	}
}

func queryPath(name string) string { return "/v1/users/" + user + "/services/" + name + "/query" }

func ask(client *http.Client, address, name, body string) (int, answer, error) {
	var a answer
	status, err := post(client, address, queryPath(name), body, &a)
	return status, a, err
}

// load is a steady stream of queries.
type load struct {
	stop context.CancelFunc
	wait sync.WaitGroup

	mu       sync.Mutex
	count    int
	failures []string
}

// pressure sends queries to each given daemon from a number of callers, each
// at most one per interval, and checks the replies.
func (f *fleetUnderTest) pressure(
	callers int, interval time.Duration, check func(int, answer, error) error, nodes ...int,
) *load {
	l := &load{}
	ctx, cancel := context.WithCancel(context.Background())
	l.stop = cancel
	for _, n := range nodes {
		address := f.nodes[n].configuration.callers
		for range callers {
			l.wait.Go(func() {
				for ctx.Err() == nil {
					l.note(check(ask(web, address, service, fmt.Sprintf(`{"query": {"n": %d}, "explain": true}`, l.next()))))
					time.Sleep(interval)
				}
			})
		}
	}
	f.t.Cleanup(l.end)
	return l
}

func (l *load) next() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.count++
	return l.count
}

func (l *load) note(err error) {
	if err == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures = append(l.failures, err.Error())
}

func (l *load) sent() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.count
}

func (l *load) end() {
	l.stop()
	l.wait.Wait()
}

// require ends the load and demands that no query failed.
func (l *load) require(t *testing.T) {
	t.Helper()
	l.end()
	require.Empty(t, l.failures, "%d of %d queries failed", len(l.failures), l.count)
}

var everyone = []int{0, 1, 2, 3}
