package importer

import (
	"bytes"
	"encoding/csv"
	"errors"
	"io"
	"slices"
)

// maxColumns limits the header, since the check for duplicate columns is quadratic.
const maxColumns = 1000

// readCSV parses the rows of a CSV file. It continues after an invalid line, so that all faults are reported at
// once.
func (file *file) readCSV() []row {
	reader := csv.NewReader(bytes.NewReader(file.data))
	reader.FieldsPerRecord = -1
	starts := lineStarts(file.data)
	offsetAt := func(line, column int) int { return starts[min(line, len(starts))-1] + column - 1 }
	var header []string
	var rows []row
	for {
		record, err := reader.Read()
		if errors.Is(err, io.EOF) {
			return rows
		}
		var parseError *csv.ParseError
		if errors.As(err, &parseError) {
			file.addFault(offsetAt(parseError.Line, parseError.Column), "invalid quoting: %v", parseError.Err)
			if header == nil {
				return nil
			}
			continue
		}
		if header == nil {
			if header = record; !file.checkHeader(record, reader, offsetAt) {
				return nil
			}
			continue
		}
		if row, ok := file.csvRow(header, record, reader, offsetAt); ok {
			rows = append(rows, row)
		}
	}
}

func lineStarts(data []byte) []int {
	starts := []int{0}
	for offset, character := range data {
		if character == '\n' {
			starts = append(starts, offset+1)
		}
	}
	return starts
}

func (file *file) checkHeader(header []string, reader *csv.Reader, offsetAt func(line, column int) int) bool {
	if len(header) > maxColumns {
		file.addFault(0, "the header has %d columns, more than the maximum of %d", len(header), maxColumns)
		return false
	}
	valid := true
	for index, name := range header {
		offset := offsetAt(reader.FieldPos(index))
		if slices.Contains(header[:index], name) {
			file.addFault(offset, "column %q is duplicated", name)
			valid = false
		} else if !file.checkColumn(offset, name) {
			valid = false
		}
	}
	for _, needed := range []string{columnType, columnName} {
		if valid && !slices.Contains(header, needed) {
			file.addFault(0, "column %q is missing; the first line must list the column names, separated by commas", needed)
			valid = false
		}
	}
	return valid
}

func (file *file) csvRow(header, record []string, reader *csv.Reader, offsetAt func(line, column int) int) (row, bool) {
	offset := offsetAt(reader.FieldPos(0))
	if len(record) != len(header) {
		file.addFault(offset, "the row has %d values, but the header has %d columns", len(record), len(header))
		return row{}, false
	}
	parsed := row{offset: offset, cells: map[string]cell{}}
	for index, text := range record {
		if text != "" {
			parsed.cells[header[index]] = cell{offset: offsetAt(reader.FieldPos(index)), text: text}
		}
	}
	return parsed, true
}
