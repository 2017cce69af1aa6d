package lentilsetting

import (
	"fmt"
	"slices"
	"strings"

	"lentilstair.example/lentilstair/internal/lentilcode"
)

//go:generate stringer -type=Kind

// Kind classifies the error of a field.
type Kind uint16

// The kinds of errors. Their numbers are stable: add new ones at the end.
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
	UnknownField: {Title: "unknown field", Text: "The object has no field of this name. Names are case-sensitive. For the list of fields, see " +
		"docs/settings.md.", Example: `"adminAddress": "10.0.0.1:9000"`},
	MissingField: {Title: "missing field", Text: "The field is required: it has no default.", Example: `"name": "entry-1"`},
	WrongType: {Title: "wrong type", Text: "The value has another JSON type than the field, such as a string instead of a number, or an object " +
		"instead of a list.", Example: `"keys": [{"id": 1, "secretFile": "key-1"}]`},
	BadAddress: {Title: "not an address", Text: "The value is not an IP address, or lacks a port where one is required. Host names " +
		"are not resolved.", Example: `"controlAddress": "10.0.0.1:9001"`},
	NotIPv4: {Title: "not an IPv4 address", Text: "Every connection ID contains the tunnel address and has room for only the four bytes of an IPv4 " +
		"address. Other processes must be able to reach the address.", Example: `"tunnelAddress": "10.0.0.1:9002"`},
	DoubledField: {Title: "duplicate field", Text: "The same field occurs more than once in an object, so its value is ambiguous.",
		Example: `{"name": "entry-1"}`},
	BadDuration: {Title: "not a duration", Text: "A duration is a string with a number and a unit: ms, s, m or h.", Example: `"stopGrace": "30s"`},
	OutOfRange:  {Title: "out of range", Text: "The number or duration is outside the range given in the reason.", Example: `"id": 1`},
	NotAllowed:  {Title: "not one of the allowed values", Text: "The reason lists the allowed values of the field.", Example: `"level": "info"`},
	BadName: {Title: "not a name", Text: "A name consists of 1 to 63 lower-case letters, digits and hyphens, and begins and ends with a letter " +
		"or digit. In the settings of packet flows it has 1 to 128 bytes and no spaces.", Example: `"copy": "iscrizioni-3"`},
	BadURL: {Title: "not a URL", Text: "The value must be an absolute http or https URL without user, query and fragment.",
		Example: `"url": "http://10.0.0.9:8080"`},
	UnreadableFile: {Title: "file can't be read", Text: "The file does not exist, or the process has no permission to read it. A relative path is resolved " +
		"against the directory of the settings file.", Example: `"secretFile": "/etc/lentilstair/key-1"`},
	BadSecret: {Title: "bad secret", Text: "A secret consists of at least 16 random bytes in base64. Create one with `head -c 32 /dev/urandom | base64`.",
		Example: `"secret": "c2l4dGVlbiBieXRlcyBhdCBsZWFzdA=="`},
	Clash: {Title: "conflicting fields", Text: "Two fields exclude each other, or two values that must differ are equal. The reason names the other " +
		"one.", Example: `"tunnelAddress": "10.0.0.1:9002", "adminAddress": "10.0.0.1:9000"`},
	EmptyList:      {Title: "empty list", Text: "The list must have at least one entry.", Example: `"balancers": ["10.0.0.1:9001"]`},
	BadCertificate: {Title: "bad certificate", Text: "The certificate and key files are not a matching pair of PEM files.", Example: `"tls": {"certificateFile": "cert.pem", "keyFile": "key.pem"}`},
}

// Codes returns the documentation of each kind of error, ordered by number.
func Codes() []lentilcode.Doc {
	docs := make([]lentilcode.Doc, 0, len(kindDocs))
	for kind := NotJSON; kind <= BadCertificate; kind++ {
		doc := kindDocs[kind]
		doc.Code = kind.Code()
		docs = append(docs, doc)
	}
	return docs
}

// Code returns the code under which the kind is documented, such as LS1001.
func (k Kind) Code() string { return fmt.Sprintf("LS%d", uint16(k)) }

// FieldError describes one invalid field of a settings file.
type FieldError struct {
	kind   Kind
	field  string
	reason string
	// example overrides the example of the kind.
	example string
}

// Kind returns the class of the error.
func (f FieldError) Kind() Kind { return f.kind }

// Field returns the path of the field, such as "keys[0].secret".
func (f FieldError) Field() string { return f.field }

// Reason says why the value is invalid. It never contains a secret.
func (f FieldError) Reason() string { return f.reason }

// Example returns a valid example.
func (f FieldError) Example() string {
	if f.example != "" {
		return f.example
	}
	return kindDocs[f.kind].Example
}

// FieldErrorDoc is the JSON form of a FieldError.
type FieldErrorDoc struct {
	Code    string `json:"code"`
	Title   string `json:"title"`
	Field   string `json:"field"`
	Reason  string `json:"reason"`
	Example string `json:"example"`
}

// Doc returns the JSON form.
func (f FieldError) Doc() FieldErrorDoc {
	return FieldErrorDoc{Code: f.kind.Code(), Title: kindDocs[f.kind].Title, Field: f.field, Reason: f.reason, Example: f.Example()}
}

// String returns the error as one line.
func (f FieldError) String() string {
	return fmt.Sprintf("%s %s: %s: %s; for example %s", f.kind.Code(), f.field, kindDocs[f.kind].Title, f.reason, f.Example())
}

// ValidationError reports all invalid fields of a settings file.
type ValidationError struct {
	file        string
	fieldErrors []FieldError
}

// File returns the name of the settings file, or "" if it has none.
func (e *ValidationError) File() string { return e.file }

// FieldErrors returns the errors in the order in which they were found. Errors of single
// fields follow the order of the file.
func (e *ValidationError) FieldErrors() []FieldError { return e.fieldErrors }

// Error returns the number of errors, followed by a line for each of them.
func (e *ValidationError) Error() string {
	lines := make([]string, 0, len(e.fieldErrors)+1)
	lines = append(lines, fmt.Sprintf("settings %s: number of errors: %d", e.file, len(e.fieldErrors)))
	for _, fieldError := range e.fieldErrors {
		lines = append(lines, "  "+fieldError.String())
	}
	return strings.Join(lines, "\n")
}

// errorCollector collects the errors found during validation.
type errorCollector struct {
	fieldErrors []FieldError
}

func (c *errorCollector) add(kind Kind, field, format string, args ...any) {
	c.fieldErrors = append(c.fieldErrors, FieldError{kind: kind, field: field, reason: fmt.Sprintf(format, args...)})
}

// hasError reports whether an error of the field has been added.
func (c *errorCollector) hasError(field string) bool {
	return slices.ContainsFunc(c.fieldErrors, func(e FieldError) bool { return e.field == field })
}

// setExamples sets the example of a field, which is more specific than that of the
// error's kind, on the errors at the given index and after it. Errors that have an example
// already keep it. UnknownField errors keep the example of their kind.
func (c *errorCollector) setExamples(from int, f field) {
	for i := from; i < len(c.fieldErrors); i++ {
		if c.fieldErrors[i].example == "" && c.fieldErrors[i].kind != UnknownField {
			c.fieldErrors[i].example = fmt.Sprintf("%q: %s", f.name, f.example)
		}
	}
}
