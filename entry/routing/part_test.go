package routing

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/lovagegap/lovagegap/core/replica"
)

// Guards against a part of an answer that is no success: a replica's rejection
// holds no records, with or without its proof.
func TestRejectionOfAShardIsNoPart(t *testing.T) {
	for name, sealed := range map[string]bool{"sealed": true, "not sealed": false} {
		t.Run(name, func(t *testing.T) {
			l := newLogged(t, replica.BudgetPolicy{})
			l.configure(many(3, 0.5))
			l.replica("s0", "i-0", good)
			l.replica("s1", "i-1", good)
			l.replica("s2", "i-2", func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Id", r.Header.Get("Id"))
				if sealed {
					w.Header().Set("Seal", "proof")
				}
				w.WriteHeader(http.StatusNotFound)
			})
			found := l.ask(t.Context(), "r1")
			assert.Equal(t, http.StatusOK, found.Status())
			assert.Equal(t, 1, found.Missing())
			assert.Equal(t, []string{"proof", "proof"}, found.Seals())
		})
	}
}
