package importer

import (
	"slices"
	"strings"
)

// Columns of an export, which are also the keys of its JSON form.
const (
	columnType         = "type"
	columnName         = "name"
	columnDataCentre   = "dataCentre"
	columnRegion       = "region"
	columnRack         = "rack"
	columnAddress      = "address"
	columnRoles        = "roles"
	columnDisk         = "disk"
	columnCores        = "cores"
	columnMemory       = "memory"
	columnAccelerators = "accelerators"
	columnLabels       = "labels"
	columnMayHost      = "mayHost"
)

var columns = []string{
	columnType, columnName, columnDataCentre, columnRegion, columnRack, columnAddress, columnRoles,
	columnDisk, columnCores, columnMemory, columnAccelerators, columnLabels, columnMayHost,
}

// listSeparator separates the entries of the columns roles, labels and mayHost in CSV.
const listSeparator = ";"

// cell is one value of a row. Lists of the JSON form are joined by listSeparator.
type cell struct {
	offset int
	text   string
}

// row is one object of the register. Empty values have no cell.
type row struct {
	offset int
	cells  map[string]cell
}

// text returns a value without surrounding spaces, empty when the row has none.
func (row row) text(column string) string { return strings.TrimSpace(row.cells[column].text) }

// place returns the offset of a value, or of the row when it has none.
func (row row) place(column string) int {
	if cell, found := row.cells[column]; found {
		return cell.offset
	}
	return row.offset
}

// list returns the entries of a list.
func (row row) list(column string) []string {
	var entries []string
	for entry := range strings.SplitSeq(row.text(column), listSeparator) {
		if entry = strings.TrimSpace(entry); entry != "" {
			entries = append(entries, entry)
		}
	}
	return entries
}

// checkColumn reports an unknown column.
func (file *file) checkColumn(offset int, name string) bool {
	if slices.Contains(columns, name) {
		return true
	}
	for _, known := range columns {
		if strings.EqualFold(known, name) {
			file.add(offset, "column %q is unknown; did you mean %q?", name, known)
			return false
		}
	}
	file.add(offset, "column %q is unknown; known are %s", name, strings.Join(columns, ", "))
	return false
}
