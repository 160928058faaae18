package gateway

import (
	"testing"

	"github.com/lovagegap/lovagegap/entry/codec"
)

// FuzzGatherReply guards against a reply of a peer that crashes the daemon, or that
// is accepted although it lists shards that were not requested.
func FuzzGatherReply(f *testing.F) {
	for _, reply := range []gatherReply{{}, {Shards: []int{0, 2}, Seals: []string{"x"}, More: true}, {Shards: []int{-1}}, {NotRun: true}} {
		text, err := codec.Encode(reply)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	services := []string{"s0", "s1", "s2"}
	f.Fuzz(func(t *testing.T, text []byte) {
		var reply gatherReply
		if codec.Decode(text, &reply) != nil {
			return
		}
		if part, ok := reply.toRouting(services, make(map[int]bool)); ok && len(part.Covered) != len(reply.Shards) {
			t.Fatal("accepted part does not hold the shards of the reply")
		}
	})
}
