package loader

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"reflect"

	"github.com/tailscale/hujson"
)

// maxFileBytes bounds a settings file. A system of 100 VMs needs less than 100 KiB.
const maxFileBytes = 4 << 20

// Load reads and checks a settings file. The error holds a SettingsError if the file could be read.
func Load(name string) (*Settings, error) {
	data, err := read(name)
	if err != nil {
		return nil, Error.New("read settings: %w", err)
	}
	return Parse(name, data)
}

func read(name string) (data []byte, err error) {
	file, err := os.Open(filepath.Clean(name))
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	data, err = io.ReadAll(io.LimitReader(file, maxFileBytes+1))
	if len(data) > maxFileBytes {
		return nil, fmt.Errorf("%s is larger than %d bytes", name, maxFileBytes)
	}
	return data, err
}

// Parse checks the contents of a settings file. The name is used in the texts of faults.
func Parse(name string, data []byte) (*Settings, error) {
	value, err := hujson.Parse(data)
	if err != nil {
		return nil, syntaxError(name, err)
	}
	document := &document{file: name, data: data, places: map[string]int{}, faulty: map[string]bool{}}
	settings := defaults()
	document.decode(value, reflect.ValueOf(settings).Elem(), "")
	checker := &checker{document: document, settings: settings, undecoded: maps.Clone(document.faulty)}
	checker.check()
	if err := document.err(); err != nil {
		return nil, err
	}
	return settings, nil
}

// syntaxError takes the position out of the parser's error text, since it has no other form.
func syntaxError(name string, err error) error {
	fault := Fault{file: name, line: 1, column: 1, message: err.Error()}
	if _, scanErr := fmt.Sscanf(err.Error(), "hujson: line %d, column %d:", &fault.line, &fault.column); scanErr == nil {
		fault.message = errors.Unwrap(err).Error()
	}
	return Error.Wrap(&SettingsError{faults: []Fault{fault}})
}
