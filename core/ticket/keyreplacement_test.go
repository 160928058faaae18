package ticket_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lovagegap/lovagegap/core/ticket"
)

// Guards against valid tickets that are rejected as malformed while a key is replaced
// on one daemon after the other.
func TestTicketsStayValidDuringKeyReplacement(t *testing.T) {
	older, newer := []byte("older key"), []byte("newer key")
	issuer := ticket.NewIssuer("a", 1, older)
	issued, err := issuer.Issue(0)
	require.NoError(t, err)
	cases := []struct {
		name string
		keys [][]byte
		want ticket.Status
	}{
		{"older key only", [][]byte{older}, ticket.StatusNotOwner},
		{"newer key first", [][]byte{newer, older}, ticket.StatusNotOwner},
		{"newer key only", [][]byte{newer}, ticket.StatusMalformed},
		{"no key", nil, ticket.StatusMalformed},
		{"empty key", [][]byte{{}}, ticket.StatusMalformed},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			other := ticket.NewIssuer("b", 1, tc.keys...)
			require.Equal(t, tc.want, other.Admit(1, issued.Text()).Status())
		})
	}
}
