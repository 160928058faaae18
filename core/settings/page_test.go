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
	page      = "../../docs/operators/settings.md"
	tableOpen = "-update` -->\n"
	tableEnd  = "<!-- end of keys -->"
)

// keyTable renders the table of keys as Markdown.
func keyTable() string {
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
		fmt.Fprintf(&out, "| `%s` | %s | `%s` | %s | %s |\n", name, k.AllowedValues(), k.Default(), strings.Join(levels, ", "), k.Help())
	}
	return out.String()
}

// Guards against a page that describes other keys, ranges or defaults than
// those in force.
func TestOperatorsPage(t *testing.T) {
	content, err := os.ReadFile(page)
	require.NoError(t, err)
	before, rest, ok := strings.Cut(string(content), tableOpen)
	require.True(t, ok)
	got, after, ok := strings.Cut(rest, tableEnd)
	require.True(t, ok)
	if *update {
		got = keyTable()
		require.NoError(t, os.WriteFile(page, []byte(before+tableOpen+got+tableEnd+after), 0o644))
	}
	require.Equal(t, keyTable(), got, "run go test ./core/settings -run TestOperatorsPage -update")
}
