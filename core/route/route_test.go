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

// Guards against a request that goes to another route than the operators mean:
// the longest prefix that begins the path, whole segments only, any case of the
// host, with or without a port.
func TestMatchPrefersLongestPrefix(t *testing.T) {
	table, err := NewTable(1, []*Route{mustRoute(t, validSpec("/a/")), mustRoute(t, validSpec("/a/b/")), mustRoute(t, validSpec("/"))},
		[]Service{NewService("s", 1, 0)}, Limits{})
	require.NoError(t, err)
	for path, want := range map[string]string{"/a/b/c": "/a/b/", "/a/bc": "/a/", "/ab": "/", "/a/b": "/a/", "/": "/"} {
		r, ok := table.Match("A.Example:80", path)
		require.True(t, ok, path)
		assert.Equal(t, want, r.Prefix(), path)
	}
	_, ok := table.Match("b.example", "/a/")
	assert.False(t, ok)
}

// Guards against a configuration that cannot be carried out and comes into
// force.
func TestInvalidRoutesAreRejected(t *testing.T) {
	cases := map[string]func(*Spec){
		"no host":          func(s *Spec) { s.Host = "" },
		"no slash at end":  func(s *Spec) { s.Prefix = "/a" },
		"no slash":         func(s *Spec) { s.Prefix = "" },
		"no timeout":       func(s *Spec) { s.Timeout = 0 },
		"no objective":     func(s *Spec) { s.Objective = -1 },
		"no attempts":      func(s *Spec) { s.MaxAttempts = 0 },
		"no service":       func(s *Spec) { s.Splits = nil },
		"two kinds":        func(s *Spec) { s.Shards = []string{"s"} },
		"negative weight":  func(s *Spec) { s.Splits = []Split{NewSplit("s", -1)} },
		"weight not a one": func(s *Spec) { s.Splits = []Split{NewSplit("s", math.NaN())} },
		"no weight":        func(s *Spec) { s.Splits = []Split{NewSplit("s", 0)} },
		"coverage above 1": func(s *Spec) { s.MinCoverage = 1.1 },
		"coverage no one":  func(s *Spec) { s.MinCoverage = math.NaN() },
		"negative records": func(s *Spec) { s.Splits, s.Shards, s.TopK = nil, []string{"s"}, -1 },
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

// Guards against a minimum that rounding makes stricter or looser.
func TestMinShards(t *testing.T) {
	for _, c := range []struct {
		shards int
		least  float64
		want   int
	}{{10, 0.89, 9}, {10, 0.9, 9}, {15, 0.89, 14}, {36, 0.95, 35}, {3, 0, 1}, {7, 1, 7}} {
		s := validSpec("/a/")
		s.Splits, s.MinCoverage = nil, c.least
		s.Shards = make([]string, c.shards)
		assert.Equal(t, c.want, mustRoute(t, s).MinShards(), "%v", c)
	}
}

// Guards against shares of a split that differ from the weights.
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
