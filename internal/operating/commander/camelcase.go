package commander

import (
	"reflect"
	"unicode"
)

// camelCaseKeys converts structs of the generated clients, which have no JSON tags, into maps with
// camelCase keys. Keys of maps are data and are not converted.
func camelCaseKeys(value any) any {
	return convertValue(reflect.ValueOf(value))
}

func convertValue(value reflect.Value) any {
	switch value.Kind() {
	case reflect.Pointer, reflect.Interface:
		if value.IsNil() {
			return nil
		}
		return convertValue(value.Elem())
	case reflect.Struct:
		return convertStruct(value)
	case reflect.Slice:
		items := make([]any, value.Len())
		for index := range items {
			items[index] = convertValue(value.Index(index))
		}
		return items
	case reflect.Map:
		entries := map[string]any{}
		for _, key := range value.MapKeys() {
			entries[key.String()] = convertValue(value.MapIndex(key))
		}
		return entries
	case reflect.Invalid:
		return nil
	default:
		return value.Interface()
	}
}

func convertStruct(value reflect.Value) map[string]any {
	fields := map[string]any{}
	for index := range value.NumField() {
		field := value.Type().Field(index)
		content := value.Field(index)
		isOptional := content.Kind() == reflect.Pointer || content.Kind() == reflect.Interface
		if !field.IsExported() || field.Name == "Token" || (isOptional && content.IsNil()) {
			continue
		}
		fields[camelCaseName(field.Name)] = convertValue(content)
	}
	return fields
}

// camelCaseName converts the leading initialism or capital of a Go name to lower case: VM becomes vm,
// ChangeID becomes changeID.
func camelCaseName(name string) string {
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
