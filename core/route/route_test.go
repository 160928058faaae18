package route

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func validSpec(prefix string) Spec {
	return Spec{Name: prefix, Host: "a.example", Prefix: prefix, Timeout: 100, Objective: 10, MaxAttempts: 1,
		Splits: []Split{NewSplit("s", 1)}}
}

func mustRoute(t *testing.T, s Spec) *Route {
	t.Helper()
	r, err := NewRoute(s)
	require.NoError(t, err)
	return r
}

// Guards against a match of the wrong route. The longest prefix of whole path segments
// matches; a port in the host and the case of its letters are ignored.
func TestMatchPrefersLongestPrefix(t *testing.T) {
	table, err := NewTable(1, []*Route{
		mustRoute(t, validSpec("/a/")), mustRoute(t, validSpec("/a/b/")), mustRoute(t, validSpec("/")),
	}, []Service{NewService("s", 1, 0)}, Limits{})
	require.NoError(t, err)
	for path, want := range map[string]string{"/a/b/c": "/a/b/", "/a/bc": "/a/", "/ab": "/", "/a/b": "/a/", "/": "/"} {
		r, ok := table.Match("A.Example:80", path)
		require.True(t, ok, path)
		assert.Equal(t, want, r.Prefix(), path)
	}
	_, ok := table.Match("b.example", "/a/")
	assert.False(t, ok)
}

// Guards against accepting an invalid configuration.
func TestInvalidRoutesAreRejected(t *testing.T) {
	cases := map[string]func(*Spec){
		"no host":                       func(s *Spec) { s.Host = "" },
		"prefix without trailing slash": func(s *Spec) { s.Prefix = "/a" },
		"empty prefix":                  func(s *Spec) { s.Prefix = "" },
		"zero timeout":                  func(s *Spec) { s.Timeout = 0 },
		"negative objective":            func(s *Spec) { s.Objective = -1 },
		"zero attempts":                 func(s *Spec) { s.MaxAttempts = 0 },
		"neither splits nor shards":     func(s *Spec) { s.Splits = nil },
		"both splits and shards":        func(s *Spec) { s.Shards = []string{"s"} },
		"negative weight":               func(s *Spec) { s.Splits = []Split{NewSplit("s", -1)} },
		"weight is NaN":                 func(s *Spec) { s.Splits = []Split{NewSplit("s", math.NaN())} },
		"all weights zero":              func(s *Spec) { s.Splits = []Split{NewSplit("s", 0)} },
		"coverage above 1":              func(s *Spec) { s.MinCoverage = 1.1 },
		"coverage is NaN":               func(s *Spec) { s.MinCoverage = math.NaN() },
		"negative topK":                 func(s *Spec) { s.Splits, s.Shards, s.TopK = nil, []string{"s"}, -1 },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			s := validSpec("/a/")
			change(&s)
			_, err := NewRoute(s)
			assert.ErrorIs(t, err, ErrInvalid)
		})
	}
	_, err := NewTable(1, []*Route{mustRoute(t, validSpec("/a/"))}, nil, Limits{})
	assert.ErrorIs(t, err, ErrInvalid, "unknown service")
}

// Guards against rounding errors that raise or lower the minimum number of shards.
func TestMinShards(t *testing.T) {
	for _, c := range []struct {
		shards      int
		minCoverage float64
		want        int
	}{{10, 0.89, 9}, {10, 0.9, 9}, {15, 0.89, 14}, {36, 0.95, 35}, {3, 0, 1}, {7, 1, 7}} {
		s := validSpec("/a/")
		s.Splits, s.MinCoverage = nil, c.minCoverage
		s.Shards = make([]string, c.shards)
		assert.Equal(t, c.want, mustRoute(t, s).MinShards(), "%v", c)
	}
}

// Guards against a distribution over the splits that differs from their weights.
func TestChooseServiceFollowsWeights(t *testing.T) {
	s := validSpec("/a/")
	s.Splits = []Split{NewSplit("x", 1), NewSplit("y", 0), NewSplit("z", 3)}
	r := mustRoute(t, s)
	counts := make(map[string]int)
	for i := range 1000 {
		counts[r.ChooseService(float64(i)/1000)]++
	}
	assert.Equal(t, map[string]int{"x": 250, "z": 750}, counts)
}
