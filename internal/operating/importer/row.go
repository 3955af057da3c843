package importer

import (
	"slices"
	"strings"
)

// Columns of a CSV export, which are also the keys of a JSON export.
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

// cell is one value of a row. JSON lists are joined by listSeparator.
type cell struct {
	offset int
	text   string
}

// row is one entry of the asset register. Empty values have no cell.
type row struct {
	offset int
	cells  map[string]cell
}

// text returns a value without surrounding spaces, or an empty string if the row has none.
func (row row) text(column string) string { return strings.TrimSpace(row.cells[column].text) }

// offsetOf returns the offset of a value, or the offset of the row if it has no such value.
func (row row) offsetOf(column string) int {
	if cell, found := row.cells[column]; found {
		return cell.offset
	}
	return row.offset
}

// list splits a value at listSeparator and omits empty entries.
func (row row) list(column string) []string {
	var entries []string
	for entry := range strings.SplitSeq(row.text(column), listSeparator) {
		if entry = strings.TrimSpace(entry); entry != "" {
			entries = append(entries, entry)
		}
	}
	return entries
}

// checkColumn adds a fault and returns false if the column is unknown.
func (file *file) checkColumn(offset int, name string) bool {
	if slices.Contains(columns, name) {
		return true
	}
	for _, known := range columns {
		if strings.EqualFold(known, name) {
			file.addFault(offset, "column %q is unknown; did you mean %q?", name, known)
			return false
		}
	}
	file.addFault(offset, "column %q is unknown; known columns are %s", name, strings.Join(columns, ", "))
	return false
}
