package loader

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"
	"strings"
	"unicode/utf8"
)

// Fault is one fault of a settings file. Lines and columns count from 1; a column is a character.
type Fault struct {
	file         string
	line, column int
	message      string
}

// File returns the name of the file.
func (fault Fault) File() string { return fault.file }

// Line returns the line of the fault.
func (fault Fault) Line() int { return fault.line }

// Column returns the column of the fault.
func (fault Fault) Column() int { return fault.column }

// Message returns what is wrong.
func (fault Fault) Message() string { return fault.message }

// String returns the fault in the form file:line:column: message, which editors recognise.
func (fault Fault) String() string {
	return fmt.Sprintf("%s:%d:%d: %s", fault.file, fault.line, fault.column, fault.message)
}

// SettingsError holds all faults of a settings file in the order of their positions.
type SettingsError struct {
	faults []Fault
}

// Faults returns the faults.
func (settingsError *SettingsError) Faults() []Fault { return slices.Clone(settingsError.faults) }

// Error returns the number of faults and then the faults, one to a line.
func (settingsError *SettingsError) Error() string {
	lines := []string{fmt.Sprintf("settings have %d faults:", len(settingsError.faults))}
	for _, fault := range settingsError.faults {
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "\n")
}

// document is a settings file together with the positions of its values and the faults found so far.
type document struct {
	file   string
	data   []byte
	places map[string]int
	// faulty holds the paths that have a fault, so that one cause is reported once.
	faulty map[string]bool
	faults []Fault
}

// addAt adds a fault at an offset of the file.
func (document *document) addAt(offset int, format string, args ...any) {
	before := document.data[:offset]
	lineStart := bytes.LastIndexByte(before, '\n') + 1
	document.faults = append(document.faults, Fault{
		file:    document.file,
		line:    bytes.Count(before, []byte{'\n'}) + 1,
		column:  utf8.RuneCount(before[lineStart:]) + 1,
		message: fmt.Sprintf(format, args...),
	})
}

// add adds a fault at the value with a path such as groups[0].members[1].vm. If the file lacks the
// value, the position is that of the innermost value around it.
func (document *document) add(path, format string, args ...any) {
	document.faulty[path] = true
	message := fmt.Sprintf(format, args...)
	if path != "" {
		message = path + ": " + message
	}
	for {
		if offset, found := document.places[path]; found || path == "" {
			document.addAt(offset, "%s", message)
			return
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
}

// err returns the faults as an error, nil when there are none.
func (document *document) err() error {
	if len(document.faults) == 0 {
		return nil
	}
	slices.SortStableFunc(document.faults, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.line, b.line), cmp.Compare(a.column, b.column))
	})
	return Error.Wrap(&SettingsError{faults: document.faults})
}

// nearest returns the known name that is most like a given one, empty when none is similar.
func nearest(name string, known []string) string {
	best, bestDistance := "", len(name)/2+1
	for _, candidate := range known {
		if distance := editDistance(strings.ToLower(name), strings.ToLower(candidate)); distance < bestDistance {
			best, bestDistance = candidate, distance
		}
	}
	return best
}

// hint returns a text that names the nearest known name, or all of them when none is similar.
func hint(name string, known []string) string {
	if best := nearest(name, known); best != "" {
		return fmt.Sprintf("did you mean %q?", best)
	}
	return "known are " + strings.Join(known, ", ")
}

// editDistance returns the number of insertions, removals and replacements between two texts
// (Levenshtein distance).
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
