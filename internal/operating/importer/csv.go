package importer

import (
	"bytes"
	"encoding/csv"
	"errors"
	"io"
	"slices"
)

// maxColumns bounds the header, each name of which is compared with all others.
const maxColumns = 1000

// readCSV reads the rows of a CSV file. Reading goes on after a faulty line, so that all faults are
// found at once.
func (file *file) readCSV() []row {
	reader := csv.NewReader(bytes.NewReader(file.data))
	reader.FieldsPerRecord = -1
	starts := lineStarts(file.data)
	place := func(line, column int) int { return starts[min(line, len(starts))-1] + column - 1 }
	var header []string
	var rows []row
	for {
		record, err := reader.Read()
		if errors.Is(err, io.EOF) {
			return rows
		}
		var faulty *csv.ParseError
		if errors.As(err, &faulty) {
			file.add(place(faulty.Line, faulty.Column), "the quoting is wrong: %v", faulty.Err)
			if header == nil {
				return nil
			}
			continue
		}
		if header == nil {
			if header = record; !file.checkHeader(record, reader, place) {
				return nil
			}
			continue
		}
		if row, ok := file.csvRow(header, record, reader, place); ok {
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

func (file *file) checkHeader(header []string, reader *csv.Reader, place func(line, column int) int) bool {
	if len(header) > maxColumns {
		file.add(0, "the first line names %d columns, more than %d", len(header), maxColumns)
		return false
	}
	valid := true
	for index, name := range header {
		offset := place(reader.FieldPos(index))
		if slices.Contains(header[:index], name) {
			file.add(offset, "column %q is there twice", name)
			valid = false
		} else if !file.checkColumn(offset, name) {
			valid = false
		}
	}
	for _, needed := range []string{columnType, columnName} {
		if valid && !slices.Contains(header, needed) {
			file.add(0, "column %q is missing; the first line names the columns, separated by commas", needed)
			valid = false
		}
	}
	return valid
}

func (file *file) csvRow(header, record []string, reader *csv.Reader, place func(line, column int) int) (row, bool) {
	offset := place(reader.FieldPos(0))
	if len(record) != len(header) {
		file.add(offset, "the row has %d values, the header %d", len(record), len(header))
		return row{}, false
	}
	read := row{offset: offset, cells: map[string]cell{}}
	for index, text := range record {
		if text != "" {
			read.cells[header[index]] = cell{offset: place(reader.FieldPos(index)), text: text}
		}
	}
	return read, true
}
