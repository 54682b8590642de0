package admincmd

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
)

const (
	minColumnWidth = 2
	columnPadding  = 2
)

// printJSON prints body indented, or unchanged if it is not JSON.
func (s *session) printJSON(body []byte) {
	var indented bytes.Buffer
	if err := json.Indent(&indented, body, "", "  "); err != nil {
		indented.Reset()
		indented.Write(body)
	}
	fmt.Fprintln(s.out, strings.TrimRight(indented.String(), "\n"))
}

// printTable prints a header and rows in aligned columns.
func (s *session) printTable(header []string, rows [][]string) {
	writer := tabwriter.NewWriter(s.out, minColumnWidth, 0, columnPadding, ' ', 0)
	fmt.Fprintln(writer, strings.Join(header, "\t"))
	for _, row := range rows {
		fmt.Fprintln(writer, strings.Join(row, "\t"))
	}
	_ = writer.Flush()
}

// orDash returns text, or a dash if it is empty, so that the columns of a table stay readable.
func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

func yesNo(value bool) string {
	if value {
		return "yes"
	}
	return "no"
}
