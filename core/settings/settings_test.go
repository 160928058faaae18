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

const exampleTree = `{
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

const servicePath = "users.association.services.review-desk"

func parse(t *testing.T, text string) *settings.Tree {
	t.Helper()
	tree, err := settings.Parse([]byte(text))
	require.NoError(t, err)
	return tree
}

// Guards against a value that is inherited from the wrong level, and against an
// origin that names another level than the one that set the value.
func TestEffectiveInheritsFromNearestLevel(t *testing.T) {
	tree := parse(t, exampleTree)
	e, ok := tree.Effective("association", "review-desk", "officer")
	require.True(t, ok)
	require.Equal(t, clock.Second, e.Deadline())
	require.Equal(t, settings.PolicyTailFirst, e.Policy())
	require.Equal(t, 6, e.UpstreamsSlots())
	require.Equal(t, 70, e.Priority())
	require.Equal(t, 0.03, e.HedgeRatio())
	for key, origin := range map[string]string{
		"deadline": "fleet", "hedge.ratio": "users.association", "upstreams.slots": servicePath,
		"priority": servicePath + ".classes.officer", "retry.ratio": "default", "unknown": "",
	} {
		require.Equal(t, origin, e.Origin(key), key)
	}
	unnamed, ok := tree.Effective("association", "review-desk", "porter")
	require.False(t, ok)
	require.Equal(t, 50, unnamed.Priority())
	require.Equal(t, 6, unnamed.UpstreamsSlots(), "an unnamed class has the values of its service")
	at, err := tree.EffectiveAt(servicePath)
	require.NoError(t, err)
	require.Equal(t, servicePath, at.Origin("upstreams.slots"))
	for _, path := range []string{
		"users", "users.nobody", servicePath + ".class.a", "dataCentres.ikeja", servicePath + ".tenants.school", "users.a b",
	} {
		_, err := tree.EffectiveAt(path)
		require.ErrorIs(t, err, settings.ErrNoSuchPath, path)
	}
}

// Guards against names, tenant weights or data centres that are missing from the
// tree, and against a zero Tree without the defaults.
func TestTreeListsNamesAndWeights(t *testing.T) {
	tree := parse(t, exampleTree)
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

// Guards against a default that is not valid for its key, and against a typed
// accessor that returns the value of another key.
func TestAccessorsReturnDefaults(t *testing.T) {
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

// serviceTree returns a tree with one service, which is given as JSON.
func serviceTree(service string) string {
	return `{"users":{"association":{"services":{"review-desk":` + service + `}}}}`
}

// Guards against a mistake that is accepted, or reported without its path or
// without the allowed values.
func TestParseReportsMistakes(t *testing.T) {
	prefix := servicePath + ".settings."
	for _, c := range []struct{ text, path, problem, allowed string }{
		{`[]`, "", "an array, not an object", "settings, dataCentres, users"},
		{`{"user":{}}`, "user", `did you mean "users"?`, "users"},
		{`{"users":{"a":{},"a":{}}}`, "users.a", "more than once", "one value"},
		{`{"users":{"a.b":{}}}`, `users."a.b"`, "not a valid name", "hyphens"},
		{`{"dataCentres":{"ikeja":{"out":"yes"}}}`, "dataCentres.ikeja.out", "a string", "true or false"},
		{serviceTree(`{"tenants":{"t":{"weight":0}}}`), servicePath + ".tenants.t.weight", "out of range", "0.01 to 1000"},
		{serviceTree(`{"settings":{"hedge":{"ratio":0.51}}}`), prefix + "hedge.ratio", "out of range", "0 to 0.5"},
		{serviceTree(`{"settings":{"hedge":{"ratoi":0.1}}}`), prefix + "hedge.ratoi", `did you mean "ratio"?`, "burst"},
		{serviceTree(`{"settings":{"hedge.ratio":0.1}}`), prefix + `"hedge.ratio"`, "not a known key", `"hedge": {"ratio": …}`},
		{serviceTree(`{"settings":{"hedge":0.1}}`), prefix + "hedge", "not an object", "quantile"},
		{serviceTree(`{"settings":{"deadline":250}}`), prefix + "deadline", "no unit", "1ms to 10m"},
		{serviceTree(`{"settings":{"deadline":"250"}}`), prefix + "deadline", "no unit", "1ms to 10m"},
		{serviceTree(`{"settings":{"deadline":"11m"}}`), prefix + "deadline", "out of range", "1ms to 10m"},
		{serviceTree(`{"settings":{"deadline":"0.9ms"}}`), prefix + "deadline", "out of range", "1ms to 10m"},
		{serviceTree(`{"settings":{"deadline":"soon"}}`), prefix + "deadline", "not a duration", "unit"},
		{serviceTree(`{"settings":{"priority":1.5}}`), prefix + "priority", "not a whole number", "0 to 100"},
		{serviceTree(`{"settings":{"priority":1e999}}`), prefix + "priority", "out of range", "0 to 100"},
		{serviceTree(`{"settings":{"policy":"tail-frist"}}`), prefix + "policy", `did you mean "tail-first"?`, "coverage-first or"},
		{serviceTree(`{"settings":{"goodAnswer":"coverage"}}`), prefix + "goodAnswer", "expected bool", "status"},
		{serviceTree(`{"settings":{"admission":{"concurrency":0,"queue":5}}}`), prefix + "admission.concurrency", "out of range", "1 to 100000"},
		{serviceTree(`{"settings":{"addresses":{"count":1}}}`), prefix + "addresses.count", "level service", "fleet"},
		{serviceTree(`{"classes":{"c":{"settings":{"admission":{"queue":1}}}}}`), servicePath + ".classes.c.settings.admission.queue", "level class", "service"},
		{serviceTree(`{"settings":{"ejection":{"base":"2m"}}}`), prefix + "ejection.base", "above ejection.max", `"1m"`},
		{serviceTree(`{"settings":{"minCoverage":0.9,"wantedCoverage":0.8}}`), prefix + "minCoverage", "above wantedCoverage", "at most 0.8"},
		{serviceTree(`{"settings":{"upstreams":{"connections":3}}}`), prefix + "upstreams.connections", "below upstreams.slots", "at least 4"},
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

// Guards against a range check that excludes the minimum or the maximum.
func TestParseAcceptsMinimumAndMaximum(t *testing.T) {
	for _, inner := range []string{
		`"deadline":"1ms","priority":0,"minCoverage":0.5,"wantedCoverage":0.5`,
		`"deadline":"10m","priority":100,"hedge":{"quantile":0.999,"ratio":0.5},"retry":{"attempts":0}`,
		`"ejection":{"base":"1h","max":"1h"},"upstreams":{"slots":7,"connections":7},"coldStart":{"initial":7}`,
	} {
		parse(t, `{"settings":{`+inner+`}}`)
	}
}

// Guards against a check that stops at the first mistake, against a problem that
// only follows from another one, and against an unbounded list.
func TestParseReportsAllMistakes(t *testing.T) {
	_, err := settings.Parse([]byte(serviceTree(`{"settings":{"deadline":1,"hedg":{},"hedge":{"ratio":2},"policy":"x",
		"goodAnswer":"1","ejection":{"base":"2m","max":"2"},"priority":-1,"retry":{"attempts":6}},"tenant":{},"classes":{"a b":{}}}`)))
	require.Len(t, settings.Problems(err), 10, "%v", err)
	many := `{"users":{` + strings.Repeat(`"a b":1,`, 2000) + `"a":{}}}`
	_, err = settings.Parse([]byte(many))
	list := settings.Problems(err)
	require.Len(t, list, 1001)
	require.Contains(t, list[1000].Text(), "more problems are not listed")
}

// Guards against a daemon that rejects the whole settings document because a daemon
// of a newer version accepted a key that this one does not know.
func TestParseAcceptedIgnoresUnknownKeys(t *testing.T) {
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

// Guards against a wrong line or column in the error for malformed JSON.
func TestMalformedJSONIsLocated(t *testing.T) {
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

// Guards against an edit that changes, removes or reorders other values, and against
// one that is accepted although its key, value or path is not valid.
func TestEditsChangeOneValue(t *testing.T) {
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
		{"new class", set(servicePath+".classes.new", "priority", "1"), servicePath + ".classes.new.settings.priority: set to 1", nil},
		{"tenant", set(servicePath+".tenants.school", "weight", "3"), servicePath + ".tenants.school.weight: set to 3", nil},
		{"out", func(text []byte) ([]byte, error) { return settings.TakeDataCentreOut(text, "bodija") }, "dataCentres.bodija.out: set to true", nil},
		{"in", func(text []byte) ([]byte, error) { return settings.BringDataCentreIn(text, "lekki") }, "dataCentres.lekki.out: true changed to false", nil},
		{"unset", unset("users.association", "hedge.ratio"), "users.association.settings.hedge.ratio: 0.030 removed", nil},
		{"unset last", unset("fleet", "deadline"), `settings.deadline: "1s" removed`, nil},
		{"not set", unset("fleet", "priority"), "", settings.ErrNotSet},
		{"no such user", set("users.nobody", "priority", "1"), "", settings.ErrNoSuchPath},
		{"no such key", set("", "hedge.ratoi", "1"), "", settings.ErrInvalid},
		{"wrong level", set(servicePath, "addresses.count", "1"), "", settings.ErrInvalid},
		{"out of range", set("", "priority", "101"), "", settings.ErrInvalid},
		{"bad name", func(text []byte) ([]byte, error) { return settings.TakeDataCentreOut(text, "bo dija") }, "", settings.ErrNoSuchPath},
	} {
		edited, err := c.edit([]byte(exampleTree))
		require.ErrorIs(t, err, c.err, c.name)
		if c.err != nil {
			continue
		}
		var lines []string
		for _, change := range settings.Diff(parse(t, exampleTree), parse(t, string(edited))) {
			lines = append(lines, change.String())
		}
		require.Equal(t, c.changes, strings.Join(lines, "\n"), c.name)
	}
}

// Guards against an encoded document that loses a field or changes the tree, and
// against a tree of the maximum size that does not fit into a document.
func TestDocumentRoundTrip(t *testing.T) {
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
