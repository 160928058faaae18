package engine

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/upstream"
)

// Guards against a daemon that keeps using its shares of the upstreams after a pause
// of the process, although the members or cold-start records may have changed.
func TestPauseWithdrawsShares(t *testing.T) {
	const replica = upstream.ID("10.0.0.1:80")
	cases := []struct {
		name  string
		pause clock.Millis // time between two calls of Tick
		want  error        // of Pick after the pause
	}{
		{"no pause", pauseThreshold, nil},
		{"pause", pauseThreshold + 1, upstream.ErrSaturated},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var manual clock.Manual
			manual.Advance(clock.Minute)
			s := New("association/review-desk", Dependencies{Clock: manual.Clock()}, 1)
			s.AddReplica(upstream.NewReplica(replica, "ikeja"))
			s.WithPool(func(now clock.Millis, p *upstream.Pool) {
				p.SetMembers(now, "a:1", []upstream.Member{upstream.NewMember("a:1", "", "ikeja", upstream.Alive)})
			})
			s.Tick()
			manual.Advance(c.pause)
			pick := func() (err error) {
				s.WithPool(func(now clock.Millis, p *upstream.Pool) {
					var choice upstream.Choice
					choice, err = p.Pick(now, upstream.NewPickRequest(0, 1, []string{string(replica)}))
					p.Done(now, choice, upstream.NewResult(upstream.OK, 1, "boot"))
				})
				return err
			}
			require.ErrorIs(t, pick(), c.want)
			s.Tick()
			for range 5 {
				manual.Advance(clock.Second)
				s.Tick()
			}
			require.NoError(t, pick())
		})
	}
}
