package forecaster

import "container/list"

// recencyMap is a map that removes the entry that was stored or touched least recently when it is full.
type recencyMap[Key comparable, Value any] struct {
	limit    int
	elements map[Key]*list.Element
	// order holds the entries; the front one is the most recent.
	order *list.List
}

type recencyEntry[Key comparable, Value any] struct {
	key   Key
	value Value
}

func newRecencyMap[Key comparable, Value any](limit int) *recencyMap[Key, Value] {
	return &recencyMap[Key, Value]{limit: limit, elements: map[Key]*list.Element{}, order: list.New()}
}

// find returns the value of a key without touching it.
func (recencyMap *recencyMap[Key, Value]) find(key Key) (value Value, found bool) {
	element, found := recencyMap.elements[key]
	if !found {
		return value, false
	}
	return element.Value.(*recencyEntry[Key, Value]).value, true
}

// touch returns the value of a key, which is stored by create if there is none, as the most recent one.
func (recencyMap *recencyMap[Key, Value]) touch(key Key, create func() Value) Value {
	if element, found := recencyMap.elements[key]; found {
		recencyMap.order.MoveToFront(element)
		return element.Value.(*recencyEntry[Key, Value]).value
	}
	if recencyMap.order.Len() >= recencyMap.limit {
		oldest := recencyMap.order.Back()
		recencyMap.order.Remove(oldest)
		delete(recencyMap.elements, oldest.Value.(*recencyEntry[Key, Value]).key)
	}
	value := create()
	recencyMap.elements[key] = recencyMap.order.PushFront(&recencyEntry[Key, Value]{key: key, value: value})
	return value
}

// visit calls visit for each entry, the most recent one first, until it returns false.
func (recencyMap *recencyMap[Key, Value]) visit(visit func(key Key, value Value) bool) {
	for element := recencyMap.order.Front(); element != nil; element = element.Next() {
		entry := element.Value.(*recencyEntry[Key, Value])
		if !visit(entry.key, entry.value) {
			return
		}
	}
}
