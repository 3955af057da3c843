package commander

import (
	"reflect"
	"unicode"
)

// camelValue converts structs of the generated clients, which have no JSON names, into maps with
// camel case keys. Keys of maps are data and stay as they are.
func camelValue(value any) any {
	return camel(reflect.ValueOf(value))
}

func camel(value reflect.Value) any {
	switch value.Kind() {
	case reflect.Pointer, reflect.Interface:
		if value.IsNil() {
			return nil
		}
		return camel(value.Elem())
	case reflect.Struct:
		return camelStruct(value)
	case reflect.Slice:
		items := make([]any, value.Len())
		for index := range items {
			items[index] = camel(value.Index(index))
		}
		return items
	case reflect.Map:
		entries := map[string]any{}
		for _, key := range value.MapKeys() {
			entries[key.String()] = camel(value.MapIndex(key))
		}
		return entries
	case reflect.Invalid:
		return nil
	default:
		return value.Interface()
	}
}

func camelStruct(value reflect.Value) map[string]any {
	fields := map[string]any{}
	for index := range value.NumField() {
		field := value.Type().Field(index)
		content := value.Field(index)
		isOptional := content.Kind() == reflect.Pointer || content.Kind() == reflect.Interface
		if !field.IsExported() || field.Name == "Token" || (isOptional && content.IsNil()) {
			continue
		}
		fields[camelName(field.Name)] = camel(content)
	}
	return fields
}

// camelName lowers the leading capitals of a Go name: VM becomes vm, ChangeID becomes changeID.
func camelName(name string) string {
	runes := []rune(name)
	for index := range runes {
		isLast := index+1 == len(runes)
		if index > 0 && !isLast && unicode.IsLower(runes[index+1]) {
			break
		}
		if !unicode.IsUpper(runes[index]) {
			break
		}
		runes[index] = unicode.ToLower(runes[index])
	}
	return string(runes)
}
