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

// printJSON prints JSON indented, or as it came when it is none.
func (s *session) printJSON(body []byte) {
	var indented bytes.Buffer
	if err := json.Indent(&indented, body, "", "  "); err != nil {
		indented.Reset()
		indented.Write(body)
	}
	fmt.Fprintln(s.out, strings.TrimRight(indented.String(), "\n"))
}

// printTable prints rows under a header, in columns.
func (s *session) printTable(header []string, rows [][]string) {
	writer := tabwriter.NewWriter(s.out, minColumnWidth, 0, columnPadding, ' ', 0)
	fmt.Fprintln(writer, strings.Join(header, "\t"))
	for _, row := range rows {
		fmt.Fprintln(writer, strings.Join(row, "\t"))
	}
	_ = writer.Flush()
}

// orDash stands in for what is empty, so that columns stay readable.
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
