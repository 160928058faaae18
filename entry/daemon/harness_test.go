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
	"path/filepath"
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
	"github.com/lovagegap/lovagegap/entry/logs"
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
	// waitTimeout bounds waits for conditions that have no target of their own.
	waitTimeout = 40 * time.Second
	// childConfigurationVariable is the environment variable whose value, a
	// configuration in JSON, makes the test binary run as a daemon.
	childConfigurationVariable = "LOVAGEGAPD_TEST_CONFIGURATION"
)

func TestMain(m *testing.M) {
	if text := os.Getenv(childConfigurationVariable); text != "" {
		os.Exit(runDaemonProcess([]byte(text)))
	}
	os.Exit(m.Run())
}

// runDaemonProcess runs a daemon until SIGTERM, or until the parent process ends and
// so closes the standard input. It returns the exit code.
func runDaemonProcess(text []byte) int {
	configuration, err := parseConfiguration(text)
	if err != nil {
		return 2
	}
	go func() {
		_, _ = io.Copy(io.Discard, os.Stdin)
		os.Exit(3)
	}()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	if runWithRetry(ctx, configuration) != nil {
		return 1
	}
	return 0
}

// logDirectoryVariable is the environment variable whose value is the directory to
// which the daemons of the tests write their logs, if it is set.
const logDirectoryVariable = "LOVAGEGAPD_TEST_LOGS"

// openLog returns the logger of a daemon under test and a function that closes it.
func openLog(name string) (logr.Logger, func()) {
	directory := os.Getenv(logDirectoryVariable)
	if directory == "" {
		return logr.Discard(), func() {}
	}
	file, err := os.OpenFile(filepath.Join(directory, fmt.Sprintf("%s-%d.log", name, os.Getpid())),
		os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return logr.Discard(), func() {}
	}
	sink := logs.New(file)
	sink.Configure(logs.Options{Level: 1})
	return sink.Logger(), func() {
		sink.Close()
		_ = file.Close()
	}
}

// runWithRetry runs a daemon and retries while its addresses are in use. A process
// that another test starts inherits the test's listeners until it executes its own
// program, so an address may stay in use for a moment after its listener was closed.
func runWithRetry(ctx context.Context, configuration Configuration) error {
	log, closeLog := openLog(configuration.name)
	defer closeLog()
	for began := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		err := Run(ctx, configuration, log)
		if !errors.Is(err, ErrListen) || time.Since(began) > waitTimeout {
			return err
		}
	}
}

// nextPort is the offset of the next port that freeAddress tries. The ports are below
// the range of the system for outgoing connections and below those of the examples.
var nextPort atomic.Int64

// reservedListeners maps addresses to the listeners that reserve them until a daemon
// starts.
var reservedListeners sync.Map

// freeAddress returns an address that is in no other use until releaseAddresses.
func freeAddress(t *testing.T) string {
	t.Helper()
	for range 6000 {
		port := 10000 + (int64(os.Getpid())*97+nextPort.Add(1))%6000
		address := fmt.Sprintf("127.0.0.1:%d", port)
		listener, err := net.Listen("tcp", address)
		if err == nil {
			reservedListeners.Store(address, listener)
			return address
		}
	}
	require.Fail(t, "no free port")
	return ""
}

// platformProxy is the server through which one daemon reaches the platform. cut
// makes the platform unreachable for that daemon only.
type platformProxy struct {
	server *httptest.Server
	isCut  atomic.Bool
}

func newPlatformProxy(t *testing.T, inner http.Handler) *platformProxy {
	p := &platformProxy{}
	p.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if p.isCut.Load() {
			panic(http.ErrAbortHandler)
		}
		inner.ServeHTTP(w, r)
	}))
	t.Cleanup(p.server.Close)
	t.Cleanup(p.cut)
	return p
}

func (p *platformProxy) cut() {
	p.isCut.Store(true)
	p.server.CloseClientConnections()
}

// testDaemon is a daemon in the test's process or in a process of its own.
type testDaemon struct {
	t                 *testing.T
	configurationJSON []byte
	configuration     Configuration
	proxy             *platformProxy
	cancel            context.CancelFunc
	done              chan struct{}
	process           *exec.Cmd
}

// releaseAddresses closes the listeners that reserve the daemon's addresses.
func (d *testDaemon) releaseAddresses() {
	c := d.configuration
	for _, address := range []string{c.callerAddress, c.operatorAddress, c.peerAddress} {
		if listener, ok := reservedListeners.LoadAndDelete(address); ok {
			_ = listener.(net.Listener).Close()
		}
	}
}

// start runs the daemon in the test's process.
func (d *testDaemon) start() {
	d.releaseAddresses()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	d.cancel, d.done = cancel, done
	go func() {
		defer close(done)
		if err := runWithRetry(ctx, d.configuration); err != nil {
			d.t.Errorf("daemon %s: %v", d.configuration.name, err)
		}
	}()
}

// stop begins a planned stop of a daemon in the test's process and waits for its end.
func (d *testDaemon) stop() {
	d.cancel()
	select {
	case <-d.done:
	case <-time.After(waitTimeout):
		d.t.Errorf("planned stop of %s did not end within %s", d.configuration.name, waitTimeout)
	}
}

// startProcess starts the daemon in a process of its own.
func (d *testDaemon) startProcess() {
	d.releaseAddresses()
	d.process = exec.Command(os.Args[0])
	d.process.Env = append(os.Environ(), childConfigurationVariable+"="+string(d.configurationJSON))
	_, err := d.process.StdinPipe()
	require.NoError(d.t, err)
	require.NoError(d.t, d.process.Start())
}

func (d *testDaemon) killProcess() {
	_ = d.process.Process.Kill()
	_ = d.process.Wait()
}

func (d *testDaemon) signal(s os.Signal) { require.NoError(d.t, d.process.Process.Signal(s)) }

func (d *testDaemon) ready() bool {
	status, _ := getJSON(d.configuration.callerAddress, "/ready", nil)
	return status == http.StatusOK
}

// fleetOptions describes a deployment. The zero value has 4 shards x 3 replicas and
// all daemons in the test's process.
type fleetOptions struct {
	services     []deployment.Service
	settings     string
	processCount int // number of daemons, from the first, that run in a process of their own
	withSeeds    bool
	drainMargin  clock.Millis
}

// testFleet is a running deployment.
type testFleet struct {
	t          *testing.T
	clock      clock.Clock
	upstreams  *upstreams.Fleet
	platform   *platform.Server
	daemons    []*testDaemon
	probeCount int
	// faultyQueries counts the queries that lacked a shard because of injected faults.
	faultyQueries atomic.Int32
}

func smallService() deployment.Service {
	return deployment.Service{
		Name: service, ShardCount: 4, ReplicasPerShard: 3, Slots: 6, MaxConnections: 45,
		ServiceTime: deployment.Duration(3 * time.Millisecond),
	}
}

const defaultSettings = `{
	"settings": {"addresses": {"lifetime": "1s"}},
	"users": {"association": {"services": {"review-desk": {"settings": {
		"upstreams": {"slots": 6, "connections": 45}}}}}}}`

// startFleet starts a deployment, waits until every daemon is ready, and applies the
// settings as revision 1.
func startFleet(t *testing.T, options fleetOptions) *testFleet {
	t.Helper()
	t.Parallel()
	d := deployment.Deployment{
		User: user, Region: "southwest", DataCentres: []string{"ikeja", "lekki", "bodija"},
		UpstreamIP: "127.0.0.1", Services: options.services, Seed: 1,
	}
	if len(d.Services) == 0 {
		d.Services = []deployment.Service{smallService()}
	}
	f := &testFleet{t: t}
	var err error
	f.upstreams, err = upstreams.Start(d, f.clock)
	require.NoError(t, err)
	t.Cleanup(f.upstreams.Close)
	f.platform = platform.New(f.clock, f.upstreamVMs(d)...)
	f.daemons = f.newDaemons(options, d)
	for i, daemon := range f.daemons {
		f.platform.SetVM(platform.VM{
			Address: daemon.configuration.callerAddress, PeerAddress: daemon.configuration.peerAddress,
			Role: "entry", State: platform.Live, DataCentre: daemon.configuration.dataCentre, Region: d.Region,
		})
		if i < options.processCount {
			daemon.startProcess()
			t.Cleanup(daemon.killProcess)
			continue
		}
		daemon.start()
	}
	t.Cleanup(f.stop)
	startDiagnosis(f)
	f.waitReady()
	if options.settings == "" {
		options.settings = defaultSettings
	}
	status, _ := f.applySettings(0, 0, "initial", options.settings)
	require.Equal(t, http.StatusOK, status)
	f.waitRevision(1, 5*time.Second)
	return f
}

func (f *testFleet) upstreamVMs(d deployment.Deployment) []platform.VM {
	var vms []platform.VM
	for _, u := range f.upstreams.All() {
		vms = append(vms, platform.VM{
			Address: u.Address(), DataCentre: u.DataCentre(), Region: d.Region,
			Role: "upstream", User: user, Service: u.Service(), State: platform.Live,
		})
	}
	return vms
}

func (f *testFleet) newDaemons(options fleetOptions, d deployment.Deployment) []*testDaemon {
	var daemons []*testDaemon
	var peers []string
	for range daemonCount {
		peers = append(peers, freeAddress(f.t))
	}
	for n := range daemonCount {
		g := newPlatformProxy(f.t, f.platform.Handler())
		wire := wireConfiguration{
			Name: fmt.Sprintf("entry-%d", n), DataCentre: d.DataCentres[n%len(d.DataCentres)], Region: d.Region,
			Callers: freeAddress(f.t), Operators: freeAddress(f.t), Peers: peers[n],
			Platform: g.server.URL, PeerKeys: []string{"key-of-the-test-deployment"},
		}
		if options.withSeeds {
			wire.Seeds = peers
		}
		text, err := json.Marshal(wire)
		require.NoError(f.t, err)
		configuration, err := parseConfiguration(text)
		require.NoError(f.t, err)
		configuration.drainMargin = options.drainMargin
		daemons = append(daemons, &testDaemon{t: f.t, configurationJSON: text, configuration: configuration, proxy: g})
	}
	return daemons
}

// stop begins a planned stop of the daemons in the test's process. It does not wait
// for the end of the drain margin; TestRollingStopFailsNoRequest covers planned stops.
func (f *testFleet) stop() {
	for _, daemon := range f.daemons {
		if daemon.cancel != nil {
			daemon.cancel()
		}
	}
}

func (f *testFleet) waitReady() {
	f.t.Helper()
	f.waitFor(waitTimeout, "all daemons are ready", func() bool {
		for _, daemon := range f.daemons {
			if !daemon.ready() {
				return false
			}
		}
		return true
	})
}

// waitFor polls until the condition holds and returns how long that took. The test
// fails after the limit.
func (f *testFleet) waitFor(limit time.Duration, description string, condition func() bool) time.Duration {
	f.t.Helper()
	began := time.Now()
	for !condition() {
		require.Less(f.t, time.Since(began), limit, description)
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(began)
}

// waitRevision waits until all daemons, without the first of except, have the revision
// in force, and returns how long that took.
func (f *testFleet) waitRevision(revision uint64, limit time.Duration, except ...int) time.Duration {
	f.t.Helper()
	return f.waitFor(limit, fmt.Sprintf("revision %d in force everywhere", revision), func() bool {
		for n := range f.daemons {
			if len(except) > 0 && except[0] == n {
				continue
			}
			if f.settingsDocument(n).Revision != revision {
				return false
			}
		}
		return true
	})
}

func (f *testFleet) settingsDocument(n int) operators.Document {
	var d operators.Document
	_, _ = getJSON(f.daemons[n].configuration.operatorAddress, "/v1/settings", &d)
	return d
}

// applyReply is the reply to a change of settings. Current is set on a conflict.
type applyReply struct {
	operators.Document
	Current operators.Document `json:"current"`
}

func (f *testFleet) applySettings(n int, expect uint64, change, tree string) (int, applyReply) {
	body := fmt.Sprintf(`{"expect": %d, "changeId": %q, "author": "test", "tree": %s}`, expect, change, tree)
	var reply applyReply
	status, err := postJSON(httpClient, f.daemons[n].configuration.operatorAddress, "/v1/settings/apply", body, &reply)
	require.NoError(f.t, err)
	return status, reply
}

// setDataCentre takes a data centre out or brings it in, by direction "out" or "in".
// As lovagegapctl does, it edits the tree in force and applies the result.
func (f *testFleet) setDataCentre(n int, name, direction, change string) {
	f.t.Helper()
	var current struct {
		Revision uint64          `json:"revision"`
		Tree     json.RawMessage `json:"tree"`
	}
	status, err := getJSON(f.daemons[n].configuration.operatorAddress, "/v1/settings", &current)
	require.NoError(f.t, err)
	require.Equal(f.t, http.StatusOK, status)
	edit := settings.TakeDataCentreOut
	if direction == "in" {
		edit = settings.BringDataCentreIn
	}
	tree, err := edit(current.Tree, name)
	require.NoError(f.t, err)
	status, _ = f.applySettings(n, current.Revision, change, string(tree))
	require.Equal(f.t, http.StatusOK, status)
}

// memberStates returns the states of the members by id, as daemon n sees them.
func (f *testFleet) memberStates(n int) map[string]string {
	var view operators.Fleet
	_, _ = getJSON(f.daemons[n].configuration.operatorAddress, "/v1/fleet", &view)
	states := make(map[string]string)
	for _, m := range view.Members {
		states[m.ID] = m.State
	}
	return states
}

// events returns the events of a kind from the journals of all daemons.
func (f *testFleet) events(kind string) (list []operators.Event) {
	for _, daemon := range f.daemons {
		var reply struct {
			Events []operators.Event `json:"events"`
		}
		_, _ = getJSON(daemon.configuration.operatorAddress, "/v1/events", &reply)
		for _, e := range reply.Events {
			if e.Kind == kind {
				list = append(list, e)
			}
		}
	}
	return list
}

var httpClient = &http.Client{Timeout: 30 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

func getJSON(address, path string, reply any) (int, error) {
	response, err := httpClient.Get("http://" + address + path)
	if err != nil {
		return 0, err
	}
	return readJSON(response, reply)
}

func postJSON(client *http.Client, address, path, body string, reply any) (int, error) {
	response, err := client.Post("http://"+address+path, "application/json", requestBody(body))
	if err != nil {
		return 0, err
	}
	return readJSON(response, reply)
}

func requestBody(text string) io.Reader { return bytes.NewReader([]byte(text)) }

func readJSON(response *http.Response, reply any) (int, error) {
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil || reply == nil {
		return response.StatusCode, err
	}
	return response.StatusCode, json.Unmarshal(text, reply)
}

// explainStep is a step in the explanation of an answer.
type explainStep struct {
	At       string `json:"at"`
	Shard    int    `json:"shard"`
	Upstream string `json:"upstream"`
	Event    string `json:"event"`
	Reason   string `json:"reason"`
}

// missingShardSteps returns the steps of the explanation for the missing shards.
func (a answer) missingShardSteps() []explainStep {
	return slices.DeleteFunc(slices.Clone(a.Explain.Steps), func(s explainStep) bool {
		return !slices.Contains(a.Coverage.Missing, s.Shard)
	})
}

// answer holds the fields of an answer or an error that the tests read.
type answer struct {
	RequestID string `json:"requestId"`
	Snapshot  uint64 `json:"snapshot"`
	Coverage  struct {
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
		Steps []explainStep `json:"steps"`
	} `json:"explain"`
	Error struct {
		Code    string `json:"code"`
		Message string `json:"message"`
		Ran     string `json:"ran"`
		Address string `json:"address"`
	} `json:"error"`
	Answer *answer `json:"answer"` // of a refusal below the minimum coverage
}

// checkComplete returns an error unless the reply is an answer that covers all shards.
func checkComplete(status int, a answer, err error) error {
	switch {
	case err != nil:
		return err
	case status != http.StatusOK && a.Answer != nil:
		return fmt.Errorf("status %d: %s %s: %v", status, a.Error.Code, a.Error.Message, a.Answer.Explain.Steps)
	case status != http.StatusOK:
		return fmt.Errorf("status %d: %s %s", status, a.Error.Code, a.Error.Message)
	case a.Partial || a.Coverage.Covered != a.Coverage.Asked || len(a.Parts) != a.Coverage.Asked:
		return fmt.Errorf("partial: missing %v: %v", a.Coverage.Missing, a.missingShardSteps())
	default:
		return nil
	}
}

func queryPath(name string) string { return "/v1/users/" + user + "/services/" + name + "/query" }

func sendQuery(client *http.Client, address, name, body string) (int, answer, error) {
	var a answer
	status, err := postJSON(client, address, queryPath(name), body, &a)
	return status, a, err
}

// queryLoad is a continuous load of queries.
type queryLoad struct {
	stop context.CancelFunc
	wait sync.WaitGroup

	mu        sync.Mutex
	sentCount int
	failures  []string
}

// startLoad starts a load on each given daemon from a number of callers, each of which
// sends at most one query per interval. check returns an error for a failed query.
func (f *testFleet) startLoad(
	callers int, interval time.Duration, check func(int, answer, error) error, daemonIndexes ...int,
) *queryLoad {
	return f.startLoadWith(callers, interval, func() func(int, answer, error) error { return check }, daemonIndexes...)
}

// startLoadWith is like startLoad with a check for each query, which newCheck returns
// before the query is sent.
func (f *testFleet) startLoadWith(
	callers int, interval time.Duration, newCheck func() func(int, answer, error) error, daemonIndexes ...int,
) *queryLoad {
	l := &queryLoad{}
	ctx, cancel := context.WithCancel(context.Background())
	l.stop = cancel
	for _, n := range daemonIndexes {
		address := f.daemons[n].configuration.callerAddress
		for range callers {
			l.wait.Go(func() {
				for ctx.Err() == nil {
					body := fmt.Sprintf(`{"query": {"n": %d}, "explain": true}`, l.nextQuery())
					check := newCheck()
					l.recordFailure(check(sendQuery(httpClient, address, service, body)))
					time.Sleep(interval)
				}
			})
		}
	}
	f.t.Cleanup(l.stopAndWait)
	return l
}

// nextQuery counts a query and returns its number.
func (l *queryLoad) nextQuery() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sentCount++
	return l.sentCount
}

func (l *queryLoad) recordFailure(err error) {
	if err == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures = append(l.failures, err.Error())
}

func (l *queryLoad) sent() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sentCount
}

func (l *queryLoad) stopAndWait() {
	l.stop()
	l.wait.Wait()
}

// requireNoFailures ends the load and fails the test if a query failed.
func (l *queryLoad) requireNoFailures(t *testing.T) {
	t.Helper()
	l.stopAndWait()
	require.Empty(t, l.failures, "%d of %d queries failed", len(l.failures), l.sentCount)
}

var allDaemons = []int{0, 1, 2, 3}
