package commander

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

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

// Set implements the flag's value.
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

// Type names the flag's type in help.
func (outputFormat *outputFormat) Type() string { return "format" }

// table collects rows for the terminal.
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

func (table *table) write(writer io.Writer) error {
	aligned := tabwriter.NewWriter(writer, 0, 4, 2, ' ', 0)
	if _, err := fmt.Fprintln(aligned, strings.Join(table.header, "\t")); err != nil {
		return Error.Wrap(err)
	}
	for _, row := range table.rows {
		if _, err := fmt.Fprintln(aligned, strings.Join(row, "\t")); err != nil {
			return Error.Wrap(err)
		}
	}
	return Error.Wrap(aligned.Flush())
}

// print writes value as JSON or rows as a table, as the --output flag says.
func (commander *Commander) print(command *cobra.Command, value any, rows *table) error {
	if commander.output == outputJSON {
		encoder := json.NewEncoder(command.OutOrStdout())
		encoder.SetIndent("", "  ")
		return Error.Wrap(encoder.Encode(value))
	}
	return rows.write(command.OutOrStdout())
}

// confirm asks a plain question before work is evicted. Without a "yes" nothing is done.
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

// text returns the text that a pointer leads to, empty for nil.
func text(pointer *string) string {
	if pointer == nil {
		return ""
	}
	return *pointer
}

// number returns the number that a pointer leads to, 0 for nil.
func number[T any](pointer *T) T {
	var zero T
	if pointer == nil {
		return zero
	}
	return *pointer
}
