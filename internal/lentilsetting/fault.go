package lentilsetting

import (
	"fmt"
	"slices"
	"strings"

	"lentilstair.example/lentilstair/internal/lentilcode"
)

//go:generate stringer -type=Kind

// Kind is what is wrong with a field.
type Kind uint16

// The kinds of faults. Their numbers are stable: add new ones at the end.
const (
	NotJSON Kind = iota + 1001
	UnknownField
	MissingField
	WrongType
	BadAddress
	NotIPv4
	DoubledField
	BadDuration
	OutOfRange
	NotAllowed
	BadName
	BadURL
	UnreadableFile
	BadSecret
	Clash
	EmptyList
	BadCertificate
)

var kindDocs = map[Kind]lentilcode.Doc{
	NotJSON: {Title: "not JSON", Text: "The file is not one JSON object. The reason names the line; comments and trailing " +
		"commas are not allowed.", Example: `{"name": "entry-1"}`},
	UnknownField: {Title: "unknown field", Text: "No field of this name exists here. The case of letters counts. Look for the right name in " +
		"docs/settings.md.", Example: `"adminAddress": "10.0.0.1:9000"`},
	MissingField: {Title: "missing field", Text: "The field has no default and must be given.", Example: `"name": "entry-1"`},
	WrongType: {Title: "wrong type", Text: "The value is of another JSON type than the field: a text instead of a number, or an object " +
		"instead of a list.", Example: `"keys": [{"id": 1, "secretFile": "key-1"}]`},
	BadAddress: {Title: "not an address", Text: "The value is not an IP address, or not an IP address with a port where one is needed. Names " +
		"are not resolved.", Example: `"controlAddress": "10.0.0.1:9001"`},
	NotIPv4: {Title: "not an IPv4 address", Text: "The tunnel address travels in every connection ID, where only the four bytes of an IPv4 " +
		"address fit, and other processes must be able to reach it.", Example: `"tunnelAddress": "10.0.0.1:9002"`},
	DoubledField: {Title: "field given twice", Text: "The same field stands twice in one object; which one is meant can't be known.",
		Example: `{"name": "entry-1"}`},
	BadDuration: {Title: "not a duration", Text: "A duration is a text of a number and a unit: ms, s, m or h.", Example: `"stopGrace": "30s"`},
	OutOfRange:  {Title: "out of range", Text: "The number or duration is outside the range that the reason gives.", Example: `"id": 1`},
	NotAllowed:  {Title: "not one of the allowed values", Text: "The field takes one of a few values; the reason lists them.", Example: `"level": "info"`},
	BadName: {Title: "not a name", Text: "A name has 1 to 63 lower-case letters, digits and hyphens, and begins and ends with a letter " +
		"or digit.", Example: `"copy": "iscrizioni-3"`},
	BadURL: {Title: "not a URL", Text: "The value is not an absolute http or https URL without user, query and fragment.",
		Example: `"url": "http://10.0.0.9:8080"`},
	UnreadableFile: {Title: "file can't be read", Text: "The file does not exist or the process may not read it. A relative path is taken from " +
		"the directory of the settings file.", Example: `"secretFile": "/etc/lentilstair/key-1"`},
	BadSecret: {Title: "bad secret", Text: "A secret is at least 16 random bytes in base64, as `head -c 32 /dev/urandom | base64` makes.",
		Example: `"secret": "c2l4dGVlbiBieXRlcyBhdCBsZWFzdA=="`},
	Clash: {Title: "fields clash", Text: "Two fields exclude each other, or two values that must differ are the same. The reason names the other " +
		"one.", Example: `"tunnelAddress": "10.0.0.1:9002", "adminAddress": "10.0.0.1:9000"`},
	EmptyList:      {Title: "empty list", Text: "The list needs at least one entry.", Example: `"balancers": ["10.0.0.1:9001"]`},
	BadCertificate: {Title: "bad certificate", Text: "The certificate and key files are not a matching pair in PEM.", Example: `"tls": {"certificateFile": "cert.pem", "keyFile": "key.pem"}`},
}

// Codes returns an entry for each kind of fault, by number.
func Codes() []lentilcode.Doc {
	out := make([]lentilcode.Doc, 0, len(kindDocs))
	for kind := NotJSON; kind <= BadCertificate; kind++ {
		doc := kindDocs[kind]
		doc.Code = kind.Code()
		out = append(out, doc)
	}
	return out
}

// Code returns the code under which the kind is documented, such as LS1001.
func (k Kind) Code() string { return fmt.Sprintf("LS%d", uint16(k)) }

// FieldError is one thing that is wrong with settings.
type FieldError struct {
	kind   Kind
	field  string
	reason string
	// example overrides that of the kind.
	example string
}

// Kind returns what is wrong.
func (f FieldError) Kind() Kind { return f.kind }

// Field returns the path of the field, such as "keys[0].secret".
func (f FieldError) Field() string { return f.field }

// Reason says what is wrong with this value. It never holds a secret.
func (f FieldError) Reason() string { return f.reason }

// Example returns a right form.
func (f FieldError) Example() string {
	if f.example != "" {
		return f.example
	}
	return kindDocs[f.kind].Example
}

// FieldErrorDoc is the written form of a fault.
type FieldErrorDoc struct {
	Code    string `json:"code"`
	Title   string `json:"title"`
	Field   string `json:"field"`
	Reason  string `json:"reason"`
	Example string `json:"example"`
}

// Doc returns the written form.
func (f FieldError) Doc() FieldErrorDoc {
	return FieldErrorDoc{Code: f.kind.Code(), Title: kindDocs[f.kind].Title, Field: f.field, Reason: f.reason, Example: f.Example()}
}

// String returns the fault in one line.
func (f FieldError) String() string {
	return fmt.Sprintf("%s %s: %s: %s; for example %s", f.kind.Code(), f.field, kindDocs[f.kind].Title, f.reason, f.Example())
}

// ValidationError is the error that names everything that is wrong with settings.
type ValidationError struct {
	file        string
	fieldErrors []FieldError
}

// File returns the name of the settings file, or "" if the settings came without one.
func (f *ValidationError) File() string { return f.file }

// FieldErrors returns the faults, in the order of the file where it has one.
func (f *ValidationError) FieldErrors() []FieldError { return f.fieldErrors }

// Error returns all faults, one a line.
func (f *ValidationError) Error() string {
	lines := make([]string, 0, len(f.fieldErrors)+1)
	lines = append(lines, fmt.Sprintf("settings %s: number of faults: %d", f.file, len(f.fieldErrors)))
	for _, fault := range f.fieldErrors {
		lines = append(lines, "  "+fault.String())
	}
	return strings.Join(lines, "\n")
}

// errorCollector gathers faults while settings are checked.
type errorCollector struct {
	fieldErrors []FieldError
}

func (c *errorCollector) add(kind Kind, field, format string, values ...any) {
	c.fieldErrors = append(c.fieldErrors, FieldError{kind: kind, field: field, reason: fmt.Sprintf(format, values...)})
}

// hasError reports whether a fault of the field is known already.
func (c *errorCollector) hasError(field string) bool {
	return slices.ContainsFunc(c.fieldErrors, func(f FieldError) bool { return f.field == field })
}

// setExamples gives the faults from the given one on the example of a field, which
// fits better than that of their kind.
func (c *errorCollector) setExamples(from int, f field) {
	for i := from; i < len(c.fieldErrors); i++ {
		if c.fieldErrors[i].example == "" && c.fieldErrors[i].kind != UnknownField {
			c.fieldErrors[i].example = fmt.Sprintf("%q: %s", f.name, f.example)
		}
	}
}
