package relay_test

import (
	"context"
	"testing"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/query"
	"github.com/lovagegap/lovagegap/core/upstream"
	"github.com/lovagegap/lovagegap/entry/relay"
)

// noLinks has no peers.
type noLinks struct{}

func (noLinks) Dial(string)               {}
func (noLinks) Disconnect(string)         {}
func (noLinks) Linked(string) bool        { return false }
func (noLinks) Send(string, []byte) error { return nil }

// FuzzReceive guards against a crash of the daemon on a malformed message of an
// authenticated peer.
func FuzzReceive(f *testing.F) {
	for _, seed := range [][]byte{
		{}, {0xff}, {0xa2, 0x01, 0x01, 0x02, 0x01}, {0xa2, 0x01, 0x01, 0x02, 0x02}, {0xa2, 0x01, 0x01, 0x02, 0x03},
		{0xa3, 0x01, 0x01, 0x02, 0x01, 0x03, 0xa1, 0x06, 0xfb, 0x7f, 0xf0, 0, 0, 0, 0, 0, 0},
	} {
		f.Add(seed)
	}
	refuse := runnerFunc(func(context.Context, relay.SubRequest) query.AttemptResult {
		return query.NewAttemptFailure(upstream.NewResult(upstream.NoRelayShare, 0, ""))
	})
	f.Fuzz(func(_ *testing.T, message []byte) {
		r := relay.New(clock.Clock{}, refuse)
		r.Connect(noLinks{})
		_ = r.Receive("10.0.0.2:7200", message)
		r.LinkDown("10.0.0.2:7200")
	})
}
