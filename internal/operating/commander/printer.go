package commander

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/spf13/cobra"
)

// outputFormat is the value of the --output flag.
type outputFormat string

const (
	outputTable outputFormat = "table"
	outputJSON  outputFormat = "json"
)

// String returns the format's name.
func (outputFormat *outputFormat) String() string {
	if *outputFormat == "" {
		return string(outputTable)
	}
	return string(*outputFormat)
}

// Set implements pflag.Value.
func (outputFormat *outputFormat) Set(text string) error {
	switch text {
	case string(outputTable), string(outputJSON):
		*outputFormat = outputFormatOf(text)
		return nil
	default:
		return newUsageError("unknown output format %q; use table or json", text)
	}
}

func outputFormatOf(text string) outputFormat { return outputFormat(text) }

// Type returns the flag's type for the help text.
func (outputFormat *outputFormat) Type() string { return "format" }

const (
	// tableWidth limits the width of a table so that it fits a terminal beside a second window.
	tableWidth = 100
	columnGap  = 2
)

// table collects rows and formats them for the terminal.
type table struct {
	header []string
	rows   [][]string
}

func newTable(header ...string) *table { return &table{header: header} }

func (table *table) add(cells ...any) {
	row := make([]string, len(cells))
	for index, cell := range cells {
		row[index] = fmt.Sprint(cell)
	}
	table.rows = append(table.rows, row)
}

// write writes the table, at most tableWidth characters wide. Long cells are truncated.
func (table *table) write(writer io.Writer) error {
	lines := append([][]string{table.header}, table.rows...)
	widths := table.widths(lines)
	var text strings.Builder
	for _, line := range lines {
		var cells strings.Builder
		for index, cell := range line {
			shown := truncate(cell, widths[index])
			cells.WriteString(shown)
			cells.WriteString(strings.Repeat(" ", widths[index]-utf8.RuneCountInString(shown)+columnGap))
		}
		text.WriteString(strings.TrimRight(cells.String(), " ") + "\n")
	}
	_, err := io.WriteString(writer, text.String())
	return Error.Wrap(err)
}

// widths returns the widths of the columns. The widest column is reduced until the table fits into tableWidth.
func (table *table) widths(lines [][]string) []int {
	widths := make([]int, len(table.header))
	for _, line := range lines {
		for index := range line {
			line[index] = singleLine(line[index])
			widths[index] = max(widths[index], utf8.RuneCountInString(line[index]))
		}
	}
	total := columnGap * (len(widths) - 1)
	for _, width := range widths {
		total += width
	}
	for ; total > tableWidth; total-- {
		widest := 0
		for index, width := range widths {
			if width > widths[widest] {
				widest = index
			}
		}
		widths[widest]--
	}
	return widths
}

// singleLine replaces control characters, which would break the layout of the table, with spaces.
func singleLine(text string) string {
	return strings.Map(func(character rune) rune {
		if unicode.IsControl(character) {
			return ' '
		}
		return character
	}, text)
}

func truncate(text string, width int) string {
	if utf8.RuneCountInString(text) <= width {
		return text
	}
	return string([]rune(text)[:max(width-1, 0)]) + "…"
}

// print writes value as JSON or rows as a table, depending on the --output flag.
func (commander *Commander) print(command *cobra.Command, value any, rows *table) error {
	if commander.output == outputJSON {
		encoder := json.NewEncoder(command.OutOrStdout())
		encoder.SetIndent("", "  ")
		return Error.Wrap(encoder.Encode(value))
	}
	return rows.write(command.OutOrStdout())
}

// confirm asks the operator for confirmation before work is evicted or cancelled. It returns an error unless the
// input is "yes" or the --yes flag is set.
func (commander *Commander) confirm(command *cobra.Command, question string) error {
	if commander.yes {
		return nil
	}
	_, _ = fmt.Fprintf(command.ErrOrStderr(), "%s Type yes to go on: ", question)
	line, _ := bufio.NewReader(command.InOrStdin()).ReadString('\n')
	if strings.TrimSpace(line) != "yes" {
		return newUsageError("not confirmed; nothing was done")
	}
	return nil
}

// stringOrEmpty returns the string that pointer refers to, or an empty string if it is nil.
func stringOrEmpty(pointer *string) string {
	if pointer == nil {
		return ""
	}
	return *pointer
}

// valueOrZero returns the value that pointer refers to, or the zero value if it is nil.
func valueOrZero[T any](pointer *T) T {
	var zero T
	if pointer == nil {
		return zero
	}
	return *pointer
}
