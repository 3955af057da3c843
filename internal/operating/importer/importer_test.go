package importer

import (
	"errors"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const validCSV = `type,name,dataCentre,region,rack,address,roles,disk,cores,memory,accelerators,labels,mayHost
dataCentre,couva,,trinidad,,,,,,,,,
rack,rack-1,couva,,,,,,,,,,
vm,couva-1,couva,,,10.0.0.1:7000,replica;gateway,yes,,,,,
worker,worker-1,couva,,rack-1,,,,0.5,"1.5GiB",2,zone=a; disk=ssd,charts;fit-record
`

const validJSON = `[ // The same inventory.
  {"type": "worker", "name": "worker-1", "dataCentre": "couva", "rack": "rack-1", "cores": 0.5,
    "memory": "1.5GiB", "accelerators": 2, "labels": {"zone": "a", "disk": "ssd"}, "mayHost": ["charts", "fit-record"]},
  {"type": "vm", "name": "couva-1", "dataCentre": "couva", "address": "10.0.0.1:7000", "roles": ["replica", "gateway"], "disk": true},
  {"type": "rack", "name": "rack-1", "dataCentre": "couva"},
  {"type": "dataCentre", "name": "couva", "region": "trinidad", "rack": null},
]`

// Guards against values that are lost or changed in the conversion.
func TestBothFormatsGiveTheSameInventory(t *testing.T) {
	wantWorker := scheduler.Resources{MilliCores: 500, MemoryBytes: 3 << 29, Accelerators: 2}
	wantLabels := map[string]string{"zone": "a", "disk": "ssd", "mayHost.charts": "yes", "mayHost.fit-record": "yes"}
	tests := map[string]struct {
		format Format
		text   string
	}{
		"csv":                {FormatCSV, validCSV},
		"csv with BOM, CRLF": {FormatCSV, "\xef\xbb\xbf" + strings.ReplaceAll(validCSV, "\n", "\r\n")},
		"json":               {FormatJSON, validJSON},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			inventory, err := Read("export", test.format, []byte(test.text))
			if err != nil {
				t.Fatal(err)
			}
			if len(inventory.dataCentres) != 1 || len(inventory.racks) != 1 || len(inventory.vms) != 1 || len(inventory.workers) != 1 {
				t.Fatalf("inventory: got %+v, want one of each type", inventory)
			}
			worker, vm := inventory.workers[0], inventory.vms[0]
			if worker.Capacity != wantWorker || worker.Rack != "rack-1" || len(worker.Labels) != len(wantLabels) {
				t.Errorf("worker: got %+v, want capacity %+v and labels %v", worker, wantWorker, wantLabels)
			}
			for key, want := range wantLabels {
				if got := worker.Labels[key]; got != want {
					t.Errorf("label %s: got %q, want %q", key, got, want)
				}
			}
			if vm.Address != "10.0.0.1:7000" || !vm.Disk || !slices.Equal(vm.Roles, []string{"replica", "gateway"}) {
				t.Errorf("vm: got %+v", vm)
			}
			if got := inventory.dataCentres[0].Region; got != "trinidad" {
				t.Errorf("region: got %q, want trinidad", got)
			}
		})
	}
}

// Guards against a partial import of a file with faults, and against faults that are not detected or are reported at
// the wrong position.
func TestFaults(t *testing.T) {
	const base = "type,name,dataCentre,rack,cores,memory,accelerators,labels\ndataCentre,dc,,,,,,\nrack,r1,dc,,,,,\n"
	worker := func(values string) string { return base + "worker,w1," + values + "\n" }
	tests := map[string]struct {
		format Format
		text   string
		want   []string
	}{
		"empty file":           {FormatCSV, "", []string{"1:1: the file has no rows"}},
		"header only":          {FormatCSV, "type,name\n", []string{"1:1: the file has no rows"}},
		"unknown column":       {FormatCSV, "type,name,datacentre,colour\n", []string{`1:11: column "datacentre" is unknown; did you mean "dataCentre"?`, `1:22: column "colour" is unknown`}},
		"duplicate column":     {FormatCSV, "type,name,name\n", []string{`1:11: column "name" is duplicated`}},
		"column missing":       {FormatCSV, "type,rack\n", []string{`1:1: column "name" is missing`}},
		"other separator":      {FormatCSV, "type;name\n", []string{`1:1: column "type;name" is unknown`}},
		"not UTF-8":            {FormatCSV, "type,name\nrack,\xff\n", []string{"2:6: the text is not UTF-8"}},
		"too few values":       {FormatCSV, base + "worker,w1\n", []string{"4:1: the row has 2 values, but the header has 8 columns"}},
		"quote in value":       {FormatCSV, base + "rack,r\"2,dc,,,,,\nrack,r1,dc,,,,,\n", []string{"4:7: invalid quoting", `5:6: name: "r1" is already the name of line 3`}},
		"text after a quote":   {FormatCSV, base + "rack,\"r2\"x,dc,,,,,\n", []string{"4:9: invalid quoting"}},
		"unterminated quote":   {FormatCSV, base + "rack,\"r2,dc,,,,,\n", []string{"invalid quoting"}},
		"unknown type":         {FormatCSV, base + "server,s1,dc,,,,,\n", []string{`4:1: type: "server" is not one of`}},
		"duplicate name":       {FormatCSV, base + "rack,r1,dc,,,,,\n", []string{`4:6: name: "r1" is already the name of line 3`}},
		"no name":              {FormatCSV, base + "rack,,dc,,,,,\n", []string{`4:1: name: ""`}},
		"name like a path":     {FormatCSV, base + "rack,workers[7],dc,,,,,\n", []string{`4:6: name: "workers[7]" is not`}},
		"unknown data centre":  {FormatCSV, base + "rack,r2,ab,,,,,\n", []string{`4:9: dataCentre: data centre "ab" is not in the inventory`}},
		"unknown rack":         {FormatCSV, worker("dc,r9,1,1GB,,"), []string{`4:14: rack: rack "r9" is not in the inventory`}},
		"value of other type":  {FormatCSV, base + "rack,r2,dc,r1,,,,\n", []string{"4:12: rack: a row of type rack does not have this column"}},
		"negative cores":       {FormatCSV, worker("dc,r1,-1,1GB,,"), []string{`4:17: cores: "-1" is negative`}},
		"negative memory":      {FormatCSV, worker("dc,r1,1,-1GB,,"), []string{`4:19: memory: "-1GB" is negative`}},
		"memory overflows":     {FormatCSV, worker("dc,r1,1,99999999TB,,"), []string{`4:19: memory: "99999999TB" is too large`}},
		"memory not exact":     {FormatCSV, worker("dc,r1,1,9007199254740992B,,"), []string{`4:19: memory: "9007199254740992B" is too large`}},
		"cores overflow":       {FormatCSV, worker("dc,r1,99999999999999999999,1GB,,"), []string{"4:17: cores", "is too large"}},
		"number too long":      {FormatCSV, worker("dc,r1,1,1GB,999999999999999999999999,"), []string{"4:23: accelerators", "is not a number"}},
		"memory without unit":  {FormatCSV, worker("dc,r1,1,125,,"), []string{`4:19: memory: "125" has no unit`}},
		"memory in bits":       {FormatCSV, worker("dc,r1,1,125Gb,,"), []string{`4:19: memory: "125Gb" has the wrong unit "Gb"`}},
		"cores in GHz":         {FormatCSV, worker("dc,r1,3GHz,1GB,,"), []string{`4:17: cores: "3GHz" has the wrong unit`}},
		"part of a millicore":  {FormatCSV, worker("dc,r1,0.0005,1GB,,"), []string{"4:17: cores", "whole number of thousandths"}},
		"exponent":             {FormatCSV, worker("dc,r1,1e3,1GB,,"), []string{"4:17: cores"}},
		"no capacity":          {FormatCSV, worker("dc,r1,,,,"), []string{"4:1: cores: a worker needs processors and memory"}},
		"label without value":  {FormatCSV, worker("dc,r1,1,1GB,,ssd"), []string{`4:24: labels: "ssd" is not of the form`}},
		"duplicate label":      {FormatCSV, worker("dc,r1,1,1GB,,a=b;a=c"), []string{`4:24: labels: "a" is duplicated`}},
		"all faults at once":   {FormatCSV, worker("xx,r9,-1,1,,"), []string{"4:11: dataCentre", "4:14: rack", "4:17: cores", "4:20: memory"}},
		"JSON syntax":          {FormatJSON, "[\n {,}]", []string{"2:3: "}},
		"JSON is no list":      {FormatJSON, "{}", []string{"1:1: the file must be a list"}},
		"JSON element":         {FormatJSON, "[3]", []string{"1:2: the list must contain only objects"}},
		"JSON unknown key":     {FormatJSON, `[{"typ": 1}]`, []string{`1:3: column "typ" is unknown`}},
		"duplicate JSON key":   {FormatJSON, `[{"type": "rack", "type": "vm"}]`, []string{`1:19: key "type" is duplicated`}},
		"JSON list in a name":  {FormatJSON, `[{"type": "rack", "name": []}]`, []string{"1:27: name: a list or an object is not allowed here"}},
		"JSON list with ;":     {FormatJSON, `[{"type": "worker", "mayHost": ["a;b"]}]`, []string{"1:33: expected a string without"}},
		"JSON = in a label":    {FormatJSON, `[{"type": "worker", "labels": {"a=b": "c"}}]`, []string{"1:32: a label's key"}},
		"JSON negative number": {FormatJSON, `[{"type": "worker", "cores": -3}]`, []string{`1:30: cores: "-3" is negative`}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			inventory, err := Read("f", test.format, []byte(test.text))
			var fileError *FileError
			if !errors.As(err, &fileError) || inventory != nil {
				t.Fatalf("got inventory %v and error %v, want no inventory and a FileError", inventory, err)
			}
			for _, want := range test.want {
				if !strings.Contains(err.Error(), want) {
					t.Errorf("faults: got %v, want %q", err, want)
				}
			}
			if name == "all faults at once" && len(fileError.Faults()) != len(test.want) {
				t.Errorf("faults: got %v, want %d", err, len(test.want))
			}
		})
	}
}

// Guards against files of unlimited size and against a format that is guessed.
func TestRefusedBeforeReading(t *testing.T) {
	if _, err := Read("f", FormatCSV, make([]byte, maxFileBytes+1)); err == nil {
		t.Error("a file above the size limit: got no error")
	}
	if _, err := Read("f", "xml", []byte("<a/>")); err == nil {
		t.Error("an unknown format: got no error")
	}
	if _, ok := FormatOf("export.xlsx"); ok {
		t.Error("format of a spreadsheet: got one, want none")
	}
}

// Guards against a CSV file that causes a panic, and against an inventory from a file with faults. The seed corpus is
// in testdata/fuzz.
func FuzzReadCSV(f *testing.F) {
	f.Add([]byte(validCSV))
	f.Fuzz(func(t *testing.T, data []byte) {
		inventory, err := Read("f", FormatCSV, data)
		if (inventory == nil) != (err != nil) {
			t.Fatalf("got inventory %v and error %v, want exactly one of them", inventory, err)
		}
		var fileError *FileError
		if !errors.As(err, &fileError) {
			return
		}
		lines := strings.Count(string(data), "\n") + 1
		for _, fault := range fileError.Faults() {
			if fault.Line() < 1 || fault.Line() > lines || fault.Column() < 1 {
				t.Fatalf("fault %v: the file has no such position", fault)
			}
		}
	})
}

// Guards against an example file that the importer rejects.
func TestExampleIsValid(t *testing.T) {
	for _, name := range []string{"../../../examples/couva/inventory.csv", "../../../examples/bramble/inventory.json"} {
		data, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		format, _ := FormatOf(name)
		if _, err := Read(name, format, data); err != nil {
			t.Error(err)
		}
	}
}
