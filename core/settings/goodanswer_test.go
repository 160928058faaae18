package settings_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lovagegap/lovagegap/core/settings"
)

// Guards against an expression that reads the wrong attribute of an answer, and
// against an answer that counts as good although the evaluation failed.
func TestGoodAnswerEvaluatesAttributes(t *testing.T) {
	attributes := settings.NewAnswerAttributes(200, 0.95, 42, true).WithCaller("officer", "state-board", "review-desk")
	for _, c := range []struct {
		source string
		good   bool
		err    error
	}{
		{settings.DefaultGoodAnswer, false, nil},
		{"status in [200, 204] and latency < 50", true, nil},
		{`class == "officer" && partial ? coverage > 0.9 : coverage == 1`, true, nil},
		{`hasPrefix(tenant, "state-") && service startsWith "review"`, true, nil},
		{"status % (status - 200) == 0", false, settings.ErrEvaluation},
		{"int(tenant) == 1", false, settings.ErrEvaluation},
	} {
		g, err := settings.CompileGoodAnswer(c.source)
		require.NoError(t, err, c.source)
		good, err := g.Evaluate(attributes)
		require.ErrorIs(t, err, c.err, c.source)
		require.Equal(t, c.good, good, c.source)
	}
	var zero settings.GoodAnswer
	good, err := zero.Evaluate(settings.NewAnswerAttributes(200, 1, 1, false))
	require.NoError(t, err)
	require.True(t, good)
}

// Guards against accepted expressions that fail on every answer, or whose run time
// or memory is not bounded by their length.
func TestCompileGoodAnswerRejectsUnsafeExpressions(t *testing.T) {
	for _, source := range []string{
		"", "status", "status = 200", "status == \"200\"", "unknown > 1", "1 % 0 == 1", "latency < 50ms",
		"len(1..1000000000) > 1", "status in 1..9", `repeat("x", 1000000000) == ""`, "let a = status; a == 1",
		"all([1], # > 0)", `tenant matches "a{999}"`, "now() == now()", "status ** 9 > 1",
		"[status][0] == 1", `{"a": 1} == {"a": 1}`, "status == 1; true", `sum(map([1], #)) > 1`,
		strings.Repeat("status + ", 150) + "1 > 0", "true" + strings.Repeat(" ", 1000),
	} {
		_, err := settings.CompileGoodAnswer(source)
		require.ErrorIs(t, err, settings.ErrExpression, source)
	}
}

// Guards against a panic, and against an answer that counts as good although the
// evaluation failed.
func FuzzGoodAnswer(f *testing.F) {
	for _, seed := range []string{
		settings.DefaultGoodAnswer, "status in [200, 204]", "1 % 0 == 1", `tenant contains "a"`, "max(1, 2) > latency",
	} {
		f.Add(seed)
	}
	attributes := settings.NewAnswerAttributes(200, 0.5, 42, true).WithCaller("c", "t", "s")
	f.Fuzz(func(t *testing.T, source string) {
		g, err := settings.CompileGoodAnswer(source)
		if err != nil {
			require.ErrorIs(t, err, settings.ErrExpression)
			return
		}
		if good, err := g.Evaluate(attributes); err != nil {
			require.False(t, good)
		}
	})
}

// Guards against a panic, an error without problems, and formatting that changes a
// value.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{
		"", "{}", exampleTree, `{"users":{"a":{},"a":1}}`, `{"settings":{"hedge":{"ratio":9}}}`,
		"{\n\"a\":tru}", "{\"\xff\":1}",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		tree, err := settings.Parse(text)
		if err != nil {
			require.NotEmpty(t, settings.Problems(err))
			return
		}
		formatted, err := settings.Format(text)
		require.NoError(t, err)
		again, err := settings.Parse(formatted)
		require.NoError(t, err)
		require.Empty(t, settings.Diff(tree, again), "formatting changes no value")
	})
}
