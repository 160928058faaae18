package platform_test

import (
	"context"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/entry/body/bodytest"
	"github.com/lovagegap/lovagegap/entry/platform"
	"github.com/lovagegap/lovagegap/entry/platform/platformtest"
	standin "github.com/lovagegap/lovagegap/lovagegap-standin/platform"
)

// platformAPI has the methods that the client and the fake have in common.
type platformAPI interface {
	Get(ctx context.Context, key string) (platform.Value, error)
	CompareAndSwap(ctx context.Context, key string, data []byte, expect uint64) (platform.Value, error)
	Watch(ctx context.Context, key string, after uint64) (platform.Value, error)
	VMs(ctx context.Context) ([]platform.VM, error)
}

// contractSetup is a client or fake under test, with functions that control its
// platform.
type contractSetup struct {
	platformAPI
	setDown     func(bool)
	loseReplies func(int)
	restore     func(key string, value platform.Value)
	watchCount  func() int
	setExtraVM  func(listed bool) // adds a VM to the list or takes it out again
}

func newClientSetup(t *testing.T) contractSetup {
	server := standin.New(clock.Clock{},
		standin.VM{Address: "10.0.0.1:80", PeerAddress: "10.0.0.1:81", DataCentre: "ikeja", Region: "west", Role: "entry"},
		standin.VM{
			Address: "10.0.0.2:80", DataCentre: "lekki", Region: "west", Role: "upstream", User: "u", Service: "s",
			State: standin.Leaving,
		})
	web := httptest.NewServer(server.Handler())
	c := platform.New(web.URL)
	t.Cleanup(func() {
		c.Close()
		web.CloseClientConnections()
		web.Close()
	})
	return contractSetup{
		platformAPI: c,
		setDown:     func(down bool) { require.NoError(t, server.SetFaults(standin.Faults{Down: down})) },
		loseReplies: func(n int) { require.NoError(t, server.SetFaults(standin.Faults{LoseReplies: n})) },
		restore: func(key string, value platform.Value) {
			require.NoError(t, server.Restore(key, value.Revision()))
		},
		watchCount: func() int { return server.Calls().Total["watch"] },
		setExtraVM: func(listed bool) {
			if !listed {
				require.True(t, server.RemoveVM("10.0.0.3:80"))
				return
			}
			server.SetVM(standin.VM{
				Address: "10.0.0.3:80", DataCentre: "lekki", Region: "west", Role: "upstream", User: "u", Service: "s",
				State: standin.Live,
			})
		},
	}
}

func newFakeSetup(*testing.T) contractSetup {
	f := &platformtest.Fake{}
	vms := []platform.VM{
		platform.NewEntryVM("10.0.0.1:80", "10.0.0.1:81", "ikeja", "west"),
		platform.NewUpstreamVM("10.0.0.2:80", "lekki", "west", "u", "s").AsLeaving(),
	}
	f.SetVMs(vms...)
	return contractSetup{
		platformAPI: f, setDown: f.SetDown, loseReplies: f.LoseReplies, restore: f.Restore,
		watchCount: func() int { return f.Calls("watch") },
		setExtraVM: func(listed bool) {
			f.SetVMs(vms...)
			if listed {
				f.SetVMs(append(slices.Clone(vms), platform.NewUpstreamVM("10.0.0.3:80", "lekki", "west", "u", "s"))...)
			}
		},
	}
}

// Guards against a fake that behaves otherwise than the client, so that tests of
// other packages pass on behaviour that the platform does not have.
func TestClientAndFakeMeetContract(t *testing.T) {
	cases := []struct {
		name string
		run  func(t *testing.T, b contractSetup)
	}{
		{"a key never written has revision 0", testNeverWritten},
		{"a write at the expected revision takes effect", testWrite},
		{"a write at another revision returns the current value", testConflict},
		{"a write whose reply is lost takes effect with an unknown outcome", testLostReply},
		{"calls fail while the platform is down", testDown},
		{"a value above the limit is refused, one at the limit is written", testTooLarge},
		{"a watch returns at a change and counts as one call", testWatchChange},
		{"a watch returns when an older revision is restored", testWatchRestore},
		{"a watch ends with its context", testWatchContext},
		{"a pending watch fails when the platform goes down", testWatchDown},
		{"the list of VMs has all fields", testVMs},
		{"a list of VMs that went back is the present one", testVMsRestore},
	}
	for name, open := range map[string]func(*testing.T) contractSetup{"client": newClientSetup, "fake": newFakeSetup} {
		for _, c := range cases {
			t.Run(name+"/"+c.name, func(t *testing.T) { c.run(t, open(t)) })
		}
	}
}

// requireIs recognises marked errors, which require.ErrorIs does not.
func requireIs(t *testing.T, err, target error) {
	t.Helper()
	require.True(t, errors.Is(err, target), "%v is not %v", err, target)
}

const key = "lovagegap/settings"

func testNeverWritten(t *testing.T, b contractSetup) {
	value, err := b.Get(t.Context(), key)
	require.NoError(t, err)
	require.Zero(t, value.Revision())
	require.Empty(t, value.Data())
}

func put(t *testing.T, b contractSetup, data string, expect uint64) platform.Value {
	value, err := b.CompareAndSwap(t.Context(), key, []byte(data), expect)
	require.NoError(t, err)
	return value
}

func testWrite(t *testing.T, b contractSetup) {
	value := put(t, b, "one", 0)
	require.Equal(t, platform.NewValue([]byte("one"), 1), value)
	read, err := b.Get(t.Context(), key)
	require.NoError(t, err)
	require.Equal(t, value, read)
}

func testConflict(t *testing.T, b contractSetup) {
	present := put(t, b, "one", 0)
	value, err := b.CompareAndSwap(t.Context(), key, []byte("two"), 0)
	requireIs(t, err, platform.ErrConflict)
	require.Equal(t, present, value)
}

func testLostReply(t *testing.T, b contractSetup) {
	b.loseReplies(1)
	_, err := b.CompareAndSwap(t.Context(), key, []byte("one"), 0)
	requireIs(t, err, platform.ErrUnknownOutcome)
	require.False(t, errors.Is(err, platform.ErrUnavailable))
	read, err := b.Get(t.Context(), key)
	require.NoError(t, err)
	require.Equal(t, platform.NewValue([]byte("one"), 1), read)
}

func testDown(t *testing.T, b contractSetup) {
	b.setDown(true)
	_, err := b.Get(t.Context(), key)
	requireIs(t, err, platform.ErrUnavailable)
	_, err = b.VMs(t.Context())
	requireIs(t, err, platform.ErrUnavailable)
	_, err = b.Watch(t.Context(), key, 0)
	requireIs(t, err, platform.ErrUnavailable)
	// The client sent the request, so the write may have taken effect.
	_, err = b.CompareAndSwap(t.Context(), key, []byte("one"), 0)
	requireIs(t, err, platform.ErrUnknownOutcome)
	b.setDown(false)
	value, err := b.Get(t.Context(), key)
	require.NoError(t, err)
	require.Zero(t, value.Revision())
}

func testTooLarge(t *testing.T, b contractSetup) {
	_, err := b.CompareAndSwap(t.Context(), key, make([]byte, platform.MaxValueBytes+1), 0)
	requireIs(t, err, platform.ErrTooLarge)
	_, err = b.CompareAndSwap(t.Context(), key, make([]byte, platform.MaxValueBytes), 0)
	require.NoError(t, err)
	read, err := b.Get(t.Context(), key)
	require.NoError(t, err)
	require.Len(t, read.Data(), platform.MaxValueBytes)
}

type watchResult struct {
	value platform.Value
	err   error
}

// startWatch starts a watch and returns once it has reached the platform.
func startWatch(ctx context.Context, t *testing.T, b contractSetup, after uint64) <-chan watchResult {
	done := make(chan watchResult, 1)
	before := b.watchCount()
	go func() {
		value, err := b.Watch(ctx, key, after)
		done <- watchResult{value, err}
	}()
	require.Eventually(t, func() bool { return b.watchCount() > before }, 5*time.Second, time.Millisecond)
	return done
}

func testWatchChange(t *testing.T, b contractSetup) {
	put(t, b, "one", 0)
	done := startWatch(t.Context(), t, b, 1)
	value := put(t, b, "two", 1)
	require.Equal(t, watchResult{value: value}, <-done)
	require.Equal(t, 1, b.watchCount())
}

func testWatchRestore(t *testing.T, b contractSetup) {
	first := put(t, b, "one", 0)
	put(t, b, "two", 1)
	done := startWatch(t.Context(), t, b, 2)
	b.restore(key, first)
	require.Equal(t, watchResult{value: first}, <-done)
}

func testWatchContext(t *testing.T, b contractSetup) {
	ctx, cancel := context.WithCancel(t.Context())
	done := startWatch(ctx, t, b, 0)
	cancel()
	result := <-done
	requireIs(t, result.err, platform.ErrUnavailable)
	requireIs(t, result.err, context.Canceled)
}

func testWatchDown(t *testing.T, b contractSetup) {
	done := startWatch(t.Context(), t, b, 0)
	b.setDown(true)
	requireIs(t, (<-done).err, platform.ErrUnavailable)
}

func testVMs(t *testing.T, b contractSetup) {
	list, err := b.VMs(t.Context())
	require.NoError(t, err)
	require.Equal(t, []platform.VM{
		platform.NewEntryVM("10.0.0.1:80", "10.0.0.1:81", "ikeja", "west"),
		platform.NewUpstreamVM("10.0.0.2:80", "lekki", "west", "u", "s").AsLeaving(),
	}, list)
}

// testVMsRestore checks the list after a restore to one that the client has read before.
func testVMsRestore(t *testing.T, b contractSetup) {
	for _, extra := range []bool{true, false, true, false} {
		b.setExtraVM(extra)
		list, err := b.VMs(t.Context())
		require.NoError(t, err)
		require.Equal(t, extra, slices.Contains(list, platform.NewUpstreamVM("10.0.0.3:80", "lekki", "west", "u", "s")))
	}
}

// Guards against a list of VMs that is sent in full for each call: with 100 VMs
// it would use up the control traffic allowed to a daemon.
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

// Guards against an unknown outcome of a write that cannot have been sent, since the
// connection was refused, and against calls that hang when the platform does not
// reply.
func TestRefusedWriteAndSilentPlatform(t *testing.T) {
	web := httptest.NewServer(nil)
	web.Close()
	client := platform.New(web.URL)
	_, err := client.CompareAndSwap(t.Context(), key, nil, 0)
	requireIs(t, err, platform.ErrUnavailable)
	require.False(t, errors.Is(err, platform.ErrUnknownOutcome))

	server := standin.New(clock.Clock{})
	require.NoError(t, server.SetFaults(standin.Faults{Delay: "1m"}))
	silent := httptest.NewServer(server.Handler())
	defer silent.Close()
	client = platform.New(silent.URL)
	client.SetTimeouts(20*time.Millisecond, 20*time.Millisecond)
	_, err = client.CompareAndSwap(t.Context(), key, nil, 0)
	requireIs(t, err, platform.ErrUnknownOutcome)
	_, err = client.Watch(t.Context(), key, 0)
	requireIs(t, err, platform.ErrUnavailable)
	client.Close()
}

// Guards against a daemon that stops following the list of VMs because another writer
// left an element in it that describes none.
func TestInvalidElementsOfListAreSkipped(t *testing.T) {
	good := `{"address":"10.0.0.1:80","role":"entry","dataCentre":"ikeja"}`
	for name, odd := range map[string]string{
		"number for a name":    `{"address":"10.0.0.2:80","dataCentre":1e400}`,
		"port out of range":    `{"address":"10.0.0.2:65536"}`,
		"port of peer":         `{"address":"10.0.0.2:80","peer":"10.0.0.2:0"}`,
		"no address":           `{"role":"upstream"}`,
		"host name":            `{"address":"vm.example:80"}`,
		"long name":            `{"address":"10.0.0.2:80","service":"` + strings.Repeat("s", 300) + `"}`,
		"deeply nested":        `{"address":` + strings.Repeat("[", 5000) + strings.Repeat("]", 5000) + `}`,
		"deeply nested unused": strings.Repeat("[", 9000) + strings.Repeat("]", 9000),
		"too deeply nested":    strings.Repeat("[", 100_000) + strings.Repeat("]", 100_000),
		"null":                 `null`,
		"number":               `99999999999999999999999`,
	} {
		t.Run(name, func(t *testing.T) {
			web := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = w.Write([]byte("[" + odd + "," + good + "]"))
			}))
			defer web.Close()
			client := platform.New(web.URL)
			list, err := client.VMs(t.Context())
			require.NoError(t, err)
			require.Len(t, list, 1)
			require.Equal(t, "10.0.0.1:80", list[0].Address())
			require.EqualValues(t, 1, client.InvalidVMs())
		})
	}
}

// Guards against a reply of the platform that is no valid HTTP and that is taken for data,
// or for a write that has taken effect.
func TestInvalidReplyIsUnavailable(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX: 1\r\nConnection: close\r\nContent-Length: "
	value, list := head+"14\r\n\r\n"+`{"revision":9}`, head+"2\r\n\r\n[]"
	for _, c := range []struct {
		name, valid string
		run         func(c *platform.Client) error
		err         error
	}{
		{"get", value, func(c *platform.Client) error { _, err := c.Get(t.Context(), key); return err }, platform.ErrUnavailable},
		{"watch", value, func(c *platform.Client) error { _, err := c.Watch(t.Context(), key, 1); return err }, platform.ErrUnavailable},
		{"list", list, func(c *platform.Client) error { _, err := c.VMs(t.Context()); return err }, platform.ErrUnavailable},
		{"swap", value, func(c *platform.Client) error {
			_, err := c.CompareAndSwap(t.Context(), key, nil, 0)
			return err
		}, platform.ErrUnknownOutcome},
	} {
		t.Run(c.name, func(t *testing.T) {
			require.NoError(t, c.run(platform.New("http://"+bodytest.Serve(t, c.valid))))
			for name, text := range bodytest.InvalidHeads(c.valid) {
				err := c.run(platform.New("http://" + bodytest.Serve(t, text)))
				require.True(t, errors.Is(err, c.err), "%s: %v", name, err)
			}
		})
	}
}
