package bench

import (
	"fmt"
	"io"
	"strings"
)

// table is one measurement, printed in Markdown.
type table struct {
	title       string
	description string
	header      []string
	rows        [][]string
}

func (t *table) addRow(cells ...string) { t.rows = append(t.rows, cells) }

func (t *table) print(w io.Writer) {
	fmt.Fprintf(w, "### %s\n\n%s\n\n", t.title, t.description)
	fmt.Fprintf(w, "| %s |\n|%s\n", strings.Join(t.header, " | "), strings.Repeat(" --- |", len(t.header)))
	for _, row := range t.rows {
		fmt.Fprintf(w, "| %s |\n", strings.Join(row, " | "))
	}
	fmt.Fprintln(w)
}

func formatMillis(value float64) string  { return fmt.Sprintf("%.1f", value) }
func formatPercent(value float64) string { return fmt.Sprintf("%.2f %%", 100*value) }
func formatFactor(value float64) string  { return fmt.Sprintf("%.3f", value) }
func formatCount(value int) string       { return fmt.Sprint(value) }

// verdict compares a figure with its target.
func verdict(met bool) string {
	if met {
		return "pass"
	}
	return "missed"
}

// latencyCells returns the cells that most tables share.
func (r *result) latencyCells() []string {
	return []string{
		formatMillis(r.quantile(0.5)), formatMillis(r.quantile(0.99)), formatMillis(r.quantile(0.999)),
		formatPercent(r.meanCoverage()), formatPercent(r.extraLoad()),
	}
}

var latencyHeader = []string{"p50 ms", "p99 ms", "p99.9 ms", "coverage", "extra load"}

func tableHeader(first ...string) []string { return append(first, latencyHeader...) }

func rowCells(first []string, r *result, last ...string) []string {
	return append(append(first, r.latencyCells()...), last...)
}
