package baobabcommand

import (
	"strings"
	"text/tabwriter"
)

// formatTable returns the rows as text with aligned columns.
func formatTable(rows [][]string) string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		// Writes to a strings.Builder do not fail.
		_, _ = w.Write([]byte(strings.Join(row, "\t") + "\n"))
	}
	_ = w.Flush()
	return b.String()
}
