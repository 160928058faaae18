package settings_test

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lovagegap/lovagegap/core/settings"
)

var update = flag.Bool("update", false, "rewrite the key table of the operators' page")

const (
	pagePath         = "../../docs/operators/settings.md"
	tableStartMarker = "-update` -->\n"
	tableEndMarker   = "<!-- end of keys -->"
)

// markdownKeyTable renders the table of keys as Markdown.
func markdownKeyTable() string {
	var out strings.Builder
	out.WriteString("| key | allowed | default | levels | meaning |\n| --- | --- | --- | --- | --- |\n")
	for _, k := range settings.Keys() {
		name := k.Name()
		var levels []string
		for _, l := range k.Levels() {
			levels = append(levels, l.String())
		}
		switch k.Levels()[0] {
		case settings.LevelTenant:
			name = "tenants.NAME." + name
		case settings.LevelDataCentre:
			name = "dataCentres.NAME." + name
		}
		fmt.Fprintf(&out, "| `%s` | %s | `%s` | %s | %s |\n",
			name, k.AllowedValues(), k.Default(), strings.Join(levels, ", "), k.Help())
	}
	return out.String()
}

// Guards against an operators' page whose table of keys, ranges or defaults differs
// from the code.
func TestOperatorsPage(t *testing.T) {
	content, err := os.ReadFile(pagePath)
	require.NoError(t, err)
	before, rest, ok := strings.Cut(string(content), tableStartMarker)
	require.True(t, ok)
	got, after, ok := strings.Cut(rest, tableEndMarker)
	require.True(t, ok)
	if *update {
		got = markdownKeyTable()
		require.NoError(t, os.WriteFile(pagePath, []byte(before+tableStartMarker+got+tableEndMarker+after), 0o644))
	}
	require.Equal(t, markdownKeyTable(), got, "run go test ./core/settings -run TestOperatorsPage -update")
}
