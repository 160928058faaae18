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

func issue(t require.TestingT, o *ticket.Issuer, now clock.Millis) ticket.Ticket {
	issued, err := o.Issue(now)
	require.NoError(t, err)
	return issued
}

func TestVerdicts(t *testing.T) {
	issuer := func() *ticket.Issuer { return ticket.NewIssuer("a", 1, key) }
	run := func(o *ticket.Issuer, t ticket.Ticket) { o.Admit(0, t.Text()) }
	cases := []struct {
		name    string
		prepare func(*ticket.Issuer, ticket.Ticket)
		by      *ticket.Issuer // instead of the issuer that issued
		at      clock.Millis
		want    ticket.Status
	}{
		{name: "unused", want: ticket.StatusAdmitted},
		{name: "running", prepare: run, want: ticket.StatusRunning},
		{name: "completed", want: ticket.StatusCompleted, prepare: func(o *ticket.Issuer, t ticket.Ticket) {
			run(o, t)
			o.RecordOutcome(t, ticket.OutcomeCompleted)
		}},
		{name: "uncertain", want: ticket.StatusUnknown, prepare: func(o *ticket.Issuer, t ticket.Ticket) {
			run(o, t)
			o.RecordOutcome(t, ticket.OutcomeUncertain)
		}},
		{name: "abandoned", want: ticket.StatusAdmitted, prepare: func(o *ticket.Issuer, t ticket.Ticket) {
			run(o, t)
			o.Release(t)
		}},
		{name: "abandoned after it was settled", want: ticket.StatusCompleted, prepare: func(o *ticket.Issuer, t ticket.Ticket) {
			run(o, t)
			o.RecordOutcome(t, ticket.OutcomeCompleted)
			o.Release(t)
		}},
		{name: "settled once", want: ticket.StatusUnknown, prepare: func(o *ticket.Issuer, t ticket.Ticket) {
			run(o, t)
			o.RecordOutcome(t, ticket.OutcomeUncertain)
			o.RecordOutcome(t, ticket.OutcomeCompleted)
		}},
		{name: "settled before it ran", want: ticket.StatusAdmitted, prepare: func(o *ticket.Issuer, t ticket.Ticket) {
			o.RecordOutcome(t, ticket.OutcomeCompleted)
		}},
		{name: "just before its end", at: ticket.Lifetime - 1, want: ticket.StatusAdmitted},
		{name: "expired", at: ticket.Lifetime, want: ticket.StatusExpired},
		{name: "expired while it ran", prepare: run, at: ticket.Lifetime, want: ticket.StatusExpired},
		{name: "clock that goes back", at: 1, want: ticket.StatusExpired, prepare: func(o *ticket.Issuer, t ticket.Ticket) {
			o.Admit(ticket.Lifetime, t.Text())
		}},
		{name: "other daemon", by: ticket.NewIssuer("b", 1, key), want: ticket.StatusNotOwner},
		{name: "later incarnation", by: ticket.NewIssuer("a", 2, key), want: ticket.StatusUnknown},
		{name: "later incarnation after the end", by: ticket.NewIssuer("a", 2, key), at: ticket.Lifetime, want: ticket.StatusUnknown},
		{name: "same incarnation, never issued", by: issuer(), want: ticket.StatusUnknown},
		{name: "other key", by: ticket.NewIssuer("a", 1, []byte("other")), want: ticket.StatusMalformed},
		{name: "no key", by: new(ticket.Issuer), want: ticket.StatusMalformed},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			o := issuer()
			issued := issue(t, o, 0)
			if tc.prepare != nil {
				tc.prepare(o, issued)
			}
			if tc.by != nil {
				o = tc.by
			}
			verdict := o.Admit(tc.at, issued.Text())
			require.Equal(t, tc.want.String(), verdict.Status().String())
			if tc.want != ticket.StatusMalformed {
				require.Equal(t, issued, verdict.Ticket())
				require.Equal(t, "a", verdict.Owner())
			}
		})
	}
}

// Guards against forged tickets: no change of any character is accepted.
func TestForgedTexts(t *testing.T) {
	o := ticket.NewIssuer("10.0.0.1:7000", 1, key)
	text := issue(t, o, 0).Text()
	for i := range text {
		other := "A"
		if text[i] == 'A' {
			other = "B"
		}
		forged := text[:i] + other + text[i+1:]
		require.Equal(t, ticket.StatusMalformed, o.Admit(0, forged).Status(), "character %d", i)
	}
	for _, forged := range []string{"", text[1:], text[:len(text)-4], text + "AAAA", text + "\n", "=", strings.Repeat("A", 1<<16)} {
		require.Equal(t, ticket.StatusMalformed, o.Admit(0, forged).Status())
	}
	require.Equal(t, ticket.StatusAdmitted, o.Admit(0, text).Status())
}

// Guards against a bounded memory that forgets a use: it refuses new tickets
// instead, and takes them again once old ones have expired.
func TestCapacity(t *testing.T) {
	o := ticket.NewIssuer("a", 1, key)
	o.SetCapacity(3)
	first := issue(t, o, 0)
	require.Equal(t, ticket.StatusAdmitted, o.Admit(0, first.Text()).Status())
	issue(t, o, 10)
	issue(t, o, 20)
	_, err := o.Issue(30)
	require.True(t, errors.Is(err, ticket.ErrFull))
	require.Equal(t, ticket.StatusRunning, o.Admit(30, first.Text()).Status())
	issue(t, o, ticket.Lifetime)
	require.Equal(t, ticket.StatusExpired, o.Admit(ticket.Lifetime, first.Text()).Status())
	_, err = new(ticket.Issuer).Issue(0)
	require.True(t, errors.Is(err, ticket.ErrNoKey))
}

// Guards against uses that are lost when the memory grows while its oldest
// records have expired already.
func TestGrowth(t *testing.T) {
	o := ticket.NewIssuer("a", 1, key)
	var issued []ticket.Ticket
	now := clock.Millis(0)
	for i := range 300 {
		if i == 40 {
			now = ticket.Lifetime
		}
		issued = append(issued, issue(t, o, now))
		if i%3 == 0 {
			require.Equal(t, ticket.StatusAdmitted, o.Admit(now, issued[i].Text()).Status())
		}
	}
	for i, u := range issued[40:] {
		want := ticket.StatusRunning
		if (i+40)%3 != 0 {
			want = ticket.StatusAdmitted
		}
		require.Equal(t, want, o.Admit(now, u.Text()).Status(), "ticket %d", i)
	}
}

// Guards I7 in any order of events: a ticket gets Run at most once, unless it
// was abandoned, and never after its end or from another issuer.
func TestRunsAtMostOnce(t *testing.T) {
	for name, value := range map[string]string{"checks": "1000", "seed": "1", "nofailfile": "true"} {
		require.NoError(t, flag.Set("rapid."+name, value))
	}
	runs, refused := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		issuers := []*ticket.Issuer{
			ticket.NewIssuer("a", 1, key), ticket.NewIssuer("a", 2, key), ticket.NewIssuer("b", 1, key),
		}
		for _, o := range issuers {
			o.SetCapacity(rapid.IntRange(1, 100).Draw(t, "capacity"))
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
				require.False(t, u.running || u.ran, "ran twice")
				require.Equal(t, u.owner, at)
				require.Less(t, now, u.ticket.Expires())
				u.running = true
			}
		}
	})
	require.Greater(t, runs, 1000, "the draws must reach both verdicts")
	require.Greater(t, refused, 1000)
}
