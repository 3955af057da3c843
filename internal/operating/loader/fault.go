package loader

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"
	"strings"
	"unicode/utf8"
)

// Fault is an error in a settings file with its position. Lines and columns start at 1. Columns count characters, not
// bytes.
type Fault struct {
	file         string
	line, column int
	message      string
}

// File returns the name of the settings file.
func (fault Fault) File() string { return fault.file }

// Line returns the line number, starting at 1.
func (fault Fault) Line() int { return fault.line }

// Column returns the column in characters, starting at 1.
func (fault Fault) Column() int { return fault.column }

// Message returns the description of the fault without its position.
func (fault Fault) Message() string { return fault.message }

// String returns the fault in the format file:line:column: message, which editors recognise.
func (fault Fault) String() string {
	return fmt.Sprintf("%s:%d:%d: %s", fault.file, fault.line, fault.column, fault.message)
}

// SettingsError contains all faults of a settings file, sorted by position.
type SettingsError struct {
	faults []Fault
}

// Faults returns a copy of the list of faults.
func (settingsError *SettingsError) Faults() []Fault { return slices.Clone(settingsError.faults) }

// Error returns the number of faults, followed by one line per fault.
func (settingsError *SettingsError) Error() string {
	lines := []string{fmt.Sprintf("settings have %d faults:", len(settingsError.faults))}
	for _, fault := range settingsError.faults {
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "\n")
}

// document is a settings file with the byte offsets of its values by path and the faults found so far.
type document struct {
	file    string
	data    []byte
	offsets map[string]int
	// invalidPaths contains the paths of values with a fault, so that the same cause is not reported twice.
	invalidPaths map[string]bool
	faults       []Fault
}

// addFaultAt adds a fault at a byte offset of the file.
func (document *document) addFaultAt(offset int, format string, args ...any) {
	before := document.data[:offset]
	lineStart := bytes.LastIndexByte(before, '\n') + 1
	document.faults = append(document.faults, Fault{
		file:    document.file,
		line:    bytes.Count(before, []byte{'\n'}) + 1,
		column:  utf8.RuneCount(before[lineStart:]) + 1,
		message: fmt.Sprintf(format, args...),
	})
}

// addFault adds a fault at the value with the given path, such as groups[0].members[1].vm. If the value is missing
// from the file, the position is that of the innermost enclosing value.
func (document *document) addFault(path, format string, args ...any) {
	document.invalidPaths[path] = true
	message := fmt.Sprintf(format, args...)
	if path != "" {
		message = path + ": " + message
	}
	for {
		if offset, found := document.offsets[path]; found || path == "" {
			document.addFaultAt(offset, "%s", message)
			return
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
}

// err returns the faults as a SettingsError, or nil if there are none.
func (document *document) err() error {
	if len(document.faults) == 0 {
		return nil
	}
	slices.SortStableFunc(document.faults, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.line, b.line), cmp.Compare(a.column, b.column))
	})
	return Error.Wrap(&SettingsError{faults: document.faults})
}

// closestName returns the known name with the smallest edit distance to a name, or "" if none is similar.
func closestName(name string, known []string) string {
	best, bestDistance := "", len(name)/2+1
	for _, candidate := range known {
		if distance := editDistance(strings.ToLower(name), strings.ToLower(candidate)); distance < bestDistance {
			best, bestDistance = candidate, distance
		}
	}
	return best
}

// suggestion returns a hint with the closest known name, or with all known names if none is similar.
func suggestion(name string, known []string) string {
	if best := closestName(name, known); best != "" {
		return fmt.Sprintf("did you mean %q?", best)
	}
	return "known values are " + strings.Join(known, ", ")
}

// editDistance returns the Levenshtein distance of two strings in bytes.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for column := range row {
		row[column] = column
	}
	for line := range len(a) {
		diagonal := row[0]
		row[0] = line + 1
		for column := range len(b) {
			change := diagonal
			if a[line] != b[column] {
				change++
			}
			diagonal = row[column+1]
			row[column+1] = min(change, diagonal+1, row[column]+1)
		}
	}
	return row[len(b)]
}
