package loader

import (
	"fmt"
	"net/netip"
	"reflect"
	"strconv"
	"time"

	"github.com/tailscale/hujson"
)

var (
	durationType = reflect.TypeFor[time.Duration]()
	addressType  = reflect.TypeFor[netip.AddrPort]()
)

// decode decodes a value of the file into target. It records faults and continues after them.
func (document *document) decode(value hujson.Value, target reflect.Value, path string) {
	document.offsets[path] = value.StartOffset
	switch {
	case target.Type() == durationType:
		document.decodeDuration(value, target, path)
	case target.Type() == addressType:
		document.decodeAddress(value, target, path)
	default:
		document.decodeKind(value, target, path)
	}
}

func (document *document) decodeKind(value hujson.Value, target reflect.Value, path string) {
	switch target.Kind() {
	case reflect.Pointer:
		target.Set(reflect.New(target.Type().Elem()))
		document.decode(value, target.Elem(), path)
	case reflect.Struct:
		document.decodeObject(value, target, path)
	case reflect.Slice:
		document.decodeArray(value, target, path)
	case reflect.String:
		if stringValue, ok := document.stringValue(value, path); ok {
			target.SetString(stringValue)
		}
	case reflect.Bool:
		if kind := value.Value.Kind(); kind != 't' && kind != 'f' {
			document.addFault(path, "want true or false, got %s", describeKind(value))
			return
		}
		target.SetBool(value.Value.Kind() == 't')
	case reflect.Int64:
		document.decodeInteger(value, target, path)
	default:
		panic(fmt.Sprintf("loader: settings field has unsupported type %s", target.Type()))
	}
}

func (document *document) decodeObject(value hujson.Value, target reflect.Value, path string) {
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		document.addFault(path, "want an object, got %s", describeKind(value))
		return
	}
	fields, known := fieldsOf(target)
	seen := map[string]bool{}
	for _, member := range object.Members {
		name := member.Name.Value.(hujson.Literal).String()
		field, found := fields[name]
		switch {
		case !found:
			document.addFaultAt(member.Name.StartOffset, "%s: unknown key, %s", joinPath(path, name), suggestion(name, known))
		case seen[name]:
			document.addFaultAt(member.Name.StartOffset, "%s: duplicate key", joinPath(path, name))
		default:
			seen[name] = true
			document.decode(member.Value, field, joinPath(path, name))
		}
	}
}

// fieldsOf returns the fields of a struct by JSON name, and the JSON names in field order.
func fieldsOf(target reflect.Value) (fields map[string]reflect.Value, names []string) {
	fields = map[string]reflect.Value{}
	for number := range target.NumField() {
		name := target.Type().Field(number).Tag.Get("json")
		fields[name] = target.Field(number)
		names = append(names, name)
	}
	return fields, names
}

func (document *document) decodeArray(value hujson.Value, target reflect.Value, path string) {
	array, ok := value.Value.(*hujson.Array)
	if !ok {
		document.addFault(path, "want an array, got %s", describeKind(value))
		return
	}
	list := reflect.MakeSlice(target.Type(), len(array.Elements), len(array.Elements))
	for number, element := range array.Elements {
		document.decode(element, list.Index(number), fmt.Sprintf("%s[%d]", path, number))
	}
	target.Set(list)
}

func (document *document) decodeInteger(value hujson.Value, target reflect.Value, path string) {
	literal, ok := value.Value.(hujson.Literal)
	if !ok || literal.Kind() != '0' {
		document.addFault(path, "want an integer, got %s", describeKind(value))
		return
	}
	number, err := strconv.ParseInt(string(literal), 10, 64)
	if err != nil {
		document.addFault(path, "want an integer of at most 64 bits, got %s", literal)
		return
	}
	target.SetInt(number)
}

func (document *document) decodeDuration(value hujson.Value, target reflect.Value, path string) {
	stringValue, ok := document.stringValue(value, path)
	if !ok {
		return
	}
	duration, err := time.ParseDuration(stringValue)
	if err != nil {
		document.addFault(path, `want a duration such as "15s" or "250ms", got %q`, stringValue)
		return
	}
	target.SetInt(int64(duration))
}

func (document *document) decodeAddress(value hujson.Value, target reflect.Value, path string) {
	stringValue, ok := document.stringValue(value, path)
	if !ok {
		return
	}
	address, err := netip.ParseAddrPort(stringValue)
	if err != nil {
		document.addFault(path, `want an IP address with a port such as "10.0.0.1:7100", got %q`, stringValue)
		return
	}
	if address.Addr().IsUnspecified() || address.Port() == 0 {
		document.addFault(path, "want the address of a single interface and a port above 0, got %q", stringValue)
	}
	target.Set(reflect.ValueOf(address))
}

// stringValue returns the contents of a JSON string. It reports a fault and false for a value of another type.
func (document *document) stringValue(value hujson.Value, path string) (string, bool) {
	literal, ok := value.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		document.addFault(path, "want a string in quotes, got %s", describeKind(value))
		return "", false
	}
	return literal.String(), true
}

func describeKind(value hujson.Value) string {
	names := map[hujson.Kind]string{
		'n': "null", 't': "true", 'f': "false", '"': "a string", '0': "a number", '{': "an object", '[': "an array",
	}
	return names[value.Value.Kind()]
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
