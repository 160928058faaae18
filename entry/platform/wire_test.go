package platform

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against a list whose elements are split at commas or brackets inside of them.
func TestSplitArray(t *testing.T) {
	for text, want := range map[string][]string{
		`[]`: nil, ` [ ] `: nil, `[1]`: {`1`}, `[1, {"a":[2,3]},"x,]\\\",y"]`: {`1`, ` {"a":[2,3]}`, `"x,]\\\",y"`},
	} {
		elements, ok := splitArray([]byte(text))
		assert.True(t, ok, text)
		var got []string
		for _, element := range elements {
			got = append(got, string(element))
		}
		assert.Equal(t, want, got, text)
	}
	for _, text := range []string{``, `[`, `{}`, `[1]]`, `[[1]`, `["1]`, `null`} {
		_, ok := splitArray([]byte(text))
		assert.False(t, ok, text)
	}
}

// FuzzVMList guards against a list of VMs that ends the daemon or loses valid elements.
func FuzzVMList(f *testing.F) {
	for _, seed := range []string{
		`[{"address":"10.0.0.1:80","role":"entry"},{"address":"10.0.0.2:99999"}]`, `[[[[[]]]],null,1e400,"\u0000"]`, `[,]`, `{}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		var all []json.RawMessage
		if json.Unmarshal(text, &all) != nil || all == nil {
			var list vmList
			_ = list.decode(text)
			return
		}
		var list vmList
		if err := list.decode(text); err != nil || len(list.vms)+list.skipped != len(all) {
			t.Fatalf("%v: %d of %d elements", err, len(list.vms)+list.skipped, len(all))
		}
	})
}
