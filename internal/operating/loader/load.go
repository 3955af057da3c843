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

// maxFileBytes is the maximum size of a settings file. The file of a deployment of 100 VMs is smaller than 100 KiB.
const maxFileBytes = 4 << 20

// Load reads and validates a settings file. If the file can be read but has faults, the error wraps a SettingsError.
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

// Parse decodes and validates the contents of a settings file. The name is used in the messages of faults.
func Parse(name string, data []byte) (*Settings, error) {
	value, err := hujson.Parse(data)
	if err != nil {
		return nil, syntaxError(name, err)
	}
	document := &document{file: name, data: data, offsets: map[string]int{}, invalidPaths: map[string]bool{}}
	settings := defaults()
	document.decode(value, reflect.ValueOf(settings).Elem(), "")
	checker := &checker{document: document, settings: settings, undecodedPaths: maps.Clone(document.invalidPaths)}
	checker.check()
	if err := document.err(); err != nil {
		return nil, err
	}
	return settings, nil
}

// syntaxError extracts the position from the message of the parser's error, because the error has no field for it.
func syntaxError(name string, err error) error {
	fault := Fault{file: name, line: 1, column: 1, message: err.Error()}
	if _, scanErr := fmt.Sscanf(err.Error(), "hujson: line %d, column %d:", &fault.line, &fault.column); scanErr == nil {
		fault.message = errors.Unwrap(err).Error()
	}
	return Error.Wrap(&SettingsError{faults: []Fault{fault}})
}
