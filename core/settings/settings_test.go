package settings_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lovagegap/lovagegap/core/clock"
	"github.com/lovagegap/lovagegap/core/settings"
)

const example = `{
  "settings": {"deadline": "1s"},
  "dataCentres": {"ikeja": {"out": false}, "lekki": {"out": true}},
  "users": {
    "association": {
      "settings": {"policy": "tail-first", "hedge": {"ratio": 0.030}},
      "services": {
        "review-desk": {
          "settings": {"upstreams": {"slots": 6, "connections": 45}},
          "classes": {"officer": {"settings": {"priority": 70}}, "clerk": {}},
          "tenants": {"state-board": {"weight": 2}, "school": {}}
        }
      }
    }
  }
}`

const desk = "users.association.services.review-desk"

func parse(t *testing.T, text string) *settings.Tree {
	t.Helper()
	tree, err := settings.Parse([]byte(text))
	require.NoError(t, err)
	return tree
}

// Guards against a value that is inherited from the wrong level, or whose
// origin names another level than the one that set it.
func TestEffective(t *testing.T) {
	tree := parse(t, example)
	e, ok := tree.Effective("association", "review-desk", "officer")
	require.True(t, ok)
	require.Equal(t, clock.Second, e.Deadline())
	require.Equal(t, settings.PolicyTailFirst, e.Policy())
	require.Equal(t, 6, e.UpstreamsSlots())
	require.Equal(t, 70, e.Priority())
	require.Equal(t, 0.03, e.HedgeRatio())
	for key, origin := range map[string]string{
		"deadline": "fleet", "hedge.ratio": "users.association", "upstreams.slots": desk,
		"priority": desk + ".classes.officer", "retry.ratio": "default", "unknown": "",
	} {
		require.Equal(t, origin, e.Origin(key), key)
	}
	unnamed, ok := tree.Effective("association", "review-desk", "porter")
	require.False(t, ok)
	require.Equal(t, 50, unnamed.Priority())
	require.Equal(t, 6, unnamed.UpstreamsSlots(), "an unnamed class has the values of its service")
	at, err := tree.EffectiveAt(desk)
	require.NoError(t, err)
	require.Equal(t, desk, at.Origin("upstreams.slots"))
	for _, path := range []string{"users", "users.nobody", desk + ".class.a", "dataCentres.ikeja", desk + ".tenants.school", "users.a b"} {
		_, err := tree.EffectiveAt(path)
		require.ErrorIs(t, err, settings.ErrNoSuchPath, path)
	}
}

// Guards against lists and weights that miss an entry, and against a zero
// tree without values.
func TestTreeContent(t *testing.T) {
	tree := parse(t, example)
	require.Equal(t, []string{"association"}, tree.Users())
	require.Equal(t, []string{"review-desk"}, tree.Services("association"))
	require.Equal(t, []string{"clerk", "officer"}, tree.Classes("association", "review-desk"))
	require.Equal(t, []string{"lekki"}, tree.DataCentresOut())
	require.True(t, tree.IsDataCentreOut("lekki"))
	require.False(t, tree.IsDataCentreOut("ikeja"))
	for tenant, weight := range map[string]float64{"state-board": 2, "school": 1, "other": 1} {
		require.Equal(t, weight, tree.TenantWeight("association", "review-desk", tenant), tenant)
	}
	var zero settings.Tree
	e, ok := zero.Effective()
	require.True(t, ok)
	fleet, _ := parse(t, "{}").Effective()
	require.Equal(t, fleet.Values(), e.Values())
}

// Guards against a default that the table itself refuses and against a typed
// accessor that reads another key.
func TestDefaults(t *testing.T) {
	e, _ := parse(t, "{}").Effective()
	got := map[string]any{
		"deadline": e.Deadline(), "minCoverage": e.MinCoverage(), "wantedCoverage": e.WantedCoverage(),
		"policy": e.Policy(), "goodAnswer": e.GoodAnswer().Source(), "priority": e.Priority(),
		"hedge.enabled": e.HedgeEnabled(), "hedge.quantile": e.HedgeQuantile(), "hedge.ratio": e.HedgeRatio(), "hedge.burst": e.HedgeBurst(),
		"retry.attempts": e.RetryAttempts(), "retry.ratio": e.RetryRatio(), "retry.burst": e.RetryBurst(),
		"coldStart.enabled": e.ColdStartEnabled(), "coldStart.initial": e.ColdStartInitial(), "coldStart.latencyJump": e.ColdStartLatencyJump(),
		"ejection.failures": e.EjectionFailures(), "ejection.base": e.EjectionBase(), "ejection.max": e.EjectionMax(),
		"admission.concurrency": e.AdmissionConcurrency(), "admission.queue": e.AdmissionQueue(),
		"upstreams.slots": e.UpstreamsSlots(), "upstreams.connections": e.UpstreamsConnections(),
		"connections.idle": e.ConnectionsIdle(), "connections.dial": e.ConnectionsDial(), "canary.enabled": e.CanaryEnabled(),
		"addresses.count": e.AddressesCount(), "addresses.lifetime": e.AddressesLifetime(),
	}
	require.Len(t, e.Values(), len(got))
	for _, v := range e.Values() {
		key, ok := settings.Lookup(settings.LevelFleet, v.Key())
		require.True(t, ok)
		want := strings.Trim(string(key.Default()), `"`)
		if key.Kind() == settings.KindDuration {
			d, err := clock.Parse(want)
			require.NoError(t, err)
			require.Equal(t, d, got[v.Key()], v.Key())
			continue
		}
		require.Equal(t, want, fmt.Sprint(got[v.Key()]), v.Key())
	}
}

func deskWith(inner string) string {
	return `{"users":{"association":{"services":{"review-desk":` + inner + `}}}}`
}

// Guards against a mistake that is accepted, or reported without its path or
// without what is allowed.
func TestMistakes(t *testing.T) {
	s := desk + ".settings."
	for _, c := range []struct{ text, path, problem, allowed string }{
		{`[]`, "", "an array, not an object", "settings, dataCentres, users"},
		{`{"user":{}}`, "user", `did you mean "users"?`, "users"},
		{`{"users":{"a":{},"a":{}}}`, "users.a", "more than once", "one value"},
		{`{"users":{"a.b":{}}}`, `users."a.b"`, "not a valid name", "hyphens"},
		{`{"dataCentres":{"ikeja":{"out":"yes"}}}`, "dataCentres.ikeja.out", "a string", "true or false"},
		{deskWith(`{"tenants":{"t":{"weight":0}}}`), desk + ".tenants.t.weight", "out of range", "0.01 to 1000"},
		{deskWith(`{"settings":{"hedge":{"ratio":0.51}}}`), s + "hedge.ratio", "out of range", "0 to 0.5"},
		{deskWith(`{"settings":{"hedge":{"ratoi":0.1}}}`), s + "hedge.ratoi", `did you mean "ratio"?`, "burst"},
		{deskWith(`{"settings":{"hedge.ratio":0.1}}`), s + `"hedge.ratio"`, "not a known key", `"hedge": {"ratio": …}`},
		{deskWith(`{"settings":{"hedge":0.1}}`), s + "hedge", "not an object", "quantile"},
		{deskWith(`{"settings":{"deadline":250}}`), s + "deadline", "no unit", "1ms to 10m"},
		{deskWith(`{"settings":{"deadline":"250"}}`), s + "deadline", "no unit", "1ms to 10m"},
		{deskWith(`{"settings":{"deadline":"11m"}}`), s + "deadline", "out of range", "1ms to 10m"},
		{deskWith(`{"settings":{"deadline":"0.9ms"}}`), s + "deadline", "out of range", "1ms to 10m"},
		{deskWith(`{"settings":{"deadline":"soon"}}`), s + "deadline", "not a duration", "unit"},
		{deskWith(`{"settings":{"priority":1.5}}`), s + "priority", "not a whole number", "0 to 100"},
		{deskWith(`{"settings":{"priority":1e999}}`), s + "priority", "out of range", "0 to 100"},
		{deskWith(`{"settings":{"policy":"tail-frist"}}`), s + "policy", `did you mean "tail-first"?`, "coverage-first or"},
		{deskWith(`{"settings":{"goodAnswer":"coverage"}}`), s + "goodAnswer", "expected bool", "status"},
		{deskWith(`{"settings":{"admission":{"concurrency":0,"queue":5}}}`), s + "admission.concurrency", "out of range", "1 to 100000"},
		{deskWith(`{"settings":{"addresses":{"count":1}}}`), s + "addresses.count", "level service", "fleet"},
		{deskWith(`{"classes":{"c":{"settings":{"admission":{"queue":1}}}}}`), desk + ".classes.c.settings.admission.queue", "level class", "service"},
		{deskWith(`{"settings":{"ejection":{"base":"2m"}}}`), s + "ejection.base", "above ejection.max", `"1m"`},
		{deskWith(`{"settings":{"minCoverage":0.9,"wantedCoverage":0.8}}`), s + "minCoverage", "above wantedCoverage", "at most 0.8"},
		{deskWith(`{"settings":{"upstreams":{"connections":3}}}`), s + "upstreams.connections", "below upstreams.slots", "at least 4"},
		{strings.Repeat(`{"users":`, 20) + "1" + strings.Repeat("}", 20), strings.Repeat("users.", 16) + "users", "nested too deeply", "16"},
		{`{"x":"` + strings.Repeat("x", settings.MaxTreeBytes) + `"}`, "", "bytes", "at most"},
	} {
		_, err := settings.Parse([]byte(c.text))
		require.ErrorIs(t, err, settings.ErrInvalid, c.path)
		list := settings.Problems(err)
		require.Equal(t, c.path, list[0].Path())
		require.Contains(t, list[0].Text(), c.problem, c.path)
		require.Contains(t, list[0].Allowed(), c.allowed, c.path)
	}
}

// Guards against a bound that is refused although it is allowed.
func TestBoundsAreAllowed(t *testing.T) {
	for _, inner := range []string{
		`"deadline":"1ms","priority":0,"minCoverage":0.5,"wantedCoverage":0.5`,
		`"deadline":"10m","priority":100,"hedge":{"quantile":0.999,"ratio":0.5},"retry":{"attempts":0}`,
		`"ejection":{"base":"1h","max":"1h"},"upstreams":{"slots":7,"connections":7},"coldStart":{"initial":7}`,
	} {
		parse(t, `{"settings":{`+inner+`}}`)
	}
}

// Guards against a check that stops at the first mistake, and against a
// follow-on problem that is none.
func TestAllMistakesAtOnce(t *testing.T) {
	_, err := settings.Parse([]byte(deskWith(`{"settings":{"deadline":1,"hedg":{},"hedge":{"ratio":2},"policy":"x",
		"goodAnswer":"1","ejection":{"base":"2m","max":"2"},"priority":-1,"retry":{"attempts":6}},"tenant":{},"classes":{"a b":{}}}`)))
	require.Len(t, settings.Problems(err), 10, "%v", err)
	many := `{"users":{` + strings.Repeat(`"a b":1,`, 2000) + `"a":{}}}`
	_, err = settings.Parse([]byte(many))
	list := settings.Problems(err)
	require.Len(t, list, 1001)
	require.Contains(t, list[1000].Text(), "more problems are not listed")
}

// Guards against a daemon that refuses the whole document in force because a
// newer daemon accepted a key that it does not know.
func TestParseAccepted(t *testing.T) {
	tree, problems, err := settings.ParseAccepted([]byte(`{"settings":{"deadline":"2s","newKey":1,"priority":101},
		"users":{"a":{"services":{"s":{"tenants":{"t":{"weight":-1}}}}}},"zones":{}}`))
	require.NoError(t, err)
	require.Len(t, problems, 4)
	e, _ := tree.Effective("a", "s")
	require.Equal(t, 2*clock.Second, e.Deadline())
	require.Equal(t, 50, e.Priority())
	require.Equal(t, 1.0, tree.TenantWeight("a", "s", "t"))
	_, problems, err = settings.ParseAccepted([]byte(`[1]`))
	require.NoError(t, err)
	require.Len(t, problems, 1)
	_, _, err = settings.ParseAccepted([]byte(`{`))
	require.ErrorIs(t, err, settings.ErrMalformed)
}

// Guards against a position that points at the wrong place.
func TestMalformed(t *testing.T) {
	for text, where := range map[string]string{
		"":                         "line 1, column 1:",
		"{":                        "line 1, column 2:",
		"{\n  \"users\": tru }":    "line 2, column 15:",
		"{}\n{}":                   "line 2, column 1:",
		"{\"é\": \xff}":            "line 1, column 7: invalid UTF-8",
		strings.Repeat("[", 20000): "line 1, column 10001:",
	} {
		_, err := settings.Parse([]byte(text))
		require.ErrorIs(t, err, settings.ErrMalformed)
		require.NotErrorIs(t, err, settings.ErrInvalid)
		require.Contains(t, settings.Problems(err)[0].Text(), where)
	}
}

// Guards against an edit that loses or reorders something else.
func TestEdits(t *testing.T) {
	set := func(path, key, value string) func([]byte) ([]byte, error) {
		return func(text []byte) ([]byte, error) { return settings.Set(text, path, key, json.RawMessage(value)) }
	}
	unset := func(path, key string) func([]byte) ([]byte, error) {
		return func(text []byte) ([]byte, error) { return settings.Unset(text, path, key) }
	}
	for _, c := range []struct {
		name    string
		edit    func([]byte) ([]byte, error)
		changes string
		err     error
	}{
		{"fleet", set("", "deadline", `"2s"`), `settings.deadline: "1s" changed to "2s"`, nil},
		{"group", set("users.association", "hedge.burst", "5"), "users.association.settings.hedge.burst: set to 5", nil},
		{"new class", set(desk+".classes.new", "priority", "1"), desk + ".classes.new.settings.priority: set to 1", nil},
		{"tenant", set(desk+".tenants.school", "weight", "3"), desk + ".tenants.school.weight: set to 3", nil},
		{"out", func(text []byte) ([]byte, error) { return settings.TakeDataCentreOut(text, "bodija") }, "dataCentres.bodija.out: set to true", nil},
		{"in", func(text []byte) ([]byte, error) { return settings.BringDataCentreIn(text, "lekki") }, "dataCentres.lekki.out: true changed to false", nil},
		{"unset", unset("users.association", "hedge.ratio"), "users.association.settings.hedge.ratio: 0.030 removed", nil},
		{"unset last", unset("fleet", "deadline"), `settings.deadline: "1s" removed`, nil},
		{"not set", unset("fleet", "priority"), "", settings.ErrNotSet},
		{"no such user", set("users.nobody", "priority", "1"), "", settings.ErrNoSuchPath},
		{"no such key", set("", "hedge.ratoi", "1"), "", settings.ErrInvalid},
		{"wrong level", set(desk, "addresses.count", "1"), "", settings.ErrInvalid},
		{"out of range", set("", "priority", "101"), "", settings.ErrInvalid},
		{"bad name", func(text []byte) ([]byte, error) { return settings.TakeDataCentreOut(text, "bo dija") }, "", settings.ErrNoSuchPath},
	} {
		edited, err := c.edit([]byte(example))
		require.ErrorIs(t, err, c.err, c.name)
		if c.err != nil {
			continue
		}
		var lines []string
		for _, change := range settings.Diff(parse(t, example), parse(t, string(edited))) {
			lines = append(lines, change.String())
		}
		require.Equal(t, c.changes, strings.Join(lines, "\n"), c.name)
	}
}

// Guards against a stored document that loses a field or changes the tree.
func TestDocument(t *testing.T) {
	text := `{"settings":{"goodAnswer":"coverage >= 0.9 && status < 300"}}`
	d := settings.NewDocument(7, "c-1", "asha", []byte(text))
	encoded, err := d.Encode()
	require.NoError(t, err)
	back, err := settings.DecodeDocument(encoded)
	require.NoError(t, err)
	require.Equal(t, d, back)
	require.True(t, d.SameVersion(back))
	require.False(t, d.SameVersion(back.WithRevision(8)))
	for _, bad := range []string{``, `{}`, `{"changeId":"x"}`, `{"changeId":"` + strings.Repeat("x", 129) + `","tree":{}}`} {
		_, err := settings.DecodeDocument([]byte(bad))
		require.ErrorIs(t, err, settings.ErrDocument, bad)
	}
	largest := `{"users":{` + strings.Repeat(" ", settings.MaxTreeBytes-12) + `}}`
	_, err = settings.NewDocument(1, strings.Repeat("\x01", 128), strings.Repeat("\x01", 128), []byte(largest)).Encode()
	require.NoError(t, err, "a tree of the largest size fits into a document")
}
