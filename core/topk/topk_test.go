package topk

import (
	"bytes"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// Guards against records that are lost, repeated, truncated or out of order, with
// random parts that contain duplicates and remainders.
func TestGreatestMatchesSortedRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var m Merger
		var all [][]byte
		for range rapid.IntRange(0, 6).Draw(t, "parts") {
			part := rapid.SliceOfN(rapid.ByteRange(0, 2), 0, 100).Draw(t, "part")
			m.Add(part)
			for i := 0; i+RecordSize <= len(part); i += RecordSize {
				all = append(all, part[i:i+RecordSize])
			}
		}
		k := rapid.IntRange(0, 12).Draw(t, "k")
		slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
		want := bytes.Join(all[:min(k, len(all))], nil)
		if got := m.Greatest(k); !bytes.Equal(got, want) {
			t.Fatalf("got %x, want %x", got, want)
		}
	})
}

// Guards against a panic or an invalid answer without parts or with a negative k.
func TestGreatestWithoutParts(t *testing.T) {
	var m Merger
	assert.Empty(t, m.Greatest(5))
	assert.Empty(t, m.Greatest(-1))
}
