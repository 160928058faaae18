package settings_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/lovagegap/lovagegap/core/settings"
)

func BenchmarkEffective(b *testing.B) {
	tree, err := settings.Parse([]byte(example))
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		e, _ := tree.Effective("association", "review-desk", "officer")
		_ = e.Deadline()
	}
}

func BenchmarkGoodAnswer(b *testing.B) {
	var good settings.GoodAnswer
	facts := settings.NewAnswerAttributes(200, 1, 12, false)
	b.ReportAllocs()
	for b.Loop() {
		_, _ = good.Evaluate(facts)
	}
}

// BenchmarkParseLargest reads a tree of nearly the largest size in which each
// of 15,000 classes overrides one value.
func BenchmarkParseLargest(b *testing.B) {
	var classes strings.Builder
	for i := range 15_000 {
		fmt.Fprintf(&classes, `"class-number-%05d":{"settings":{"hedge":{"quantile":0.9}}},`, i)
	}
	text := deskWith(`{"classes":{` + classes.String() + `"last":{}}}`)
	b.SetBytes(int64(len(text)))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := settings.Parse([]byte(text)); err != nil {
			b.Fatal(err)
		}
	}
}
