package configurator

import (
	"cmp"
	"reflect"
	"slices"

	"github.com/crocusplank/crocusplank/internal/basics/encoder"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
	"github.com/fxamacker/cbor/v2"
)

// Delta holds what turns one revision of the document into another. It is a wire type.
type Delta map[string]SectionDelta

// SectionDelta holds the elements of one list that are new or changed, and the names of those that
// are removed. It is a wire type.
type SectionDelta struct {
	Put    []cbor.RawMessage `cbor:"put,omitempty"`
	Remove []string          `cbor:"remove,omitempty"`
}

// section is one list of the document, whatever the type of its elements.
type section interface {
	title() string
	normalise(document *scheduler.Configuration)
	delta(from, to *scheduler.Configuration) (SectionDelta, error)
	patch(document *scheduler.Configuration, change SectionDelta) error
	differences(from, to *scheduler.Configuration) ([]Difference, error)
}

type list[T any] struct {
	name string
	at   func(*scheduler.Configuration) *[]T
	key  func(*T) string
	tidy func(*T)
}

var sections = []section{
	list[scheduler.DataCentre]{
		name: "dataCentres",
		at:   func(document *scheduler.Configuration) *[]scheduler.DataCentre { return &document.DataCentres },
		key:  func(dataCentre *scheduler.DataCentre) string { return string(dataCentre.Name) },
	},
	list[scheduler.Rack]{
		name: "racks",
		at:   func(document *scheduler.Configuration) *[]scheduler.Rack { return &document.Racks },
		key:  func(rack *scheduler.Rack) string { return rack.Name },
	},
	list[scheduler.VM]{
		name: "vms",
		at:   func(document *scheduler.Configuration) *[]scheduler.VM { return &document.VMs },
		key:  func(vm *scheduler.VM) string { return string(vm.Name) },
		tidy: func(vm *scheduler.VM) { vm.Roles = slices.Sorted(slices.Values(vm.Roles)) },
	},
	list[scheduler.Worker]{
		name: "workers",
		at:   func(document *scheduler.Configuration) *[]scheduler.Worker { return &document.Workers },
		key:  func(worker *scheduler.Worker) string { return string(worker.Name) },
		tidy: func(worker *scheduler.Worker) {
			if len(worker.Labels) == 0 {
				worker.Labels = nil
			}
		},
	},
	list[scheduler.Service]{
		name: "services",
		at:   func(document *scheduler.Configuration) *[]scheduler.Service { return &document.Services },
		key:  func(service *scheduler.Service) string { return string(service.Name) },
		tidy: func(service *scheduler.Service) {
			service.Idempotency = cmp.Or(service.Idempotency, scheduler.IdempotencyByMethod)
		},
	},
	list[scheduler.Rule]{
		name: "rules",
		at:   func(document *scheduler.Configuration) *[]scheduler.Rule { return &document.Rules },
		key:  func(rule *scheduler.Rule) string { return rule.Name },
	},
	list[scheduler.Team]{
		name: "teams",
		at:   func(document *scheduler.Configuration) *[]scheduler.Team { return &document.Teams },
		key:  func(team *scheduler.Team) string { return string(team.Name) },
	},
}

// Normalise returns a copy of the document with sorted lists and explicit defaults, so that equal
// documents have equal encodings.
func Normalise(document *scheduler.Configuration) *scheduler.Configuration {
	normalised := *document
	for _, section := range sections {
		section.normalise(&normalised)
	}
	return &normalised
}

// NewDelta returns what turns the normalised document from into to.
func NewDelta(from, to *scheduler.Configuration) (Delta, error) {
	delta := Delta{}
	for _, section := range sections {
		change, err := section.delta(from, to)
		if err != nil {
			return nil, err
		}
		if len(change.Put)+len(change.Remove) > 0 {
			delta[section.title()] = change
		}
	}
	return delta, nil
}

// Patch returns the document that the delta makes of document, which it leaves as it is. It returns
// an error when the delta was made for another document.
func (delta Delta) Patch(document *scheduler.Configuration) (*scheduler.Configuration, error) {
	patched := *document
	known := 0
	for _, section := range sections {
		change, ok := delta[section.title()]
		if !ok {
			continue
		}
		known++
		if err := section.patch(&patched, change); err != nil {
			return nil, err
		}
	}
	if known != len(delta) {
		return nil, Error.New("the delta has a section that this version does not know")
	}
	return &patched, nil
}

func (list list[T]) title() string { return list.name }

func (list list[T]) normalise(document *scheduler.Configuration) {
	field := list.at(document)
	elements := slices.Clone(*field)
	if list.tidy != nil {
		for i := range elements {
			list.tidy(&elements[i])
		}
	}
	list.sort(elements)
	*field = elements
}

func (list list[T]) sort(elements []T) {
	slices.SortStableFunc(elements, func(a, b T) int { return cmp.Compare(list.key(&a), list.key(&b)) })
}

func (list list[T]) index(document *scheduler.Configuration) map[string]*T {
	elements := *list.at(document)
	index := make(map[string]*T, len(elements))
	for i := range elements {
		index[list.key(&elements[i])] = &elements[i]
	}
	return index
}

func (list list[T]) delta(from, to *scheduler.Configuration) (SectionDelta, error) {
	var change SectionDelta
	before, after := list.index(from), list.index(to)
	elements := *list.at(to)
	for i := range elements {
		old, ok := before[list.key(&elements[i])]
		if ok && reflect.DeepEqual(*old, elements[i]) {
			continue
		}
		encoded, err := encoder.Marshal(elements[i])
		if err != nil {
			return change, Error.Wrap(err)
		}
		change.Put = append(change.Put, encoded)
	}
	removed := *list.at(from)
	for i := range removed {
		if key := list.key(&removed[i]); after[key] == nil {
			change.Remove = append(change.Remove, key)
		}
	}
	return change, nil
}

func (list list[T]) patch(document *scheduler.Configuration, change SectionDelta) error {
	index := list.index(document)
	for _, key := range change.Remove {
		if index[key] == nil {
			return Error.New("the delta removes %s %q, which the document does not have", list.name, key)
		}
		delete(index, key)
	}
	for _, encoded := range change.Put {
		var element T
		if err := encoder.Unmarshal(encoded, &element); err != nil {
			return Error.New("element of %s: %w", list.name, err)
		}
		index[list.key(&element)] = &element
	}
	var elements []T
	for _, element := range index {
		elements = append(elements, *element)
	}
	list.sort(elements)
	*list.at(document) = elements
	return nil
}
