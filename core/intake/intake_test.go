package intake

import (
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lovagegap/lovagegap/core/clock"
)

func smallPolicy() Policy {
	return Policy{Bytes: 1000, Connections: [classCount]int{3, 2, 2}, PerAddress: [classCount]int{2, 2, 2}}
}

func open(t *testing.T, a *Account, now clock.Millis, address string) *Conn {
	c, yielding, reason := a.Open(now, Callers, address, address)
	require.Empty(t, reason)
	require.Empty(t, yielding)
	return c
}

// Guards against new callers that are locked out by connections that send nothing, and
// against idle connections of well-behaved callers that are closed before those.
func TestNewConnectionDisplacesLongestStalled(t *testing.T) {
	a := NewAccount(smallPolicy())
	idle := open(t, a, 0, "a")
	a.SetPhase(2000, idle, Running)
	a.SetPhase(2000, idle, Idle)
	silent := open(t, a, 2000, "b")
	running := open(t, a, 0, "c")
	a.SetPhase(10, running, Running)
	_, yielding, reason := a.Open(3000, Callers, "d", nil)
	assert.Equal(t, []*Conn{silent}, yielding)
	assert.Empty(t, reason)
	assert.Equal(t, 3, a.Connections(Callers))
	a.Close(silent)
	assert.Equal(t, 3, a.Connections(Callers), "the displaced connection was counted already")
}

// Guards against memory that displaced connections still hold while new ones come faster than
// their owner closes them.
func TestNewConnectionsWaitForDisplacedOnes(t *testing.T) {
	policy := smallPolicy()
	policy.Connections[Callers], policy.PerAddress[Callers] = 4, 4
	a := NewAccount(policy)
	var displaced []*Conn
	for i := range 6 {
		_, yielding, reason := a.Open(clock.Millis(i), Callers, "a", nil)
		require.Empty(t, reason)
		displaced = append(displaced, yielding...)
	}
	require.Len(t, displaced, 2)
	assert.EqualValues(t, 6*ConnectionBytes, a.Held())
	_, yielding, reason := a.Open(9, Callers, "a", nil)
	assert.Empty(t, yielding)
	assert.Equal(t, NoConnection, reason)
	a.Close(displaced[0])
	_, yielding, reason = a.Open(9, Callers, "a", nil)
	assert.Len(t, yielding, 1)
	assert.Empty(t, reason)
}

// Guards against one address that takes all connections, and against a request that runs
// and is closed for a new connection.
func TestAddressDisplacesOnlyItsOwn(t *testing.T) {
	a := NewAccount(smallPolicy())
	other := open(t, a, 0, "other")
	first, second := open(t, a, 10, "a"), open(t, a, 20, "a")
	_, yielding, reason := a.Open(5000, Callers, "a", nil)
	assert.Equal(t, []*Conn{first}, yielding)
	assert.Empty(t, reason)
	a.Close(first)
	for _, c := range a.conns {
		a.SetPhase(5000, c, Running)
	}
	_, yielding, reason = a.Open(9000, Callers, "a", nil)
	assert.Empty(t, yielding)
	assert.Equal(t, AddressConnections, reason)
	_, _, reason = a.Open(9000, Callers, "b", nil)
	assert.Equal(t, NoConnection, reason)
	_, _, reason = a.Open(9000, Peers, "a", nil)
	assert.Empty(t, reason, "callers must not use up the connections of peers")
	assert.False(t, other.yielding || second.yielding)
}

// Guards against bodies beyond the memory, against one that makes progress and yields to
// another, and against a stalled one that keeps its bytes.
func TestStalledRequestYieldsItsBytes(t *testing.T) {
	a := NewAccount(smallPolicy())
	large, small, late := open(t, a, 0, "a"), open(t, a, 0, "b"), open(t, a, 0, "c")
	for _, c := range []*Conn{large, small, late} {
		a.SetPhase(0, c, ReadingBody)
	}
	granted, _ := a.Reserve(0, large, 600)
	require.True(t, granted)
	granted, _ = a.Reserve(0, small, 400)
	require.True(t, granted)
	a.Progress(200, large)
	a.Progress(200, small)
	granted, yielding := a.Reserve(200, late, 100)
	assert.False(t, granted, "all make progress")
	assert.Empty(t, yielding)
	a.Progress(500, large)
	granted, yielding = a.Reserve(500, late, 100)
	assert.True(t, granted)
	assert.Equal(t, []*Conn{small}, yielding, "the one without progress")
	granted, _ = a.Reserve(500, small, 1)
	assert.False(t, granted, "a yielding request gets no more")
	granted, _ = a.Reserve(500, late, 100)
	assert.False(t, granted, "the yielding request still holds its bytes")
	a.Close(small)
	granted, yielding = a.Reserve(500, late, 100)
	assert.True(t, granted)
	assert.Empty(t, yielding)
	granted, yielding = a.Reserve(2500, late, 700)
	assert.Equal(t, []*Conn{large}, yielding, "a request must not last for ever")
	assert.False(t, granted, "700 bytes would exceed the overlap while the yielding request still holds 600")
}

// Guards against answers that are not read and fill the memory: those unread for longest
// yield at once, without a grace.
func TestUnreadAnswersYield(t *testing.T) {
	a := NewAccount(smallPolicy())
	first, second, third := open(t, a, 0, "a"), open(t, a, 0, "b"), open(t, a, 0, "c")
	for i, c := range []*Conn{first, second, third} {
		now := clock.Millis(10 * i)
		a.SetPhase(now, c, Writing)
		yielding := a.ReserveHeld(now, c, 450)
		if c == third {
			assert.Equal(t, []*Conn{first}, yielding)
		} else {
			assert.Empty(t, yielding)
		}
	}
}

// Guards against an account that drifts from what its connections hold, exceeds the
// policy, or counts bytes of a closed connection.
func TestAccountStaysWithinPolicy(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 5))
	policy := Policy{Bytes: 10_000, Connections: [classCount]int{20, 5, 5}, PerAddress: [classCount]int{15, 5, 5}}
	a := NewAccount(policy)
	var live []*Conn
	now := clock.Millis(0)
	for range 20_000 {
		now += clock.Millis(random.IntN(30))
		switch i := random.IntN(10); {
		case i < 2:
			c, _, reason := a.Open(now, Callers, string(rune('a'+random.IntN(3))), nil)
			if reason == "" {
				live = append(live, c)
			}
		case len(live) == 0:
		case i < 6:
			a.Reserve(now, live[random.IntN(len(live))], int64(random.IntN(3000)))
		case i < 8:
			a.SetPhase(now, live[random.IntN(len(live))], Phase(random.IntN(int(Detached))))
		case i < 9:
			a.Release(live[random.IntN(len(live))], int64(random.IntN(3000)))
		default:
			i := random.IntN(len(live))
			a.Close(live[i])
			live = append(live[:i], live[i+1:]...)
		}
		sum, yielding := int64(0), int64(0)
		for _, c := range live {
			sum += c.held
			if c.yielding {
				yielding += c.held
			}
		}
		require.Equal(t, sum, a.held)
		require.Equal(t, yielding, a.yielding)
		require.LessOrEqual(t, float64(a.held), float64(policy.Bytes)*(1+overlapFraction))
		require.LessOrEqual(t, a.Connections(Callers), 20)
	}
}

// Guards against defaults that leave no room for a body, or that exceed the VM.
func TestPolicyFollowsResources(t *testing.T) {
	for _, r := range []Resources{
		{}, {Memory: 136e6, Descriptors: 2870}, {Memory: 136e6, Descriptors: 600}, {Memory: 417e6, Descriptors: 10762},
		{Memory: 536e6, Descriptors: 8192}, {Memory: 32e9, Descriptors: 20000}, {Memory: 1e6, Descriptors: 10},
	} {
		p := NewPolicy(r)
		connections := 0
		for class := range classCount {
			connections += p.Connections[class]
			assert.GreaterOrEqual(t, p.Connections[class], p.PerAddress[class])
		}
		assert.GreaterOrEqual(t, p.Bytes, int64(minBytes))
		if r.Memory >= 100e6 {
			assert.LessOrEqual(t, float64(p.Bytes+int64(connections)*ConnectionBytes), float64(r.Memory)*bytesFraction+1)
			assert.LessOrEqual(t, connections, int(float64(r.Descriptors)*0.67)+1)
			assert.GreaterOrEqual(t, p.Bytes, int64(16*262144), "16 of the largest bodies at once")
		}
	}
	p := NewPolicy(Resources{}).WithCallers(100, 7)
	assert.Equal(t, 100, p.Connections[Callers])
	assert.Equal(t, 7, p.PerAddress[Callers])
}

// Guards against a head whose end or size is measured differently when it arrives in
// pieces, and against limits that an allowed head meets.
func TestHead(t *testing.T) {
	limits := HeadLimits{Bytes: 60}
	for name, c := range map[string]struct {
		text     string
		reason   Reason
		complete bool
		lines    int
	}{
		"ordinary":          {"GET / HTTP/1.1\r\nHost: h\r\n\r\nbody\n\n", "", true, 2},
		"line feeds only":   {"GET / HTTP/1.1\nHost: h\n\nbody", "", true, 2},
		"blank lines first": {"\r\n\nGET / HTTP/1.1\r\n\r\n", "", true, 1},
		"too many blank":    {strings.Repeat("\r\n", DefaultBlankLines+1), BlankLines, false, 0},
		"incomplete":        {"GET / HTTP/1.1\r\nHost", "", false, 1},
		"too long":          {"GET / HTTP/1.1\r\nA: " + strings.Repeat("x", 60), HeadBytes, false, 1},
		"shortest lines":    {"G\n" + strings.Repeat("a:\n", 19), "", false, 20},
		"long body":         {"GET / HTTP/1.1\r\n\r\n" + strings.Repeat("x\n", 100), "", true, 1},
	} {
		t.Run(name, func(t *testing.T) {
			for step := 1; step <= len(c.text); step++ {
				var h Head
				var reason Reason
				for rest := c.text; rest != "" && reason == ""; rest = rest[min(step, len(rest)):] {
					reason = h.Add([]byte(rest[:min(step, len(rest))]), limits)
				}
				require.Equal(t, c.reason, reason, "step %d", step)
				require.Equal(t, c.complete, h.Complete())
				require.Equal(t, c.lines, h.lines)
			}
		})
	}
	var h Head
	assert.Equal(t, HeadLines, h.Add([]byte("GET / HTTP/1.1\nA: b\nC: d\n"), HeadLimits{Bytes: 100, Lines: 2}))
	h = Head{}
	h.Add([]byte("GET / HTTP/1.1\r\n\r\nbody"), HeadLimits{Bytes: 100})
	assert.Equal(t, 4, h.After())
	h = Head{}
	h.Add([]byte("GET / HTTP/1.1\r\n"+strings.Repeat("Some-Header: with a value of some length\r\n", 20)+"\r\n"), HeadLimits{Bytes: 4000})
	assert.Zero(t, h.Cost(), "an ordinary head needs no reservation")
}
