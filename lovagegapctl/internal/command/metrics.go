package command

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"strconv"
)

// metricsCommand shows the metrics of a daemon.
type metricsCommand struct{}

func (*metricsCommand) run(ctx context.Context, s *session) error {
	reply, err := s.client.Metrics(ctx)
	if err != nil {
		return err
	}
	return s.print(reply, func(w io.Writer) {
		writeRow(w, "METRIC", "FIELD", "VALUE")
		for _, name := range slices.Sorted(maps.Keys(reply)) {
			for _, field := range slices.Sorted(maps.Keys(reply[name])) {
				writeRow(w, name, field, formatNumber(reply[name][field]))
			}
		}
	})
}

// formatNumber formats a decoded JSON number with at most three decimals and without an
// exponent.
func formatNumber(v any) string {
	if f, ok := v.(float64); ok {
		return strconv.FormatFloat(math.Round(f*1000)/1000, 'f', -1, 64)
	}
	return fmt.Sprint(v)
}
