package routing

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/lovagegap/lovagegap/core/replica"
)

// Guards against a rejection of a replica that is merged as the part of its shard: it
// holds no records, with or without a seal.
func TestRejectedShardIsMissing(t *testing.T) {
	for name, sealed := range map[string]bool{"sealed": true, "not sealed": false} {
		t.Run(name, func(t *testing.T) {
			l := newLoggedEngine(t, replica.BudgetPolicy{})
			l.configure(shardedRoute(3, 0.5))
			l.startReplica("s0", "i-0", replyGood)
			l.startReplica("s1", "i-1", replyGood)
			l.startReplica("s2", "i-2", func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Id", r.Header.Get("Id"))
				if sealed {
					w.Header().Set("Seal", "proof")
				}
				w.WriteHeader(http.StatusNotFound)
			})
			found := l.serve(t.Context(), "r1")
			assert.Equal(t, http.StatusOK, found.Status())
			assert.Equal(t, 1, found.Missing())
			assert.Equal(t, []string{"proof", "proof"}, found.Seals())
		})
	}
}
