package lentilsetting

import (
	"encoding/json"
	"fmt"
	"strings"
)

// field describes one field of the settings. The tables of fields are used to
// validate settings and to generate the reference in docs/settings.md.
type field struct {
	name        string
	description string
	// example is a valid value in JSON.
	example string
	// defaultText is the default in JSON or in words. It is empty if the field has none.
	defaultText string
	required    bool
	// members are the fields of an object, or of the objects in a list.
	members []field
	// isList is true for a list of values or of objects.
	isList bool
	// check validates a value that is not an object.
	check checkFunc
}

// checkFunc validates a value and adds its errors under the given path.
type checkFunc func(c *errorCollector, path string, value any)

// checkObject validates a value that must be an object with the given fields.
func checkObject(c *errorCollector, path string, value any, fields []field) {
	members, ok := value.(object)
	if !ok {
		c.add(WrongType, pathOrWholeFile(path), "expected an object, got %s", typeName(value))
		return
	}
	given := make(map[string]bool, len(members))
	for _, m := range members {
		memberPath := joinPath(path, m.name)
		f := findField(fields, m.name)
		switch {
		case f == nil:
			c.add(UnknownField, memberPath, "%s", unknownFieldReason(fields, m.name))
		case given[m.name]:
			c.add(DoubledField, memberPath, "the field occurs more than once")
		default:
			before := len(c.fieldErrors)
			checkField(c, memberPath, m.value, *f)
			c.setExamples(before, *f)
		}
		given[m.name] = true
	}
	for _, f := range fields {
		if f.required && !given[f.name] {
			before := len(c.fieldErrors)
			c.add(MissingField, joinPath(path, f.name), "the field is required")
			c.setExamples(before, f)
		}
	}
}

// checkField validates the value of a field, which may be a list.
func checkField(c *errorCollector, path string, value any, f field) {
	if !f.isList {
		checkValue(c, path, value, f)
		return
	}
	values, ok := value.(list)
	if !ok {
		c.add(WrongType, path, "expected a list, got %s", typeName(value))
		return
	}
	if f.required && len(values) == 0 {
		c.add(EmptyList, path, "the list is empty")
	}
	for i, element := range values {
		checkValue(c, fmt.Sprintf("%s[%d]", path, i), element, f)
	}
}

// checkValue validates a value that is not a list, or an element of a list.
func checkValue(c *errorCollector, path string, value any, f field) {
	if f.members != nil {
		checkObject(c, path, value, f.members)
		return
	}
	f.check(c, path, value)
}

func findField(fields []field, name string) *field {
	for i := range fields {
		if fields[i].name == name {
			return &fields[i]
		}
	}
	return nil
}

// unknownFieldReason suggests the field that differs from name only by case, or lists
// the allowed fields.
func unknownFieldReason(fields []field, name string) string {
	names := make([]string, 0, len(fields))
	for _, f := range fields {
		if strings.EqualFold(f.name, name) {
			return "did you mean " + f.name + "?"
		}
		names = append(names, f.name)
	}
	return "the allowed fields are " + strings.Join(names, ", ")
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// pathOrWholeFile returns wholeFile for the empty path of the outermost object.
func pathOrWholeFile(path string) string {
	if path == "" {
		return wholeFile
	}
	return path
}

// typeName names the JSON type of a value in error messages.
func typeName(value any) string {
	switch value.(type) {
	case object:
		return "an object"
	case list:
		return "a list"
	case string:
		return "a string"
	case json.Number:
		return "a number"
	case bool:
		return "true or false"
	default:
		return "null"
	}
}
