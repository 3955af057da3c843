package importer

import (
	"fmt"
	"regexp"
	"slices"
	"strings"

	"github.com/crocusplank/crocusplank/internal/state/configurator"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const (
	labelSeparator = "="
	// mayHostPrefix is the prefix of the labels that represent the column mayHost. A job that has such a label in
	// its constraints runs only on workers that may host it.
	mayHostPrefix = "mayHost."
	mayHostValue  = "yes"
)

var validLabel = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._/-]{0,61}[A-Za-z0-9])?$`)

// allowedColumns maps each value of the column type to the columns that a row of this type may have, besides type
// and name.
var allowedColumns = map[string][]string{
	"dataCentre": {columnRegion},
	"rack":       {columnDataCentre},
	"vm":         {columnDataCentre, columnAddress, columnRoles, columnDisk},
	"worker": {
		columnDataCentre, columnRack, columnCores, columnMemory, columnAccelerators, columnLabels, columnMayHost,
	},
}

// converter converts rows to sections of the configuration. It records the source row of each element, so that faults
// in the configuration document can be reported at their position in the file.
type converter struct {
	*file
	inventory  *Inventory
	sourceRows map[string][]row
	// faultPositions contains the cells that have a fault, so that the same cause is reported only once.
	faultPositions map[cellPosition]bool
}

// cellPosition identifies the cell of a value.
type cellPosition struct {
	row    int // offset of the row
	column string
}

func (file *file) convert(rows []row) *Inventory {
	converter := &converter{
		file: file, sourceRows: map[string][]row{}, faultPositions: map[cellPosition]bool{},
		inventory: &Inventory{
			dataCentres: []scheduler.DataCentre{}, racks: []scheduler.Rack{},
			vms: []scheduler.VM{}, workers: []scheduler.Worker{},
		},
	}
	for _, row := range rows {
		converter.addRow(row)
	}
	converter.validate()
	return converter.inventory
}

func (converter *converter) fault(row row, column, format string, arguments ...any) {
	converter.faultPositions[cellPosition{row.offset, column}] = true
	converter.addFault(row.offsetOf(column), "%s: %s", column, fmt.Sprintf(format, arguments...))
}

func (converter *converter) addRow(row row) {
	kind := row.text(columnType)
	allowed, known := allowedColumns[kind]
	if !known {
		converter.fault(row, columnType, "%q is not one of dataCentre, rack, vm and worker", kind)
		return
	}
	for column := range row.cells {
		if column != columnType && column != columnName && !slices.Contains(allowed, column) {
			converter.fault(row, column, "a row of type %s does not have this column", kind)
		}
	}
	inventory, name := converter.inventory, row.text(columnName)
	dataCentre := scheduler.DataCentreName(row.text(columnDataCentre))
	switch kind {
	case "dataCentre":
		inventory.dataCentres = append(inventory.dataCentres, scheduler.DataCentre{
			Name: scheduler.DataCentreName(name), Region: row.text(columnRegion),
		})
	case "rack":
		inventory.racks = append(inventory.racks, scheduler.Rack{Name: name, DataCentre: dataCentre})
	case "vm":
		inventory.vms = append(inventory.vms, scheduler.VM{
			Name: scheduler.VMName(name), DataCentre: dataCentre, Address: row.text(columnAddress),
			Roles: row.list(columnRoles), Disk: converter.parseBool(row, columnDisk),
		})
	case "worker":
		inventory.workers = append(inventory.workers, scheduler.Worker{
			Name: scheduler.WorkerName(name), DataCentre: dataCentre, Rack: row.text(columnRack),
			Capacity: scheduler.Resources{
				MilliCores:   converter.quantity(row, columnCores, coreUnits),
				MemoryBytes:  converter.quantity(row, columnMemory, memoryUnits),
				Accelerators: converter.quantity(row, columnAccelerators, countUnits),
			},
			Labels: converter.labels(row),
		})
	}
	converter.sourceRows[kind+"s"] = append(converter.sourceRows[kind+"s"], row)
}

func (converter *converter) parseBool(row row, column string) bool {
	switch row.text(column) {
	case "true", "yes":
		return true
	case "", "false", "no":
		return false
	default:
		converter.fault(row, column, "%q is not one of true, yes, false and no", row.text(column))
		return false
	}
}

func (converter *converter) quantity(row row, column string, units []unit) int64 {
	text := row.text(column)
	if text == "" {
		return 0
	}
	quantity, err := parseQuantity(text, units)
	if err != nil {
		converter.fault(row, column, "%s", strings.TrimPrefix(err.Error(), "importer: "))
	}
	return quantity
}

func (converter *converter) labels(row row) map[string]string {
	labels := map[string]string{}
	add := func(column, key, value string) {
		switch _, exists := labels[key]; {
		case exists:
			converter.fault(row, column, "%q is duplicated", key)
		case !validLabel.MatchString(key) || !validLabel.MatchString(value):
			converter.fault(row, column, "%q is not a label: keys and values have at most 63 letters, digits and . _ / -", key+labelSeparator+value)
		default:
			labels[key] = value
		}
	}
	for _, entry := range row.list(columnLabels) {
		key, value, found := strings.Cut(entry, labelSeparator)
		key, value = strings.TrimSpace(key), strings.TrimSpace(value)
		switch {
		case !found:
			converter.fault(row, columnLabels, "%q is not of the form key=value", entry)
		case strings.HasPrefix(key, mayHostPrefix):
			converter.fault(row, columnLabels, "%q belongs in the column %s", entry, columnMayHost)
		default:
			add(columnLabels, key, value)
		}
	}
	for _, kind := range row.list(columnMayHost) {
		add(columnMayHost, mayHostPrefix+kind, mayHostValue)
	}
	return labels
}

// validate applies the validation rules of the configuration and reports faults at the cells they come from.
func (converter *converter) validate() {
	faults := configurator.Validate(&scheduler.Configuration{
		DataCentres: converter.inventory.dataCentres, Racks: converter.inventory.racks,
		VMs: converter.inventory.vms, Workers: converter.inventory.workers,
	})
	for _, fault := range faults {
		row, column := converter.source(fault.Path)
		if !converter.hasFault(row, column) {
			converter.fault(row, column, "%s", converter.resolvePaths(fault.Message))
		}
	}
}

// hasFault reports whether a cell already has a fault. Cores and memory count as one cell, because a single
// validation rule covers both.
func (converter *converter) hasFault(row row, column string) bool {
	if column == columnCores || column == columnMemory {
		return converter.faultPositions[cellPosition{row.offset, columnCores}] || converter.faultPositions[cellPosition{row.offset, columnMemory}]
	}
	return converter.faultPositions[cellPosition{row.offset, column}]
}

var elementPath = regexp.MustCompile(`^([A-Za-z]+)\[([0-9]+)\]\.?([A-Za-z]*)`)

// source returns the row and the column for a path in the configuration document.
func (converter *converter) source(path string) (row, string) {
	var index int
	parts := elementPath.FindStringSubmatch(path)
	if parts != nil {
		_, _ = fmt.Sscan(parts[2], &index)
	}
	if parts == nil || index >= len(converter.sourceRows[parts[1]]) {
		return row{}, columnName
	}
	source, column := converter.sourceRows[parts[1]][index], parts[3]
	switch {
	case column == "":
		column = columnName
	case column == "capacity" && source.text(columnCores) != "" && source.text(columnMemory) == "":
		column = columnMemory
	case column == "capacity":
		column = columnCores
	}
	return source, column
}

// documentPath matches the path of an element of the configuration document at the end of a message.
var documentPath = regexp.MustCompile(`(?:dataCentres|racks|vms|workers)\[[0-9]+\]$`)

// resolvePaths replaces the document path at the end of a message with the line number in the file.
func (converter *converter) resolvePaths(message string) string {
	return documentPath.ReplaceAllStringFunc(message, func(path string) string {
		row, _ := converter.source(path)
		return fmt.Sprintf("line %d", converter.lineOf(row.offset))
	})
}
