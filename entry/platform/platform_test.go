package platform_test

import (
	"context"
	"maps"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/entry/platform"
	"github.com/lovagegap/lovagegap/entry/platform/platformtest"
	standin "github.com/lovagegap/lovagegap/lovagegap-standin/platform"
)

// port is the contract that the client and the fake share.
type port interface {
	Get(ctx context.Context, key string) (platform.Value, error)
	CompareAndSwap(ctx context.Context, key string, data []byte, expect uint64) (platform.Value, error)
	Watch(ctx context.Context, key string, after uint64) (platform.Value, error)
	VMs(ctx context.Context) ([]platform.VM, error)
}

// bench is a port with the switches that the contract needs.
type bench struct {
	port
	down    func(bool)
	lose    func(int)
	restore func(key string, value platform.Value)
	watches func() int
}

func client(t *testing.T) bench {
	server := standin.New(clock.Clock{},
		standin.VM{Address: "10.0.0.1:80", PeerAddress: "10.0.0.1:81", DataCentre: "ikeja", Region: "west", Role: "entry"},
		standin.VM{Address: "10.0.0.2:80", DataCentre: "lekki", Region: "west", Role: "upstream", User: "u", Service: "s", State: standin.Leaving})
	web := httptest.NewServer(server.Handler())
	c := platform.New(web.URL)
	t.Cleanup(func() {
		c.Close()
		web.CloseClientConnections()
		web.Close()
	})
	return bench{
		port: c,
		down: func(down bool) { require.NoError(t, server.SetFaults(standin.Faults{Down: down})) },
		lose: func(n int) { require.NoError(t, server.SetFaults(standin.Faults{LoseReplies: n})) },
		restore: func(key string, value platform.Value) {
			require.NoError(t, server.Restore(key, value.Revision()))
		},
		watches: func() int { return server.Calls().Total["watch"] },
	}
}

func fake(*testing.T) bench {
	f := &platformtest.Fake{}
	f.SetVMs(platform.NewEntryVM("10.0.0.1:80", "10.0.0.1:81", "ikeja", "west"),
		platform.NewUpstreamVM("10.0.0.2:80", "lekki", "west", "u", "s").AsLeaving())
	return bench{port: f, down: f.SetDown, lose: f.LoseReplies, restore: f.Restore, watches: func() int { return f.Calls("watch") }}
}

func TestContract(t *testing.T) {
	cases := []struct {
		name string
		run  func(t *testing.T, b bench)
	}{
		{"a key never written has revision 0", neverWritten},
		{"a write at the expected revision takes effect", writes},
		{"a write at another revision returns the present value", conflict},
		{"a lost reply leaves the outcome open and the write in effect", lostReply},
		{"a platform that is down", down},
		{"a value above the limit is refused, one at the limit is kept", tooLarge},
		{"a watch returns at a change and counts once", watchChange},
		{"a watch returns when an older revision is restored", watchRestore},
		{"a watch ends with its context", watchContext},
		{"a pending watch fails when the platform goes down", watchDown},
		{"the list of VMs", vms},
	}
	for name, open := range map[string]func(*testing.T) bench{"client": client, "fake": fake} {
		for _, c := range cases {
			t.Run(name+"/"+c.name, func(t *testing.T) { c.run(t, open(t)) })
		}
	}
}

// requireIs knows marked errors, which the standard errors.Is does not see.
func requireIs(t *testing.T, err, target error) {
	t.Helper()
	require.True(t, errors.Is(err, target), "%v is not %v", err, target)
}

const key = "lovagegap/settings"

func neverWritten(t *testing.T, b bench) {
	value, err := b.Get(t.Context(), key)
	require.NoError(t, err)
	require.Zero(t, value.Revision())
	require.Empty(t, value.Data())
}

func put(t *testing.T, b bench, data string, expect uint64) platform.Value {
	value, err := b.CompareAndSwap(t.Context(), key, []byte(data), expect)
	require.NoError(t, err)
	return value
}

func writes(t *testing.T, b bench) {
	value := put(t, b, "one", 0)
	require.Equal(t, platform.NewValue([]byte("one"), 1), value)
	read, err := b.Get(t.Context(), key)
	require.NoError(t, err)
	require.Equal(t, value, read)
}

func conflict(t *testing.T, b bench) {
	present := put(t, b, "one", 0)
	value, err := b.CompareAndSwap(t.Context(), key, []byte("two"), 0)
	requireIs(t, err, platform.ErrConflict)
	require.Equal(t, present, value)
}

func lostReply(t *testing.T, b bench) {
	b.lose(1)
	_, err := b.CompareAndSwap(t.Context(), key, []byte("one"), 0)
	requireIs(t, err, platform.ErrUnknownOutcome)
	require.False(t, errors.Is(err, platform.ErrUnavailable))
	read, err := b.Get(t.Context(), key)
	require.NoError(t, err)
	require.Equal(t, platform.NewValue([]byte("one"), 1), read)
}

func down(t *testing.T, b bench) {
	b.down(true)
	_, err := b.Get(t.Context(), key)
	requireIs(t, err, platform.ErrUnavailable)
	_, err = b.VMs(t.Context())
	requireIs(t, err, platform.ErrUnavailable)
	_, err = b.Watch(t.Context(), key, 0)
	requireIs(t, err, platform.ErrUnavailable)
	// The bytes left, so a client cannot know.
	_, err = b.CompareAndSwap(t.Context(), key, []byte("one"), 0)
	requireIs(t, err, platform.ErrUnknownOutcome)
	b.down(false)
	value, err := b.Get(t.Context(), key)
	require.NoError(t, err)
	require.Zero(t, value.Revision())
}

func tooLarge(t *testing.T, b bench) {
	_, err := b.CompareAndSwap(t.Context(), key, make([]byte, platform.MaxValue+1), 0)
	requireIs(t, err, platform.ErrTooLarge)
	_, err = b.CompareAndSwap(t.Context(), key, make([]byte, platform.MaxValue), 0)
	require.NoError(t, err)
	read, err := b.Get(t.Context(), key)
	require.NoError(t, err)
	require.Len(t, read.Data(), platform.MaxValue)
}

type watched struct {
	value platform.Value
	err   error
}

// startWatch returns once the watch has reached the platform.
func startWatch(ctx context.Context, t *testing.T, b bench, after uint64) <-chan watched {
	done := make(chan watched, 1)
	before := b.watches()
	go func() {
		value, err := b.Watch(ctx, key, after)
		done <- watched{value, err}
	}()
	require.Eventually(t, func() bool { return b.watches() > before }, 5*time.Second, time.Millisecond)
	return done
}

func watchChange(t *testing.T, b bench) {
	put(t, b, "one", 0)
	done := startWatch(t.Context(), t, b, 1)
	value := put(t, b, "two", 1)
	require.Equal(t, watched{value: value}, <-done)
	require.Equal(t, 1, b.watches())
}

func watchRestore(t *testing.T, b bench) {
	first := put(t, b, "one", 0)
	put(t, b, "two", 1)
	done := startWatch(t.Context(), t, b, 2)
	b.restore(key, first)
	require.Equal(t, watched{value: first}, <-done)
}

func watchContext(t *testing.T, b bench) {
	ctx, cancel := context.WithCancel(t.Context())
	done := startWatch(ctx, t, b, 0)
	cancel()
	result := <-done
	requireIs(t, result.err, platform.ErrUnavailable)
	requireIs(t, result.err, context.Canceled)
}

func watchDown(t *testing.T, b bench) {
	done := startWatch(t.Context(), t, b, 0)
	b.down(true)
	requireIs(t, (<-done).err, platform.ErrUnavailable)
}

func vms(t *testing.T, b bench) {
	list, err := b.VMs(t.Context())
	require.NoError(t, err)
	require.Equal(t, []platform.VM{
		platform.NewEntryVM("10.0.0.1:80", "10.0.0.1:81", "ikeja", "west"),
		platform.NewUpstreamVM("10.0.0.2:80", "lekki", "west", "u", "s").AsLeaving(),
	}, list)
}

// Guards against a list that is sent whole with each reading: at 100 VMs that
// alone would use up a daemon's control traffic.
func TestUnchangedListIsNotSentAgain(t *testing.T) {
	server := standin.New(clock.Clock{}, standin.VM{Address: "10.0.0.1:80", Role: "entry", State: standin.Live})
	var bodies []int
	counted := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorder := httptest.NewRecorder()
		server.Handler().ServeHTTP(recorder, r)
		bodies = append(bodies, recorder.Body.Len())
		maps.Copy(w.Header(), recorder.Header())
		w.WriteHeader(recorder.Code)
		_, _ = w.Write(recorder.Body.Bytes())
	}))
	defer counted.Close()
	client := platform.New(counted.URL)
	first, err := client.VMs(t.Context())
	require.NoError(t, err)
	second, err := client.VMs(t.Context())
	require.NoError(t, err)
	require.Equal(t, first, second)
	server.MarkLeaving("10.0.0.1:80")
	third, err := client.VMs(t.Context())
	require.NoError(t, err)
	require.True(t, third[0].Leaving())
	require.Positive(t, bodies[0])
	require.Zero(t, bodies[1])
	require.Positive(t, bodies[2])
}

// TestRefused guards against an unknown outcome for a write that cannot have
// left, and against an endless wait for a platform that does not answer.
func TestRefused(t *testing.T) {
	web := httptest.NewServer(nil)
	web.Close()
	client := platform.New(web.URL)
	_, err := client.CompareAndSwap(t.Context(), key, nil, 0)
	requireIs(t, err, platform.ErrUnavailable)
	require.False(t, errors.Is(err, platform.ErrUnknownOutcome))

	server := standin.New(clock.Clock{})
	require.NoError(t, server.SetFaults(standin.Faults{Delay: "1m"}))
	hung := httptest.NewServer(server.Handler())
	defer hung.Close()
	client = platform.New(hung.URL)
	client.SetTimeouts(20*time.Millisecond, 20*time.Millisecond)
	_, err = client.CompareAndSwap(t.Context(), key, nil, 0)
	requireIs(t, err, platform.ErrUnknownOutcome)
	_, err = client.Watch(t.Context(), key, 0)
	requireIs(t, err, platform.ErrUnavailable)
	client.Close()
}
