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
	// mayHostPrefix begins the labels that stand for the column mayHost. A job that names the label
	// in its constraints runs only on workers that may host it.
	mayHostPrefix = "mayHost."
	mayHostValue  = "yes"
)

var validLabel = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._/-]{0,61}[A-Za-z0-9])?$`)

// kinds are the values of the column type with the columns that a row of the type may have.
var kinds = map[string][]string{
	"dataCentre": {columnRegion},
	"rack":       {columnDataCentre},
	"vm":         {columnDataCentre, columnAddress, columnRoles, columnDisk},
	"worker": {
		columnDataCentre, columnRack, columnCores, columnMemory, columnAccelerators, columnLabels, columnMayHost,
	},
}

// converter turns rows into sections of the configuration. It remembers which row an element came from,
// so that faults of the document can be shown at their place in the file.
type converter struct {
	*file
	inventory *Inventory
	origin    map[string][]row
	// faulty holds the places that have a fault, so that one cause is reported once.
	faulty map[source]bool
}

// source is the row and the column that a value came from.
type source struct {
	row    int // its offset
	column string
}

func (file *file) convert(rows []row) *Inventory {
	converter := &converter{
		file: file, origin: map[string][]row{}, faulty: map[source]bool{},
		inventory: &Inventory{
			dataCentres: []scheduler.DataCentre{}, racks: []scheduler.Rack{},
			vms: []scheduler.VM{}, workers: []scheduler.Worker{},
		},
	}
	for _, row := range rows {
		converter.add(row)
	}
	converter.validate()
	return converter.inventory
}

func (converter *converter) fault(row row, column, format string, arguments ...any) {
	converter.faulty[source{row.offset, column}] = true
	converter.file.add(row.place(column), "%s: %s", column, fmt.Sprintf(format, arguments...))
}

func (converter *converter) add(row row) {
	kind := row.text(columnType)
	allowed, known := kinds[kind]
	if !known {
		converter.fault(row, columnType, "%q is none of dataCentre, rack, vm and worker", kind)
		return
	}
	for column := range row.cells {
		if column != columnType && column != columnName && !slices.Contains(allowed, column) {
			converter.fault(row, column, "a row of type %s has no such value", kind)
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
			Roles: row.list(columnRoles), Disk: converter.flag(row, columnDisk),
		})
	case "worker":
		inventory.workers = append(inventory.workers, scheduler.Worker{
			Name: scheduler.WorkerName(name), DataCentre: dataCentre, Rack: row.text(columnRack),
			Capacity: scheduler.Resources{
				MilliCores:   converter.amount(row, columnCores, coreUnits),
				MemoryBytes:  converter.amount(row, columnMemory, memoryUnits),
				Accelerators: converter.amount(row, columnAccelerators, countUnits),
			},
			Labels: converter.labels(row),
		})
	}
	converter.origin[kind+"s"] = append(converter.origin[kind+"s"], row)
}

func (converter *converter) flag(row row, column string) bool {
	switch row.text(column) {
	case "true", "yes":
		return true
	case "", "false", "no":
		return false
	default:
		converter.fault(row, column, "%q is none of true, yes, false and no", row.text(column))
		return false
	}
}

func (converter *converter) amount(row row, column string, units []unit) int64 {
	text := row.text(column)
	if text == "" {
		return 0
	}
	amount, err := parseAmount(text, units)
	if err != nil {
		converter.fault(row, column, "%s", strings.TrimPrefix(err.Error(), "importer: "))
	}
	return amount
}

func (converter *converter) labels(row row) map[string]string {
	labels := map[string]string{}
	add := func(column, key, value string) {
		switch _, taken := labels[key]; {
		case taken:
			converter.fault(row, column, "%q is there twice", key)
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
			converter.fault(row, columnLabels, "%q belongs into the column %s", entry, columnMayHost)
		default:
			add(columnLabels, key, value)
		}
	}
	for _, kind := range row.list(columnMayHost) {
		add(columnMayHost, mayHostPrefix+kind, mayHostValue)
	}
	return labels
}

// validate applies the configuration's own rules and shows their faults at the values they come from.
func (converter *converter) validate() {
	faults := configurator.Validate(&scheduler.Configuration{
		DataCentres: converter.inventory.dataCentres, Racks: converter.inventory.racks,
		VMs: converter.inventory.vms, Workers: converter.inventory.workers,
	})
	for _, fault := range faults {
		row, column := converter.source(fault.Path)
		if !converter.hasFault(row, column) {
			converter.fault(row, column, "%s", converter.readable(fault.Message))
		}
	}
}

// hasFault reports whether a value has a fault already. Processors and memory count together, because
// the configuration has one rule for both.
func (converter *converter) hasFault(row row, column string) bool {
	if column == columnCores || column == columnMemory {
		return converter.faulty[source{row.offset, columnCores}] || converter.faulty[source{row.offset, columnMemory}]
	}
	return converter.faulty[source{row.offset, column}]
}

var elementPath = regexp.MustCompile(`^([A-Za-z]+)\[([0-9]+)\]\.?([A-Za-z]*)`)

// source returns the row and the column that a path of the document comes from.
func (converter *converter) source(path string) (row, string) {
	var index int
	parts := elementPath.FindStringSubmatch(path)
	if parts != nil {
		_, _ = fmt.Sscan(parts[2], &index)
	}
	if parts == nil || index >= len(converter.origin[parts[1]]) {
		return row{}, columnName
	}
	source, column := converter.origin[parts[1]][index], parts[3]
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

// documentPath is an element of the document at the end of a message.
var documentPath = regexp.MustCompile(`(?:dataCentres|racks|vms|workers)\[[0-9]+\]$`)

// readable replaces a path of the document by its line of the file.
func (converter *converter) readable(message string) string {
	return documentPath.ReplaceAllStringFunc(message, func(path string) string {
		row, _ := converter.source(path)
		return fmt.Sprintf("line %d", converter.lineOf(row.offset))
	})
}
