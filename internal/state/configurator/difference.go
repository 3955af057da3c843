package configurator

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"

	"github.com/crocusplank/crocusplank/internal/basics/encoder"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// DifferenceKind is the kind of a Difference.
type DifferenceKind string

// Values of DifferenceKind.
const (
	DifferenceAdded   DifferenceKind = "added"
	DifferenceRemoved DifferenceKind = "removed"
	DifferenceChanged DifferenceKind = "changed"
)

// Difference is one difference between two documents. It is a wire type. Old and New are JSON; Old
// is empty for an added value and New for a removed one.
type Difference struct {
	Path string          `json:"path"`
	Kind DifferenceKind  `json:"kind"`
	Old  json.RawMessage `json:"old,omitempty"`
	New  json.RawMessage `json:"new,omitempty"`
}

// Differences returns the differences between two normalised documents, in document order. List
// elements are matched by name, so that an inserted element does not make those after it differ.
func Differences(from, to *scheduler.Configuration) ([]Difference, error) {
	var differences []Difference
	for _, section := range sections {
		found, err := section.differences(from, to)
		if err != nil {
			return nil, err
		}
		differences = append(differences, found...)
	}
	return differences, nil
}

func (list list[T]) differences(from, to *scheduler.Configuration) ([]Difference, error) {
	sectionDelta, err := list.delta(from, to)
	if err != nil {
		return nil, err
	}
	before := list.index(from)
	var differences []Difference
	for _, key := range sectionDelta.Remove {
		old, err := json.Marshal(before[key])
		if err != nil {
			return nil, Error.Wrap(err)
		}
		differences = append(differences, Difference{Path: list.path(key), Kind: DifferenceRemoved, Old: old})
	}
	for _, encoded := range sectionDelta.Put {
		var element T
		if err := encoder.Unmarshal(encoded, &element); err != nil {
			return nil, Error.Wrap(err)
		}
		key := list.key(&element)
		found, err := compareElements(list.path(key), before[key], &element)
		if err != nil {
			return nil, err
		}
		differences = append(differences, found...)
	}
	return differences, nil
}

func (list list[T]) path(key string) string { return list.name + "[" + key + "]" }

func compareElements[T any](path string, old, element *T) ([]Difference, error) {
	after, err := json.Marshal(element)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if old == nil {
		return []Difference{{Path: path, Kind: DifferenceAdded, New: after}}, nil
	}
	before, err := json.Marshal(old)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return compareValues(path, before, after), nil
}

// compareValues compares JSON objects field by field, recursively, and other values as a whole.
func compareValues(path string, before, after json.RawMessage) []Difference {
	if bytes.Equal(before, after) {
		return nil
	}
	if before == nil {
		return []Difference{{Path: path, Kind: DifferenceAdded, New: after}}
	}
	if after == nil {
		return []Difference{{Path: path, Kind: DifferenceRemoved, Old: before}}
	}
	var oldFields, newFields map[string]json.RawMessage
	if json.Unmarshal(before, &oldFields) != nil || json.Unmarshal(after, &newFields) != nil {
		return []Difference{{Path: path, Kind: DifferenceChanged, Old: before, New: after}}
	}
	names := maps.Clone(oldFields)
	maps.Copy(names, newFields)
	var differences []Difference
	for _, name := range slices.Sorted(maps.Keys(names)) {
		differences = append(differences, compareValues(path+"."+name, oldFields[name], newFields[name])...)
	}
	return differences
}
