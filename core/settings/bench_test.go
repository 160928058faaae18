package settings_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/lovagegap/lovagegap/core/settings"
)

// BenchmarkEffective looks up the values in force at a class.
func BenchmarkEffective(b *testing.B) {
	tree, err := settings.Parse([]byte(exampleTree))
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		e, _ := tree.Effective("association", "review-desk", "officer")
		_ = e.Deadline()
	}
}

// BenchmarkGoodAnswer evaluates the default expression.
func BenchmarkGoodAnswer(b *testing.B) {
	var good settings.GoodAnswer
	attributes := settings.NewAnswerAttributes(200, 1, 12, false)
	b.ReportAllocs()
	for b.Loop() {
		_, _ = good.Evaluate(attributes)
	}
}

// BenchmarkParseLargest parses a tree of nearly the maximum size, in which each of
// 15,000 classes overrides one value.
func BenchmarkParseLargest(b *testing.B) {
	var classes strings.Builder
	for i := range 15_000 {
		fmt.Fprintf(&classes, `"class-number-%05d":{"settings":{"hedge":{"quantile":0.9}}},`, i)
	}
	text := serviceTree(`{"classes":{` + classes.String() + `"last":{}}}`)
	b.SetBytes(int64(len(text)))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := settings.Parse([]byte(text)); err != nil {
			b.Fatal(err)
		}
	}
}
