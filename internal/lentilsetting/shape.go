package lentilsetting

import (
	"encoding/json"
	"fmt"
	"strings"
)

// field describes one field of the settings. The tables of fields check the
// settings and give the reference in docs/settings.md.
type field struct {
	name        string
	description string
	// example is a right value in JSON.
	example string
	// defaultText is the default in words or JSON; empty if the field has none.
	defaultText string
	required    bool
	// members describe an object, or the objects of a list.
	members []field
	// isList is true for a list of values or of objects.
	isList bool
	// check finds what is wrong with a value that is no object.
	check checkFunc
}

// checkFunc adds the faults of a value at the given path.
type checkFunc func(c *errorCollector, path string, value any)

// checkObject adds the faults of value, which should be an object with the given fields.
func checkObject(c *errorCollector, path string, value any, fields []field) {
	members, ok := value.(object)
	if !ok {
		c.add(WrongType, pathOrWholeFile(path), "%s stands where an object is needed", typeName(value))
		return
	}
	given := make(map[string]bool, len(members))
	for _, m := range members {
		at := joinPath(path, m.name)
		f := findField(fields, m.name)
		switch {
		case f == nil:
			c.add(UnknownField, at, "%s", unknownFieldReason(fields, m.name))
		case given[m.name]:
			c.add(DoubledField, at, "the field stands twice")
		default:
			before := len(c.fieldErrors)
			checkField(c, at, m.value, *f)
			c.setExamples(before, *f)
		}
		given[m.name] = true
	}
	for _, f := range fields {
		if f.required && !given[f.name] {
			before := len(c.fieldErrors)
			c.add(MissingField, joinPath(path, f.name), "the field is needed")
			c.setExamples(before, f)
		}
	}
}

func checkField(c *errorCollector, path string, value any, f field) {
	if !f.isList {
		checkValue(c, path, value, f)
		return
	}
	values, ok := value.(list)
	if !ok {
		c.add(WrongType, path, "%s stands where a list is needed", typeName(value))
		return
	}
	if f.required && len(values) == 0 {
		c.add(EmptyList, path, "the list is empty")
	}
	for i, value := range values {
		checkValue(c, fmt.Sprintf("%s[%d]", path, i), value, f)
	}
}

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

// unknownFieldReason says which fields exist, or which one differs from name only by case.
func unknownFieldReason(fields []field, name string) string {
	names := make([]string, 0, len(fields))
	for _, f := range fields {
		if strings.EqualFold(f.name, name) {
			return "did you mean " + f.name + "?"
		}
		names = append(names, f.name)
	}
	return "the fields here are " + strings.Join(names, ", ")
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func pathOrWholeFile(path string) string {
	if path == "" {
		return wholeFile
	}
	return path
}

func typeName(value any) string {
	switch value.(type) {
	case object:
		return "an object"
	case list:
		return "a list"
	case string:
		return "a text"
	case json.Number:
		return "a number"
	case bool:
		return "true or false"
	default:
		return "null"
	}
}
