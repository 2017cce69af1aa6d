package lentilfinding

import (
	"bytes"
	"encoding"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"reflect"
	"sort"
	"strconv"
	"strings"
)

// MaxBytes is the maximum size of a configuration file. A document of the HTTP/3 path with the
// largest number of copies and services and two rules for each service has 14.5 MB, and 21.2 MB with
// an indentation of two spaces.
const MaxBytes = 32 << 20

const (
	// maxValues is the maximum number of values in known fields. It bounds the memory for a file of
	// empty objects, of which MaxBytes hold 10 million: 1.5 million empty routes of packet flows take
	// 2.2 GB, 3 million 4.3 GB. The document above has 0.8 million values.
	maxValues = 1_500_000
	// maxQuoted is the maximum number of bytes of a value or name from the file in a reason or path.
	maxQuoted = 80
	// stdin is the name that stands for standard input.
	stdin = "-"
)

// Source is a scanned configuration file.
type Source struct {
	name string
	data []byte
	// lines holds the offset at which each line starts.
	lines []int
	// offsets holds the offset of the value of each known field that the file has, by path, and of
	// fields with a finding.
	offsets map[string]int
	// values is the number of values scanned, and maxValues the one at which the scan ends.
	values    int
	maxValues int
	// fields holds the fields of the struct types of the scanned form.
	fields map[reflect.Type][]reflect.StructField
	collector
}

// Read reads a file, or stdin if the name is "-", and scans it as the JSON form of doc. It adds
// findings for errors of syntax and types and for unknown and duplicate fields.
func Read(name string, in io.Reader, doc any) *Source {
	data, err := readFile(name, in)
	if err != nil {
		s := &Source{name: name}
		s.add(Finding{Kind: UnreadableFile, Reason: err.Error()})
		return s
	}
	return Scan(name, data, doc)
}

func readFile(name string, in io.Reader) (data []byte, err error) {
	if name != stdin {
		file, err := os.Open(name) // #nosec G304 -- the operator names the file
		if err != nil {
			return nil, err
		}
		defer func() { _ = file.Close() }()
		in = file
	}
	data, err = io.ReadAll(io.LimitReader(in, MaxBytes+1))
	if err == nil && len(data) > MaxBytes {
		err = fmt.Errorf("the file has more than %d bytes", MaxBytes)
	}
	return data, err
}

// Scan scans data as the JSON form of doc.
func Scan(name string, data []byte, doc any) *Source { return scan(name, data, doc, maxValues) }

func scan(name string, data []byte, doc any, maxValues int) *Source {
	s := &Source{name: name, data: data, maxValues: maxValues, offsets: make(map[string]int), fields: make(map[reflect.Type][]reflect.StructField)}
	s.lines = []int{0}
	for i, b := range data {
		if b == '\n' {
			s.lines = append(s.lines, i+1)
		}
	}
	var raw json.RawMessage
	if err := json.Unmarshal(data, &raw); err != nil {
		s.addSyntaxError(err)
		return s
	}
	start := len(data) - len(bytes.TrimLeft(data, " \t\r\n"))
	if kindOf(raw) != jsonObject {
		s.offsets[""] = start
		s.addf(WrongType, "", "the file holds %s, not an object", kindOf(raw))
		return s
	}
	s.scanObject("", raw, start, reflect.TypeOf(doc))
	return s
}

// Data returns the content of the file. It is empty if the file can't be read.
func (s *Source) Data() []byte { return s.data }

// Has reports whether the file has a value other than null for a known field.
func (s *Source) Has(path string) bool {
	offset, ok := s.offsets[path]
	return ok && s.data[offset] != 'n'
}

// Decodable reports whether the scan has found no error, so that the file can be decoded.
func (s *Source) Decodable() bool { return s.errors == 0 }

// AddDecodeError adds an error of the product's decoder that the scan has not found.
func (s *Source) AddDecodeError(err error) { s.addf(WrongType, "", "%s", shorten(err.Error())) }

// place returns the position of a field. If the file doesn't have the field, it is the position
// of the object that lacks it.
func (s *Source) place(path string) (place Place, known bool) {
	for {
		if offset, ok := s.offsets[path]; ok {
			line := sort.SearchInts(s.lines, offset+1)
			return Place{Line: line, Column: offset - s.lines[line-1] + 1}, true
		}
		if path == "" {
			return Place{}, false
		}
		path = path[:max(0, strings.LastIndexAny(path, ".["))]
	}
}

func (s *Source) addSyntaxError(err error) {
	offset := len(s.data)
	var syntax *json.SyntaxError
	reason := err.Error()
	switch {
	case len(bytes.TrimSpace(s.data)) == 0:
		reason = "the file is empty"
	case errors.As(err, &syntax) && int(syntax.Offset) <= len(s.data) && reason != "unexpected end of JSON input":
		offset = max(0, int(syntax.Offset)-1)
	}
	path := pathBefore(s.data[:offset])
	s.offsets[path] = offset
	s.addf(NotJSON, path, "%s", reason)
}

// pathBefore returns the path of the field in which the beginning of a JSON text ends. It is ""
// if the text ends in no field.
func pathBefore(data []byte) string {
	type level struct {
		list  bool
		index int
		name  string
		value bool // whether the next token of an object is a value
	}
	var levels []level
	decoder := json.NewDecoder(bytes.NewReader(data))
	for {
		token, err := decoder.Token()
		if err != nil {
			break
		}
		last := len(levels) - 1
		if last >= 0 && !levels[last].list && !levels[last].value && token != json.Delim('}') {
			name, _ := token.(string)
			levels[last].name, levels[last].value = name, true
			continue
		}
		if token == json.Delim('{') || token == json.Delim('[') {
			levels = append(levels, level{list: token == json.Delim('[')})
			continue
		}
		if token == json.Delim('}') || token == json.Delim(']') {
			levels = levels[:last]
			last--
		}
		if last >= 0 {
			levels[last].index++
			levels[last].value = false
		}
	}
	path := ""
	for _, l := range levels[:min(len(levels), maxPathLevels)] {
		if l.list {
			path += "[" + strconv.Itoa(l.index) + "]"
		} else if l.name != "" {
			path = childPath(path, l.name)
		}
	}
	return path
}

// maxPathLevels is the maximum number of levels in the path of a syntax error. Paths of known
// fields have at most 5; deeper levels belong to unknown fields.
const maxPathLevels = 16

// The kinds of JSON values, as reasons name them.
const (
	jsonObject = "an object"
	jsonList   = "a list"
	jsonString = "a string"
	jsonBool   = "true or false"
	jsonNull   = "null"
	jsonNumber = "a number"
)

// kindOf returns the kind of a valid JSON value.
func kindOf(raw []byte) string {
	switch raw = bytes.TrimLeft(raw, " \t\r\n"); raw[0] {
	case '{':
		return jsonObject
	case '[':
		return jsonList
	case '"':
		return jsonString
	case 't', 'f':
		return jsonBool
	case 'n':
		return jsonNull
	default:
		return jsonNumber
	}
}

// scanValue scans a valid JSON value that starts at offset as the JSON form of type t.
func (s *Source) scanValue(path string, raw json.RawMessage, offset int, t reflect.Type) {
	s.offsets[path] = offset
	if s.values++; s.values == s.maxValues {
		s.addf(UnreadableFile, path, "the file has at least %d values up to here, more than the check reads", s.maxValues)
	}
	decodesItself := reflect.PointerTo(t).Implements(reflect.TypeFor[json.Unmarshaler]()) || reflect.PointerTo(t).Implements(reflect.TypeFor[encoding.TextUnmarshaler]())
	want := ""
	switch {
	case kindOf(raw) == jsonNull:
		return
	case !decodesItself && t.Kind() == reflect.Struct:
		want = jsonObject
	case !decodesItself && t.Kind() == reflect.Slice:
		want = jsonList
	default:
		if err := json.Unmarshal(raw, reflect.New(t).Interface()); err != nil {
			s.addf(WrongType, path, "%s", typeReason(raw, t, err))
		}
		return
	}
	switch got := kindOf(raw); {
	case got != want:
		s.addf(WrongType, path, "the value is %s, not %s", got, want)
	case want == jsonObject:
		s.scanObject(path, raw, offset, t)
	default:
		s.scanList(path, raw, offset, t.Elem())
	}
}

// typeReason says why a value can't be decoded as type t.
func typeReason(raw json.RawMessage, t reflect.Type, err error) string {
	var wrongType *json.UnmarshalTypeError
	if !errors.As(err, &wrongType) {
		return shorten(err.Error())
	}
	want := t.String()
	switch t.Kind() {
	case reflect.String:
		want = jsonString
	case reflect.Bool:
		want = jsonBool
	case reflect.Float32, reflect.Float64:
		want = "a number in the range of the field"
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		want = fmt.Sprintf("a whole number of %d bits", t.Bits())
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		want = fmt.Sprintf("a whole number within 0 to %d", ^uint64(0)>>(64-t.Bits()))
	}
	return fmt.Sprintf("the value is %s, not %s", shorten(string(raw)), want)
}

// scanObject scans the members of an object. It continues inside known fields only, so the depth
// of the recursion is that of the type.
func (s *Source) scanObject(path string, raw json.RawMessage, offset int, t reflect.Type) {
	s.offsets[path] = offset
	seen := make(map[string]bool)
	decoder := json.NewDecoder(bytes.NewReader(raw))
	_, _ = decoder.Token()
	for decoder.More() && s.values < s.maxValues {
		between := raw[decoder.InputOffset():]
		nameOffset := offset + len(raw) - len(bytes.TrimLeft(between, " \t\r\n,"))
		token, err := decoder.Token()
		if err != nil {
			return
		}
		name, _ := token.(string)
		value, start, err := nextValue(decoder)
		if err != nil {
			return
		}
		field, known := s.fieldOf(t, name)
		if !known {
			unknown := childPath(path, name)
			if !s.full(UnknownField) {
				s.offsets[unknown] = nameOffset
			}
			s.addf(UnknownField, unknown, "the object has no such field; its fields are %s", strings.Join(s.fieldNames(t), ", "))
			continue
		}
		child := childPath(path, jsonName(field))
		if seen[child] {
			s.addf(DuplicateField, child, "the object has the field more than once")
		}
		seen[child] = true
		s.scanValue(child, value, offset+start, field.Type)
	}
}

func (s *Source) scanList(path string, raw json.RawMessage, offset int, element reflect.Type) {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	_, _ = decoder.Token()
	for i := 0; decoder.More() && s.values < s.maxValues; i++ {
		value, start, err := nextValue(decoder)
		if err != nil {
			return
		}
		s.scanValue(path+"["+strconv.Itoa(i)+"]", value, offset+start, element)
	}
}

// nextValue returns the next value of an object or list, and its offset in the decoder's input.
func nextValue(decoder *json.Decoder) (value json.RawMessage, start int, err error) {
	err = decoder.Decode(&value)
	return value, int(decoder.InputOffset()) - len(value), err
}

// fieldsOf returns the fields of a struct type that encoding/json uses.
func (s *Source) fieldsOf(t reflect.Type) []reflect.StructField {
	fields, known := s.fields[t]
	if !known {
		for _, f := range reflect.VisibleFields(t) {
			if !f.Anonymous && f.IsExported() {
				fields = append(fields, f)
			}
		}
		s.fields[t] = fields
	}
	return fields
}

// fieldOf returns the field of a struct type that encoding/json decodes a member into. Like
// encoding/json, it prefers the exact name and else ignores case.
func (s *Source) fieldOf(t reflect.Type, name string) (field reflect.StructField, known bool) {
	for _, f := range s.fieldsOf(t) {
		if jsonName(f) == name {
			return f, true
		}
	}
	for _, f := range s.fieldsOf(t) {
		if strings.EqualFold(jsonName(f), name) {
			return f, true
		}
	}
	return field, false
}

func (s *Source) fieldNames(t reflect.Type) (names []string) {
	for _, f := range s.fieldsOf(t) {
		names = append(names, jsonName(f))
	}
	return names
}

func jsonName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	if name == "" {
		return field.Name
	}
	return name
}

// childPath returns the path of an object's field. Names from the file that aren't identifiers
// are quoted.
func childPath(path, name string) string {
	plain := name != "" && strings.IndexFunc(name, func(r rune) bool {
		return (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') && (r < '0' || r > '9') && r != '_' && r != '-'
	}) < 0
	if !plain {
		name = strconv.QuoteToASCII(name)
	}
	name = shorten(name)
	if path == "" {
		return name
	}
	return path + "." + name
}

// shorten returns a text without line breaks and of bounded length.
func shorten(text string) string {
	text = strings.Join(strings.Fields(text), " ")
	if len(text) > maxQuoted {
		return strings.ToValidUTF8(text[:maxQuoted], "") + "..."
	}
	return text
}
