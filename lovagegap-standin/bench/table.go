package bench

import (
	"fmt"
	"io"
	"strings"
)

// table is one table of the report.
type table struct {
	title       string
	description string
	header      []string
	rows        [][]string
}

func (t *table) addRow(cells ...string) { t.rows = append(t.rows, cells) }

// print writes the table with its title and description in Markdown.
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

// verdict returns the cell that says whether a target is met.
func verdict(met bool) string {
	if met {
		return "pass"
	}
	return "missed"
}

// latencyCells returns the cells below latencyHeader.
func (r *result) latencyCells() []string {
	return []string{
		formatMillis(r.quantile(0.5)), formatMillis(r.quantile(0.99)), formatMillis(r.quantile(0.999)),
		formatPercent(r.meanCoverage()), formatPercent(r.extraLoad()),
	}
}

// latencyHeader heads the columns that most tables share.
var latencyHeader = []string{"p50 ms", "p99 ms", "p99.9 ms", "coverage", "extra load"}

// tableHeader returns a header with latencyHeader after first.
func tableHeader(first ...string) []string { return append(first, latencyHeader...) }

// rowCells returns a row with the latency cells of a result between first and last.
func rowCells(first []string, r *result, last ...string) []string {
	return append(append(first, r.latencyCells()...), last...)
}
