package importer

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"
	"strings"
	"unicode/utf8"
)

// position is a place in a file, a line and a column that count from 1; a column is a character.
type position struct{ line, column int }

// Fault is one fault of an export.
type Fault struct {
	file    string
	at      position
	message string
}

// Line returns the line of the fault, from 1.
func (fault Fault) Line() int { return fault.at.line }

// Column returns the column of the fault in characters, from 1.
func (fault Fault) Column() int { return fault.at.column }

// Message returns what is wrong.
func (fault Fault) Message() string { return fault.message }

// String returns the fault in the form file:line:column: message, which editors recognise.
func (fault Fault) String() string {
	return fmt.Sprintf("%s:%d:%d: %s", fault.file, fault.at.line, fault.at.column, fault.message)
}

// FileError holds all faults of an export in the order of their positions.
type FileError struct{ faults []Fault }

// Faults returns the faults.
func (fileError *FileError) Faults() []Fault { return slices.Clone(fileError.faults) }

// Error returns the number of faults and then the faults, one to a line.
func (fileError *FileError) Error() string {
	lines := []string{fmt.Sprintf("the file has %d faults, so nothing of it is used:", len(fileError.faults))}
	for _, fault := range fileError.faults {
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "\n")
}

// file is an export with the faults found so far. Places are offsets until the faults are listed, so that
// the positions of a large file are counted in one pass.
type file struct {
	name   string
	data   []byte
	faults []placedFault
}

type placedFault struct {
	offset  int
	message string
}

func (file *file) add(offset int, format string, arguments ...any) {
	file.faults = append(file.faults, placedFault{offset: offset, message: fmt.Sprintf(format, arguments...)})
}

// lineStart returns the offset at which a line begins, that of the last line for a higher number.
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

// err returns the faults as an error, nil when there are none.
func (file *file) err() error {
	if len(file.faults) == 0 {
		return nil
	}
	slices.SortStableFunc(file.faults, func(a, b placedFault) int { return cmp.Compare(a.offset, b.offset) })
	listed := &FileError{}
	at, counted := position{1, 1}, 0
	for _, fault := range file.faults {
		offset := min(fault.offset, len(file.data))
		passed := file.data[counted:offset]
		if last := bytes.LastIndexByte(passed, '\n'); last >= 0 {
			at = position{at.line + bytes.Count(passed, []byte{'\n'}), 1}
			passed = passed[last+1:]
		}
		at.column += utf8.RuneCount(passed)
		counted = offset
		listed.faults = append(listed.faults, Fault{file: file.name, at: at, message: fault.message})
	}
	return Error.Wrap(listed)
}
