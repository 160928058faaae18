package ticket_test

import (
	"errors"
	"flag"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/ticket"
)

var key = []byte("key shared by all daemons")

func issue(t require.TestingT, issuer *ticket.Issuer, now clock.Millis) ticket.Ticket {
	issued, err := issuer.Issue(now)
	require.NoError(t, err)
	return issued
}

// Guards against a request that runs a second time, and against one that is refused
// although its ticket is unused: each case leads a ticket to a state and checks the
// status that the next request gets.
func TestAdmitReturnsStatusOfTicket(t *testing.T) {
	newIssuer := func() *ticket.Issuer { return ticket.NewIssuer("a", 1, key) }
	run := func(issuer *ticket.Issuer, t ticket.Ticket) { issuer.Admit(0, t.Text()) }
	cases := []struct {
		name    string
		prepare func(*ticket.Issuer, ticket.Ticket)
		admitBy *ticket.Issuer // nil: the issuer of the ticket
		at      clock.Millis
		want    ticket.Status
	}{
		{name: "unused", want: ticket.StatusAdmitted},
		{name: "running", prepare: run, want: ticket.StatusRunning},
		{name: "completed", want: ticket.StatusCompleted, prepare: func(issuer *ticket.Issuer, t ticket.Ticket) {
			run(issuer, t)
			issuer.RecordOutcome(t, ticket.OutcomeCompleted)
		}},
		{name: "uncertain", want: ticket.StatusUnknown, prepare: func(issuer *ticket.Issuer, t ticket.Ticket) {
			run(issuer, t)
			issuer.RecordOutcome(t, ticket.OutcomeUncertain)
		}},
		{name: "released", want: ticket.StatusAdmitted, prepare: func(issuer *ticket.Issuer, t ticket.Ticket) {
			run(issuer, t)
			issuer.Release(t)
		}},
		{name: "released after its outcome was recorded", want: ticket.StatusCompleted, prepare: func(issuer *ticket.Issuer, t ticket.Ticket) {
			run(issuer, t)
			issuer.RecordOutcome(t, ticket.OutcomeCompleted)
			issuer.Release(t)
		}},
		{name: "first outcome counts", want: ticket.StatusUnknown, prepare: func(issuer *ticket.Issuer, t ticket.Ticket) {
			run(issuer, t)
			issuer.RecordOutcome(t, ticket.OutcomeUncertain)
			issuer.RecordOutcome(t, ticket.OutcomeCompleted)
		}},
		{name: "outcome recorded before it ran", want: ticket.StatusAdmitted, prepare: func(issuer *ticket.Issuer, t ticket.Ticket) {
			issuer.RecordOutcome(t, ticket.OutcomeCompleted)
		}},
		{name: "just before its expiry", at: ticket.Lifetime - 1, want: ticket.StatusAdmitted},
		{name: "expired", at: ticket.Lifetime, want: ticket.StatusExpired},
		{name: "expired while it ran", prepare: run, at: ticket.Lifetime, want: ticket.StatusExpired},
		{name: "clock that goes back", at: 1, want: ticket.StatusExpired, prepare: func(issuer *ticket.Issuer, t ticket.Ticket) {
			issuer.Admit(ticket.Lifetime, t.Text())
		}},
		{name: "other daemon", admitBy: ticket.NewIssuer("b", 1, key), want: ticket.StatusNotOwner},
		{name: "later incarnation", admitBy: ticket.NewIssuer("a", 2, key), want: ticket.StatusUnknown},
		{name: "later incarnation after the expiry", admitBy: ticket.NewIssuer("a", 2, key), at: ticket.Lifetime, want: ticket.StatusUnknown},
		{name: "same incarnation, never issued", admitBy: newIssuer(), want: ticket.StatusUnknown},
		{name: "other key", admitBy: ticket.NewIssuer("a", 1, []byte("other")), want: ticket.StatusMalformed},
		{name: "no key", admitBy: new(ticket.Issuer), want: ticket.StatusMalformed},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			issuer := newIssuer()
			issued := issue(t, issuer, 0)
			if tc.prepare != nil {
				tc.prepare(issuer, issued)
			}
			if tc.admitBy != nil {
				issuer = tc.admitBy
			}
			decision := issuer.Admit(tc.at, issued.Text())
			require.Equal(t, tc.want.String(), decision.Status().String())
			if tc.want != ticket.StatusMalformed {
				require.Equal(t, issued, decision.Ticket())
				require.Equal(t, "a", decision.Owner())
			}
		})
	}
}

// Guards against forged tickets: no text that differs in a character or in length is
// accepted.
func TestAdmitRejectsForgedTickets(t *testing.T) {
	issuer := ticket.NewIssuer("10.0.0.1:7000", 1, key)
	text := issue(t, issuer, 0).Text()
	for i := range text {
		other := "A"
		if text[i] == 'A' {
			other = "B"
		}
		forged := text[:i] + other + text[i+1:]
		require.Equal(t, ticket.StatusMalformed, issuer.Admit(0, forged).Status(), "character %d", i)
	}
	for _, forged := range []string{"", text[1:], text[:len(text)-4], text + "AAAA", text + "\n", "=", strings.Repeat("A", 1<<16)} {
		require.Equal(t, ticket.StatusMalformed, issuer.Admit(0, forged).Status())
	}
	require.Equal(t, ticket.StatusAdmitted, issuer.Admit(0, text).Status())
}

// Guards against a ticket that can be used again because its record was evicted: at
// the capacity the issuer refuses new tickets until old ones have expired.
func TestIssueFailsAtCapacity(t *testing.T) {
	issuer := ticket.NewIssuer("a", 1, key)
	issuer.SetCapacity(3)
	first := issue(t, issuer, 0)
	require.Equal(t, ticket.StatusAdmitted, issuer.Admit(0, first.Text()).Status())
	issue(t, issuer, 10)
	issue(t, issuer, 20)
	_, err := issuer.Issue(30)
	require.True(t, errors.Is(err, ticket.ErrFull))
	require.Equal(t, ticket.StatusRunning, issuer.Admit(30, first.Text()).Status())
	issue(t, issuer, ticket.Lifetime)
	require.Equal(t, ticket.StatusExpired, issuer.Admit(ticket.Lifetime, first.Text()).Status())
	_, err = new(ticket.Issuer).Issue(0)
	require.True(t, errors.Is(err, ticket.ErrNoKey))
}

// Guards against records that are lost or mixed up when the ring buffer grows while
// its oldest records have expired.
func TestRecordsSurviveGrowth(t *testing.T) {
	issuer := ticket.NewIssuer("a", 1, key)
	var issued []ticket.Ticket
	now := clock.Millis(0)
	for i := range 300 {
		if i == 40 {
			now = ticket.Lifetime
		}
		issued = append(issued, issue(t, issuer, now))
		if i%3 == 0 {
			require.Equal(t, ticket.StatusAdmitted, issuer.Admit(now, issued[i].Text()).Status())
		}
	}
	for i, u := range issued[40:] {
		want := ticket.StatusRunning
		if (i+40)%3 != 0 {
			want = ticket.StatusAdmitted
		}
		require.Equal(t, want, issuer.Admit(now, u.Text()).Status(), "ticket %d", i)
	}
}

// Guards the invariant I7 over random sequences of events: a ticket is admitted at
// most once, unless it was released, and neither after its expiry nor by another
// issuer.
func TestTicketIsAdmittedAtMostOnce(t *testing.T) {
	for name, value := range map[string]string{"checks": "1000", "seed": "1", "nofailfile": "true"} {
		require.NoError(t, flag.Set("rapid."+name, value))
	}
	runs, refused := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		issuers := []*ticket.Issuer{
			ticket.NewIssuer("a", 1, key), ticket.NewIssuer("a", 2, key), ticket.NewIssuer("b", 1, key),
		}
		for _, issuer := range issuers {
			issuer.SetCapacity(rapid.IntRange(1, 100).Draw(t, "capacity"))
		}
		type use struct {
			ticket  ticket.Ticket
			owner   int
			running bool
			ran     bool
		}
		var uses []*use
		now := clock.Millis(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += clock.Millis(rapid.IntRange(0, 5000).Draw(t, "pass"))
			at := rapid.IntRange(0, len(issuers)-1).Draw(t, "issuer")
			if len(uses) == 0 || rapid.IntRange(0, 3).Draw(t, "issue") == 0 {
				if issued, err := issuers[at].Issue(now); err == nil {
					uses = append(uses, &use{ticket: issued, owner: at})
				}
				continue
			}
			u := uses[rapid.IntRange(0, len(uses)-1).Draw(t, "ticket")]
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				issuers[at].RecordOutcome(u.ticket, ticket.OutcomeCompleted)
				u.ran = u.ran || (u.running && at == u.owner)
			case 1:
				issuers[at].Release(u.ticket)
				u.running = u.running && (at != u.owner || u.ran)
			default:
				if issuers[at].Admit(now, u.ticket.Text()).Status() != ticket.StatusAdmitted {
					refused++
					continue
				}
				runs++
				require.False(t, u.running || u.ran, "admitted twice")
				require.Equal(t, u.owner, at)
				require.Less(t, now, u.ticket.Expires())
				u.running = true
			}
		}
	})
	require.Greater(t, runs, 1000, "the drawn sequences must reach both decisions")
	require.Greater(t, refused, 1000)
}
