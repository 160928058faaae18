package replica

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lovagegap/lovagegap/core/clock"
)

// newVersionPool returns a pool with three replicas each of the versions v1 and v2.
func newVersionPool() *Pool {
	s := NewSet("a", rand.New(rand.NewPCG(1, 2)), BudgetPolicy{Window: clock.Second})
	for i := range 6 {
		s.Upsert(0, NewEntry(Spec{
			ID: fmt.Sprint("i-", i), Service: "ledger", Address: fmt.Sprintf("10.0.0.%d:80", i+1), DataCentre: "a",
			Slots: 4, Version: fmt.Sprint("v", 1+i/3),
		}))
	}
	return s.Pool("ledger")
}

// Guards against a request that runs on a version that the rule in force does not allow,
// and against a request that is refused although the rule has a fallback for it.
func TestPickObeysVersionRule(t *testing.T) {
	for name, c := range map[string]struct {
		rule   VersionRule
		choice VersionChoice
		tried  string // version whose replicas have been tried
		want   string // version, or "" for any
		none   bool
	}{
		"no rule":                          {},
		"old":                              {rule: VersionRule{Mode: OldVersions, Target: "v2"}, choice: TargetChoice, want: "v1"},
		"old, none left":                   {rule: VersionRule{Mode: OldVersions, Target: "v2"}, tried: "v1", none: true},
		"target":                           {rule: VersionRule{Mode: TargetOnly, Target: "v2"}, want: "v2"},
		"target, none left":                {rule: VersionRule{Mode: TargetOnly, Target: "v2"}, tried: "v2", none: true},
		"target, directive expired":        {rule: VersionRule{Mode: TargetOnly, Target: "v2", Until: 50}, want: "v1"},
		"split, target drawn":              {rule: VersionRule{Mode: SplitVersions, Target: "v2", Share: 0.5}, choice: TargetChoice, want: "v2"},
		"split, old drawn":                 {rule: VersionRule{Mode: SplitVersions, Target: "v2", Share: 0.5}, want: "v1"},
		"split, target tried":              {rule: VersionRule{Mode: SplitVersions, Target: "v2", Share: 0.5}, choice: TargetChoice, tried: "v2", want: "v1"},
		"split, old tried":                 {rule: VersionRule{Mode: SplitVersions, Target: "v2", Share: 0.5}, tried: "v1", none: true},
		"split, directive expired":         {rule: VersionRule{Mode: SplitVersions, Target: "v2", Share: 1, Until: 50}, choice: TargetChoice, want: "v1"},
		"full share":                       {rule: VersionRule{Mode: SplitVersions, Target: "v2", Share: 1}, want: "v2"},
		"full share, target tried":         {rule: VersionRule{Mode: SplitVersions, Target: "v2", Share: 1}, tried: "v2", want: "v1"},
		"bound reached":                    {rule: VersionRule{Mode: SplitVersions, Target: "v2", Share: 1, Bounded: true}, choice: TargetChoice, want: "v1"},
		"bound reached at a partial share": {rule: VersionRule{Mode: SplitVersions, Target: "v2", Share: 0.9, Bounded: true}, choice: TargetChoice, want: "v1"},
		"target alone":                     {rule: VersionRule{Mode: OldVersions, Target: "v2", Excluded: []string{"v1"}, TargetIfAlone: true}, want: "v2"},
		"target not alone":                 {rule: VersionRule{Mode: OldVersions, Target: "v2", TargetIfAlone: true}, want: "v1"},
		"old version was rolled back":      {rule: VersionRule{Mode: OldVersions, Target: "v3", Excluded: []string{"v2"}}, want: "v1"},
	} {
		t.Run(name, func(t *testing.T) {
			p := newVersionPool()
			p.SetVersionRule(c.rule)
			var tried []*Replica
			for _, r := range p.replicas {
				if r.entry.Version() == c.tried {
					tried = append(tried, r)
				}
			}
			for range 20 {
				r, err := p.Pick(100, NewCriteria(10, tried).OfVersion(c.choice))
				if c.none {
					assert.ErrorIs(t, err, ErrNoneUsable)
					continue
				}
				require.NoError(t, err)
				if c.want != "" {
					assert.Equal(t, c.want, r.entry.Version())
				}
			}
		})
	}
}

// Guards against an exposure above the bound of this daemon, whatever share the decider
// states.
func TestExposureIsBounded(t *testing.T) {
	p := newVersionPool()
	p.SetVersionRule(VersionRule{Mode: SplitVersions, Target: "v2", Share: 0.9, Bounded: true, ExposureShare: 0.1, ExposureSlack: 2})
	for i := range 500 {
		now := clock.Millis(100 + 10*i)
		r, err := p.Pick(now, NewCriteria(10, nil).OfVersion(p.DrawVersion(now)))
		require.NoError(t, err)
		r.Begin(now, 5)
		p.RecordDraw()
		r.End(now+5, now, OK, 10)
		draws, exposed, _ := p.VersionTraffic()
		assert.LessOrEqual(t, float64(exposed), 0.1*float64(draws)+2)
	}
	_, exposed, _ := p.VersionTraffic()
	assert.Greater(t, exposed, uint64(40), "the bound must be used")
}

// Guards against a release that completes while a request is in flight at an old replica
// that is no longer listed.
func TestOldInFlightIncludesUnlistedReplicas(t *testing.T) {
	p := newVersionPool()
	p.SetVersionRule(VersionRule{Mode: OldVersions, Target: "v2"})
	r, err := p.Pick(10, NewCriteria(10, nil))
	require.NoError(t, err)
	r.Begin(10, 5)
	p.set.Remove(r.entry.ID())
	_, _, inFlight := p.VersionTraffic()
	assert.Equal(t, 1, inFlight)
	r.End(20, 10, OK, 10)
	_, _, inFlight = p.VersionTraffic()
	assert.Zero(t, inFlight)
}

// BenchmarkPickWithoutRelease measures the cost of a pick for a service without a
// release.
func BenchmarkPickWithoutRelease(b *testing.B) {
	p := newVersionPool()
	criteria := NewCriteria(10, nil)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := p.Pick(100, criteria); err != nil {
			b.Fatal(err)
		}
	}
}
