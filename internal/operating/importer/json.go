package importer

import (
	"fmt"
	"strings"

	"github.com/tailscale/hujson"
)

// readJSON parses the rows of a JSON file.
func (file *file) readJSON() []row {
	root, err := hujson.Parse(file.data)
	if err != nil {
		line, column := 1, 1
		// The parser reports the position only in the error message.
		_, _ = fmt.Sscanf(err.Error(), "hujson: line %d, column %d:", &line, &column)
		file.addFault(file.lineStart(line)+column-1, "%v", err)
		return nil
	}
	list, ok := root.Value.(*hujson.Array)
	if !ok {
		file.addFault(root.StartOffset, "the file must be a list of objects")
		return nil
	}
	var rows []row
	for _, element := range list.Elements {
		object, ok := element.Value.(*hujson.Object)
		if !ok {
			file.addFault(element.StartOffset, "the list must contain only objects")
			continue
		}
		rows = append(rows, file.jsonRow(element.StartOffset, object))
	}
	return rows
}

func (file *file) jsonRow(offset int, object *hujson.Object) row {
	parsed := row{offset: offset, cells: map[string]cell{}}
	seen := map[string]bool{}
	for _, member := range object.Members {
		name := member.Name.Value.(hujson.Literal).String()
		if seen[name] {
			file.addFault(member.Name.StartOffset, "key %q is duplicated", name)
			continue
		}
		seen[name] = true
		if !file.checkColumn(member.Name.StartOffset, name) {
			continue
		}
		text, ok := file.jsonText(name, member.Value)
		if ok && text != "" {
			parsed.cells[name] = cell{offset: member.Value.StartOffset, text: text}
		}
	}
	return parsed
}

// jsonText converts a value to its CSV form.
func (file *file) jsonText(column string, value hujson.Value) (string, bool) {
	switch content := value.Value.(type) {
	case hujson.Literal:
		switch content.Kind() {
		case 'n':
			return "", true
		case '"':
			return content.String(), true
		default:
			return string(content), true
		}
	case *hujson.Array:
		if column == columnRoles || column == columnMayHost {
			return file.jsonList(content)
		}
	case *hujson.Object:
		if column == columnLabels {
			return file.jsonLabels(content)
		}
	}
	file.addFault(value.StartOffset, "%s: a list or an object is not allowed here", column)
	return "", false
}

func (file *file) jsonList(list *hujson.Array) (string, bool) {
	var entries []string
	for _, element := range list.Elements {
		text, ok := file.jsonEntry(element)
		if !ok {
			return "", false
		}
		entries = append(entries, text)
	}
	return strings.Join(entries, listSeparator), true
}

func (file *file) jsonLabels(object *hujson.Object) (string, bool) {
	var entries []string
	for _, member := range object.Members {
		name, ok := file.jsonEntry(member.Name)
		if !ok {
			return "", false
		}
		if strings.Contains(name, labelSeparator) {
			file.addFault(member.Name.StartOffset, "a label's key cannot contain %q", labelSeparator)
			return "", false
		}
		text, ok := file.jsonEntry(member.Value)
		if !ok {
			return "", false
		}
		entries = append(entries, name+labelSeparator+text)
	}
	return strings.Join(entries, listSeparator), true
}

func (file *file) jsonEntry(value hujson.Value) (string, bool) {
	literal, ok := value.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' || strings.Contains(literal.String(), listSeparator) {
		file.addFault(value.StartOffset, "expected a string without %q", listSeparator)
		return "", false
	}
	return literal.String(), true
}
