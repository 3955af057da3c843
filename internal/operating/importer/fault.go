package importer

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"
	"strings"
	"unicode/utf8"
)

// position is a position in a file. Lines and columns start at 1; columns count characters.
type position struct{ line, column int }

// Fault is a syntax or validation error at a position in an export.
type Fault struct {
	file     string
	location position
	message  string
}

// Line returns the line number of the fault, starting at 1.
func (fault Fault) Line() int { return fault.location.line }

// Column returns the column of the fault in characters, starting at 1.
func (fault Fault) Column() int { return fault.location.column }

// Message returns the message without the position.
func (fault Fault) Message() string { return fault.message }

// String returns the fault in the form file:line:column: message, which editors recognise as a location.
func (fault Fault) String() string {
	return fmt.Sprintf("%s:%d:%d: %s", fault.file, fault.location.line, fault.location.column, fault.message)
}

// FileError lists all faults of an export, sorted by position.
type FileError struct{ faults []Fault }

// Faults returns the faults.
func (fileError *FileError) Faults() []Fault { return slices.Clone(fileError.faults) }

// Error returns the number of faults, followed by one line for each fault.
func (fileError *FileError) Error() string {
	lines := []string{fmt.Sprintf("the file has %d faults and was not imported:", len(fileError.faults))}
	for _, fault := range fileError.faults {
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "\n")
}

// file is an export with the faults found so far. Faults are recorded by byte offset; err converts the offsets to
// line and column in a single pass, so that a large file is not scanned once per fault.
type file struct {
	name   string
	data   []byte
	faults []offsetFault
}

type offsetFault struct {
	offset  int
	message string
}

func (file *file) addFault(offset int, format string, arguments ...any) {
	file.faults = append(file.faults, offsetFault{offset: offset, message: fmt.Sprintf(format, arguments...)})
}

// lineStart returns the offset of the start of a line, or that of the last line if line is too high.
func (file *file) lineStart(line int) int {
	offset := 0
	for ; line > 1; line-- {
		next := bytes.IndexByte(file.data[offset:], '\n')
		if next < 0 {
			break
		}
		offset += next + 1
	}
	return offset
}

func (file *file) lineOf(offset int) int { return bytes.Count(file.data[:offset], []byte{'\n'}) + 1 }

// err returns the faults as an error, or nil if there are none.
func (file *file) err() error {
	if len(file.faults) == 0 {
		return nil
	}
	slices.SortStableFunc(file.faults, func(a, b offsetFault) int { return cmp.Compare(a.offset, b.offset) })
	fileError := &FileError{}
	location, scanned := position{1, 1}, 0
	for _, fault := range file.faults {
		offset := min(fault.offset, len(file.data))
		skipped := file.data[scanned:offset]
		if last := bytes.LastIndexByte(skipped, '\n'); last >= 0 {
			location = position{location.line + bytes.Count(skipped, []byte{'\n'}), 1}
			skipped = skipped[last+1:]
		}
		location.column += utf8.RuneCount(skipped)
		scanned = offset
		fileError.faults = append(fileError.faults, Fault{file: file.name, location: location, message: fault.message})
	}
	return Error.Wrap(fileError)
}
