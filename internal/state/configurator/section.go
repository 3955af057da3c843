package configurator

import (
	"cmp"
	"reflect"
	"slices"

	"github.com/crocusplank/crocusplank/internal/basics/encoder"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
	"github.com/fxamacker/cbor/v2"
)

// Delta is a patch that turns one revision of the document into another, keyed by the name of the
// section. It is a wire type.
type Delta map[string]SectionDelta

// SectionDelta contains the added and changed elements of one list and the names of the removed ones.
// It is a wire type.
type SectionDelta struct {
	Put    []cbor.RawMessage `cbor:"put,omitempty"`
	Remove []string          `cbor:"remove,omitempty"`
}

// section is one top-level list of the document, independent of its element type.
type section interface {
	documentField() string
	normalise(document *scheduler.Configuration)
	delta(from, to *scheduler.Configuration) (SectionDelta, error)
	patch(document *scheduler.Configuration, sectionDelta SectionDelta) error
	differences(from, to *scheduler.Configuration) ([]Difference, error)
}

// list implements section for elements of type T. key returns an element's name; canonicalise, if set,
// gives equivalent elements the same encoding.
type list[T any] struct {
	name         string
	elements     func(*scheduler.Configuration) *[]T
	key          func(*T) string
	canonicalise func(*T)
}

var sections = []section{
	list[scheduler.DataCentre]{
		name:     "dataCentres",
		elements: func(document *scheduler.Configuration) *[]scheduler.DataCentre { return &document.DataCentres },
		key:      func(dataCentre *scheduler.DataCentre) string { return string(dataCentre.Name) },
	},
	list[scheduler.Rack]{
		name:     "racks",
		elements: func(document *scheduler.Configuration) *[]scheduler.Rack { return &document.Racks },
		key:      func(rack *scheduler.Rack) string { return rack.Name },
	},
	list[scheduler.VM]{
		name:         "vms",
		elements:     func(document *scheduler.Configuration) *[]scheduler.VM { return &document.VMs },
		key:          func(vm *scheduler.VM) string { return string(vm.Name) },
		canonicalise: func(vm *scheduler.VM) { vm.Roles = slices.Sorted(slices.Values(vm.Roles)) },
	},
	list[scheduler.Worker]{
		name:     "workers",
		elements: func(document *scheduler.Configuration) *[]scheduler.Worker { return &document.Workers },
		key:      func(worker *scheduler.Worker) string { return string(worker.Name) },
		canonicalise: func(worker *scheduler.Worker) {
			if len(worker.Labels) == 0 {
				worker.Labels = nil
			}
		},
	},
	list[scheduler.Service]{
		name:     "services",
		elements: func(document *scheduler.Configuration) *[]scheduler.Service { return &document.Services },
		key:      func(service *scheduler.Service) string { return string(service.Name) },
		canonicalise: func(service *scheduler.Service) {
			service.Idempotency = cmp.Or(service.Idempotency, scheduler.IdempotencyByMethod)
		},
	},
	list[scheduler.Rule]{
		name:     "rules",
		elements: func(document *scheduler.Configuration) *[]scheduler.Rule { return &document.Rules },
		key:      func(rule *scheduler.Rule) string { return rule.Name },
	},
	list[scheduler.Team]{
		name:     "teams",
		elements: func(document *scheduler.Configuration) *[]scheduler.Team { return &document.Teams },
		key:      func(team *scheduler.Team) string { return string(team.Name) },
	},
}

// Normalise returns a copy of the document with sorted lists and explicit defaults, so that equivalent
// documents have equal encodings.
func Normalise(document *scheduler.Configuration) *scheduler.Configuration {
	normalised := *document
	for _, section := range sections {
		section.normalise(&normalised)
	}
	return &normalised
}

// NewDelta returns the patch that turns the normalised document from into to.
func NewDelta(from, to *scheduler.Configuration) (Delta, error) {
	delta := Delta{}
	for _, section := range sections {
		sectionDelta, err := section.delta(from, to)
		if err != nil {
			return nil, err
		}
		if len(sectionDelta.Put)+len(sectionDelta.Remove) > 0 {
			delta[section.documentField()] = sectionDelta
		}
	}
	return delta, nil
}

// Patch applies the delta to a copy of document. It returns an error if the delta was evidently made
// for another document, that is, if it removes an element that document does not have.
func (delta Delta) Patch(document *scheduler.Configuration) (*scheduler.Configuration, error) {
	patched := *document
	matched := 0
	for _, section := range sections {
		sectionDelta, ok := delta[section.documentField()]
		if !ok {
			continue
		}
		matched++
		if err := section.patch(&patched, sectionDelta); err != nil {
			return nil, err
		}
	}
	if matched != len(delta) {
		return nil, Error.New("the delta has a section that this version does not know")
	}
	return &patched, nil
}

func (list list[T]) documentField() string { return list.name }

func (list list[T]) normalise(document *scheduler.Configuration) {
	field := list.elements(document)
	elements := slices.Clone(*field)
	if list.canonicalise != nil {
		for i := range elements {
			list.canonicalise(&elements[i])
		}
	}
	list.sort(elements)
	*field = elements
}

func (list list[T]) sort(elements []T) {
	slices.SortStableFunc(elements, func(a, b T) int { return cmp.Compare(list.key(&a), list.key(&b)) })
}

func (list list[T]) index(document *scheduler.Configuration) map[string]*T {
	elements := *list.elements(document)
	index := make(map[string]*T, len(elements))
	for i := range elements {
		index[list.key(&elements[i])] = &elements[i]
	}
	return index
}

func (list list[T]) delta(from, to *scheduler.Configuration) (SectionDelta, error) {
	var sectionDelta SectionDelta
	before, after := list.index(from), list.index(to)
	elements := *list.elements(to)
	for i := range elements {
		old, ok := before[list.key(&elements[i])]
		if ok && reflect.DeepEqual(*old, elements[i]) {
			continue
		}
		encoded, err := encoder.Marshal(elements[i])
		if err != nil {
			return sectionDelta, Error.Wrap(err)
		}
		sectionDelta.Put = append(sectionDelta.Put, encoded)
	}
	removed := *list.elements(from)
	for i := range removed {
		if key := list.key(&removed[i]); after[key] == nil {
			sectionDelta.Remove = append(sectionDelta.Remove, key)
		}
	}
	return sectionDelta, nil
}

func (list list[T]) patch(document *scheduler.Configuration, sectionDelta SectionDelta) error {
	index := list.index(document)
	for _, key := range sectionDelta.Remove {
		if index[key] == nil {
			return Error.New("the delta removes %s %q, which the document does not have", list.name, key)
		}
		delete(index, key)
	}
	for _, encoded := range sectionDelta.Put {
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
	*list.elements(document) = elements
	return nil
}
