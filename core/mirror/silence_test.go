package mirror

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/lovagegap/lovagegap/core/clock"
)

// newMirrorOfReplicas returns a mirror with the first listing of ten replicas and a
// configuration, at revision 20.
func newMirrorOfReplicas() *Mirror {
	m := &Mirror{}
	m.SetSchema(testSchema{})
	items := []Item{valued("config", "v 1", revisionAt(1))}
	for i := range 10 {
		items = append(items, valued(fmt.Sprintf("e%d", i), "ready 1", revisionAt(uint64(i+2))))
	}
	m.Replace(1000, items, revisionAt(20))
	return m
}

// writeReplicas applies writes of the entries of replicas.
func writeReplicas(m *Mirror, now clock.Millis, first, count int) {
	var changes []Item
	revision := m.Revision().Number()
	for i := first; i < first+count; i++ {
		revision++
		changes = append(changes, valued(fmt.Sprintf("e%d", i), "ready 2", revisionAt(revision)))
	}
	m.Apply(now, changes, revisionAt(revision))
}

// Guards against a replica that has left and is used by a daemon that starts: its entry is left over
// from a copy that the store was restored from, until the store removes it.
func TestSilentReplicaIsUnusedAfterStart(t *testing.T) {
	m := newMirrorOfReplicas()
	writeReplicas(m, 2100, 0, 8)
	writeReplicas(m, 3300, 7, 2)
	assert.Empty(t, m.WithdrawSilent(1000+minSilence), "later writes are not known")
	writeReplicas(m, 4300, 0, 1)
	assert.Equal(t, []string{"-e9"}, changedKeys(m.WithdrawSilent(4300)), "the configuration stays")
	assert.Empty(t, m.WithdrawSilent(4300))
	items, _, _ := m.ChangesSince(Revision{})
	assert.Len(t, items, 11, "for a peer")
	assert.Empty(t, m.Replace(4400, append(items[:0:0], items...), m.Revision()), "listed again")
	_, used := m.Get("e9")
	assert.False(t, used)
	assert.Equal(t, []string{"e9"}, changedKeys(m.Apply(4500, []Item{valued("e9", "ready 2", revisionAt(40))}, revisionAt(40))), "it runs")
	assert.Empty(t, m.WithdrawSilent(5000))
}

// Guards against replicas that are left unused although they run: their writes are slow, the store
// does not take the writes of many of them, or the daemon gets no changes.
func TestReplicaIsUsedUnlessItAloneIsSilent(t *testing.T) {
	t.Run("slow writes", func(t *testing.T) {
		m := newMirrorOfReplicas()
		writeReplicas(m, 2800, 0, 1)
		writeReplicas(m, 4000, 1, 4)
		writeReplicas(m, 5000, 5, 4)
		writeReplicas(m, 6990, 0, 3)
		assert.Empty(t, m.WithdrawSilent(6990))
		writeReplicas(m, 7000, 0, 3)
		assert.Equal(t, []string{"-e9"}, changedKeys(m.WithdrawSilent(7000)), "the others took long, too")
	})
	t.Run("many silent", func(t *testing.T) {
		m := newMirrorOfReplicas()
		for now := clock.Millis(2100); now < clock.Minute; now += 1100 {
			writeReplicas(m, now, 0, 7)
			assert.Empty(t, m.WithdrawSilent(now))
		}
	})
	t.Run("late writes", func(t *testing.T) {
		m := newMirrorOfReplicas()
		writeReplicas(m, 2100, 0, 9)
		writeReplicas(m, 3200, 0, 9)
		writeReplicas(m, 4300, 9, 1)
		assert.Empty(t, m.WithdrawSilent(4300), "written between the last two replies")
	})
	t.Run("no changes", func(t *testing.T) {
		m := newMirrorOfReplicas()
		writeReplicas(m, 2100, 0, 9)
		assert.Empty(t, m.WithdrawSilent(10_000))
		writeReplicas(m, 10_000, 0, 4)
		assert.Empty(t, m.WithdrawSilent(10_000), "the store was away")
		writeReplicas(m, 11_000, 4, 5)
		assert.Empty(t, m.WithdrawSilent(11_000))
	})
	t.Run("store fails", func(t *testing.T) {
		m := newMirrorOfReplicas()
		writeReplicas(m, 2100, 0, 9)
		m.RecordStoreFailure(3000)
		writeReplicas(m, 4050, 0, 9)
		assert.Empty(t, m.WithdrawSilent(4050), "writes may be late")
		writeReplicas(m, 5100, 9, 1)
		assert.Empty(t, m.WithdrawSilent(3000+lapseGracePeriod))
	})
}

// Guards against a replica whose leaving was lost with the copy that the store was restored from, before
// any daemon learned of it.
func TestSilentReplicaIsUnusedAfterRestore(t *testing.T) {
	for name, listed := range map[string]string{"as known": "ready 5", "older": "ready 3"} {
		t.Run(name, func(t *testing.T) {
			var known, copied []Item
			for i := range 4 {
				key := fmt.Sprintf("e%d", i)
				known = append(known, valued(key, "ready 5", inEra(1, uint64(90+i))))
				copied = append(copied, valued(key, listed, inEra(2, uint64(80+i))))
			}
			r := newRestoredReader(known...)
			restoreAt(t, r, 60_000, 95, copied...)
			call := r.Begin(r.Next(61_200), 61_200, 61_200)
			r.HandleEvents(call, 61_200, []Item{valued("e0", "ready 6", inEra(2, 96)), valued("e1", "ready 6", inEra(2, 97)),
				valued("e2", "ready 6", inEra(2, 98))}, inEra(2, 98))
			call = r.Begin(r.Next(62_400), 62_400, 62_400)
			r.HandleEvents(call, 62_400, []Item{valued("e0", "ready 7", inEra(2, 99))}, inEra(2, 99))
			assert.Equal(t, []string{"-e3"}, changedKeys(r.mirror.WithdrawSilent(62_400)))
			assert.Empty(t, r.mirror.Expire(60_000+rewritePeriod), "the store lists it still")
		})
	}
}
