package lentilfinding

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"lentilstair.example/lentilstair/pkg/lentilconfig"
)

// DifferenceDoc is the JSON form of an object that differs between two configurations.
type DifferenceDoc struct {
	// Action is "added", "changed" or "removed".
	Action string `json:"action"`
	// Kind is "configuration", "service", "copy", "domain" or "route".
	Kind string `json:"kind"`
	// Name is empty for the only object of its kind.
	Name string `json:"name,omitempty"`
	// Fields lists the changed fields.
	Fields []FieldDifferenceDoc `json:"fields,omitempty"`
}

// FieldDifferenceDoc is the JSON form of a field that differs.
type FieldDifferenceDoc struct {
	Field string          `json:"field"`
	From  json.RawMessage `json:"from"`
	To    json.RawMessage `json:"to"`
}

// The actions of differences.
const (
	actionAdded   = "added"
	actionChanged = "changed"
	actionRemoved = "removed"
)

// String returns the difference as one line.
func (d DifferenceDoc) String() string {
	line := d.Action + " " + d.Kind
	if d.Name != "" {
		line += " " + shorten(d.Name)
	}
	for i, field := range d.Fields {
		separator := ", "
		if i == 0 {
			separator = ": "
		}
		line += fmt.Sprintf("%s%s from %s to %s", separator, field.Field, shorten(string(field.From)), shorten(string(field.To)))
	}
	return line
}

// changedFields returns the JSON fields in which two structs of the same type differ.
func changedFields(from, to any) (fields []FieldDifferenceDoc) {
	a, b := reflect.ValueOf(from), reflect.ValueOf(to)
	for _, f := range reflect.VisibleFields(a.Type()) {
		if !f.IsExported() {
			continue
		}
		before, after := a.FieldByIndex(f.Index).Interface(), b.FieldByIndex(f.Index).Interface()
		x, errX := json.Marshal(before)
		y, errY := json.Marshal(after)
		if errX == nil && errY == nil && string(x) != string(y) {
			fields = append(fields, FieldDifferenceDoc{Field: jsonName(f), From: x, To: y})
		}
	}
	return fields
}

// objectDifferences returns the differences of objects that were put or dropped. The map holds the objects
// before the change.
func objectDifferences[T any](kind string, before map[string]T, put []T, drop []string, name func(T) string) (differences []DifferenceDoc) {
	for _, object := range put {
		difference := DifferenceDoc{Action: actionAdded, Kind: kind, Name: name(object)}
		if previous, found := before[name(object)]; found {
			difference.Action, difference.Fields = actionChanged, changedFields(previous, object)
		}
		differences = append(differences, difference)
	}
	for _, dropped := range drop {
		differences = append(differences, DifferenceDoc{Action: actionRemoved, Kind: kind, Name: dropped})
	}
	slices.SortStableFunc(differences, func(a, b DifferenceDoc) int { return strings.Compare(a.Name, b.Name) })
	return differences
}

// indexed returns a map of objects by name.
func indexed[T any](objects []T, name func(T) string) map[string]T {
	index := make(map[string]T, len(objects))
	for _, object := range objects {
		index[name(object)] = object
	}
	return index
}

// documentHead holds the fields of a document that aren't lists of objects.
type documentHead struct {
	Version     uint64   `json:"version"`
	NoteID      string   `json:"noteId"`
	NextService uint64   `json:"nextService"`
	NextDomain  uint64   `json:"nextDomain"`
	RecentNotes []string `json:"recent"`
}

func headOf(document lentilconfig.Document) documentHead {
	head := documentHead{Version: document.Version, NoteID: document.NoteID, NextService: uint64(document.NextService), NextDomain: uint64(document.NextDomain), RecentNotes: []string{}}
	for _, note := range document.RecentNotes {
		head.RecentNotes = append(head.RecentNotes, note.NoteID)
	}
	return head
}

// documentDifferences returns the differences between two documents of the HTTP/3 path.
func documentDifferences(from, to lentilconfig.Document) (differences []DifferenceDoc) {
	from, to = from.Canonical(), to.Canonical()
	delta := lentilconfig.Diff(from, to)
	if fields := changedFields(headOf(from), headOf(to)); len(fields) > 0 {
		differences = append(differences, DifferenceDoc{Action: actionChanged, Kind: "configuration", Fields: fields})
	}
	serviceName := func(d lentilconfig.ServiceDoc) string { return d.Name }
	copyName := func(d lentilconfig.CopyDoc) string { return d.Name }
	domainName := func(d lentilconfig.DomainDoc) string { return d.Name }
	return slices.Concat(differences,
		objectDifferences("domain", indexed(from.Domains, domainName), delta.PutDomains, delta.DropDomains, domainName),
		objectDifferences("service", indexed(from.Services, serviceName), delta.PutServices, delta.DropServices, serviceName),
		objectDifferences("copy", indexed(from.Copies, copyName), delta.PutCopies, delta.DropCopies, copyName))
}
