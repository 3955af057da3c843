// Package importer reads the inventory from an export of an asset register in CSV or JSON. A file with faults is
// rejected as a whole, with a list of all its faults. docs/inventory.md describes the columns.
package importer

import (
	"bytes"
	"path/filepath"
	"strings"
	"unicode/utf8"

	"github.com/zeebo/errs"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Error is the class of errors that this package returns.
var Error = errs.Class("importer")

// maxFileBytes is the maximum size of a file. 3,440 workers with ten labels each need less than 2 MB.
const maxFileBytes = 16 << 20

// Format is the format of an export.
type Format string

// Values of Format.
const (
	// FormatCSV is comma-separated values with a header line (RFC 4180).
	FormatCSV Format = "csv"
	// FormatJSON is a list of objects, in which comments and trailing commas are allowed.
	FormatJSON Format = "json"
)

// FormatOf returns the format for a file name by its extension. ok is false if the extension is unknown.
func FormatOf(name string) (format Format, ok bool) {
	switch strings.ToLower(filepath.Ext(name)) {
	case ".csv":
		return FormatCSV, true
	case ".json", ".jsonc":
		return FormatJSON, true
	default:
		return "", false
	}
}

// Inventory holds the sections of the configuration that an export replaces. The lists are never nil.
type Inventory struct {
	dataCentres []scheduler.DataCentre
	racks       []scheduler.Rack
	vms         []scheduler.VM
	workers     []scheduler.Worker
}

// Sections returns the sections, keyed as in the configuration document.
func (inventory *Inventory) Sections() map[string]any {
	return map[string]any{
		"dataCentres": inventory.dataCentres, "racks": inventory.racks,
		"vms": inventory.vms, "workers": inventory.workers,
	}
}

// Read parses and validates an export. Messages about faults contain name. If the file has faults, the error wraps a
// FileError that lists all of them.
func Read(name string, format Format, data []byte) (*Inventory, error) {
	file := &file{name: name, data: bytes.TrimPrefix(data, []byte("\xef\xbb\xbf"))}
	switch {
	case len(data) > maxFileBytes:
		return nil, Error.New("%s is larger than %d bytes", name, maxFileBytes)
	case !utf8.Valid(data):
		file.addFault(invalidOffset(file.data), "the text is not UTF-8")
		return nil, file.err()
	}
	var rows []row
	switch format {
	case FormatCSV:
		rows = file.readCSV()
	case FormatJSON:
		rows = file.readJSON()
	default:
		return nil, Error.New("unknown format %q; use csv or json", format)
	}
	if len(rows) == 0 && len(file.faults) == 0 {
		// An empty export is treated as a failed one, since importing it would remove the whole inventory.
		file.addFault(0, "the file has no rows")
	}
	inventory := file.convert(rows)
	if err := file.err(); err != nil {
		return nil, err
	}
	return inventory, nil
}

// invalidOffset returns the offset of the first byte that is not valid UTF-8.
func invalidOffset(data []byte) int {
	offset := 0
	for offset < len(data) {
		character, size := utf8.DecodeRune(data[offset:])
		if character == utf8.RuneError && size == 1 {
			break
		}
		offset += size
	}
	return offset
}
