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

// decode stores a value of the file in target and goes on after faults.
func (document *document) decode(value hujson.Value, target reflect.Value, path string) {
	document.places[path] = value.StartOffset
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
		if text, ok := document.text(value, path); ok {
			target.SetString(text)
		}
	case reflect.Bool:
		if kind := value.Value.Kind(); kind != 't' && kind != 'f' {
			document.add(path, "want true or false, got %s", kindName(value))
			return
		}
		target.SetBool(value.Value.Kind() == 't')
	case reflect.Int64:
		document.decodeInteger(value, target, path)
	default:
		panic(fmt.Sprintf("loader: settings have a field of unsupported type %s", target.Type()))
	}
}

func (document *document) decodeObject(value hujson.Value, target reflect.Value, path string) {
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		document.add(path, "want an object, got %s", kindName(value))
		return
	}
	fields, known := fieldsOf(target)
	seen := map[string]bool{}
	for _, member := range object.Members {
		name := member.Name.Value.(hujson.Literal).String()
		field, found := fields[name]
		switch {
		case !found:
			document.addAt(member.Name.StartOffset, "%s: unknown key, %s", join(path, name), hint(name, known))
		case seen[name]:
			document.addAt(member.Name.StartOffset, "%s: key is given twice", join(path, name))
		default:
			seen[name] = true
			document.decode(member.Value, field, join(path, name))
		}
	}
}

// fieldsOf returns the fields of a struct by their JSON names, and the names in the order of the fields.
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
		document.add(path, "want a list, got %s", kindName(value))
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
		document.add(path, "want a whole number, got %s", kindName(value))
		return
	}
	number, err := strconv.ParseInt(string(literal), 10, 64)
	if err != nil {
		document.add(path, "want a whole number of at most 64 bits, got %s", literal)
		return
	}
	target.SetInt(number)
}

func (document *document) decodeDuration(value hujson.Value, target reflect.Value, path string) {
	text, ok := document.text(value, path)
	if !ok {
		return
	}
	duration, err := time.ParseDuration(text)
	if err != nil {
		document.add(path, `want a duration such as "15s" or "250ms", got %q`, text)
		return
	}
	target.SetInt(int64(duration))
}

func (document *document) decodeAddress(value hujson.Value, target reflect.Value, path string) {
	text, ok := document.text(value, path)
	if !ok {
		return
	}
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		document.add(path, `want an IP address with a port such as "10.0.0.1:7100", got %q`, text)
		return
	}
	if address.Addr().IsUnspecified() || address.Port() == 0 {
		document.add(path, "want the address of one interface and a port above 0, got %q", text)
	}
	target.Set(reflect.ValueOf(address))
}

// text returns a value that must be a text.
func (document *document) text(value hujson.Value, path string) (string, bool) {
	literal, ok := value.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		document.add(path, "want a text in quotes, got %s", kindName(value))
		return "", false
	}
	return literal.String(), true
}

func kindName(value hujson.Value) string {
	names := map[hujson.Kind]string{
		'n': "null", 't': "true", 'f': "false", '"': "a text", '0': "a number", '{': "an object", '[': "a list",
	}
	return names[value.Value.Kind()]
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
