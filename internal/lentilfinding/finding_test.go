package lentilfinding

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"lentilstair.example/lentilstair/internal/lentilexit"
	"lentilstair.example/lentilstair/internal/lentilgolden"
	"lentilstair.example/lentilstair/pkg/lentilconfig"
)

// check checks a document, compares it with the one in against unless that is empty, and returns
// the report.
func check(t testing.TB, name string, data []byte, against string) *Report {
	t.Helper()
	source, document, ok := ReadDocument(stdin, bytes.NewReader(data))
	source.name = name
	report := NewReport(source)
	if !ok {
		return report
	}
	CheckDocument(report, document)
	if against != "" {
		other, before, ok := ReadDocument(against, nil)
		if !ok {
			t.Fatal(AgainstError(other))
		}
		CompareDocuments(report, filepath.Base(against), before, document)
	}
	return report
}

// format returns a report as text and JSON, and its error with the exit code.
func format(t testing.TB, report *Report) string {
	t.Helper()
	var out bytes.Buffer
	err := report.Write(&out, false)
	fmt.Fprintf(&out, "\nexit code %d: %v\n\n", lentilexit.Of(err), err)
	if jsonErr := report.Write(&out, true); lentilexit.Of(jsonErr) != lentilexit.Of(err) {
		t.Errorf("exit code %s with JSON, %s without", lentilexit.Of(jsonErr), lentilexit.Of(err))
	}
	return out.String()
}

// TestGolden compares the report on each document with its golden file. It guards against findings
// that get lost, point to a wrong place or change their severity.
func TestGolden(t *testing.T) {
	files, err := filepath.Glob("testdata/document/*.json")
	if err != nil || len(files) == 0 {
		t.Fatalf("no files: %v", err)
	}
	for _, file := range files {
		name := strings.TrimSuffix(file, ".json")
		if strings.HasSuffix(name, ".against") {
			continue
		}
		t.Run(filepath.Base(name), func(t *testing.T) {
			data, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			against := name + ".against.json"
			if _, err = os.Stat(against); err != nil {
				against = ""
			}
			lentilgolden.Check(t, name+".golden", format(t, check(t, filepath.Base(file), data, against)))
		})
	}
}

// TestUnreadableFiles checks that a file that can't be read isn't taken for an invalid or a valid one.
func TestUnreadableFiles(t *testing.T) {
	directory := t.TempDir()
	large := filepath.Join(directory, "large.json")
	if err := os.WriteFile(large, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Truncate(large, MaxBytes+1); err != nil {
		t.Fatal(err)
	}
	for name, file := range map[string]string{"missing": filepath.Join(directory, "none.json"), "directory": directory, "too large": large} {
		source, _, ok := ReadDocument(file, nil)
		report := NewReport(source)
		err := report.Write(&bytes.Buffer{}, false)
		if ok || lentilexit.Of(err) != lentilexit.Unreadable || report.findings[0].Kind != UnreadableFile {
			t.Errorf("%s: %v, %v", name, ok, err)
		}
		if err = AgainstError(source); lentilexit.Of(err) != lentilexit.Unreadable || !strings.Contains(err.Error(), "LC1001") {
			t.Errorf("%s as the file to compare with: %v", name, err)
		}
	}
}

// TestFindingsAreBounded checks that a file with many unknown fields gives a bounded report, which
// still has the errors after them.
func TestFindingsAreBounded(t *testing.T) {
	var data strings.Builder
	data.WriteString(`{`)
	for i := range 3 * maxFindings {
		fmt.Fprintf(&data, `"f%d": 0, `, i)
	}
	data.WriteString(`"version": "x"}`)
	doc := check(t, "many.json", []byte(data.String()), "").Doc()
	last := doc.Findings[len(doc.Findings)-1]
	if len(doc.Findings) != maxFindings+1 || doc.Omitted != 2*maxFindings || doc.Warnings != 3*maxFindings || doc.Errors != 1 || last.Field != "version" {
		t.Errorf("%d findings, %d omitted, %d warnings, %d errors, last %s", len(doc.Findings), doc.Omitted, doc.Warnings, doc.Errors, last)
	}
}

// TestLongLists checks that a long list of rules is cut before the validation, which compares all
// pairs of a service's rules and would take hours for a file of the largest size.
func TestLongLists(t *testing.T) {
	const rules = 20_000
	data := `{"services": [{"rules": [` + strings.Repeat(`{"prefix": "/a", "kind": "once"},`, rules) + `{}]}]}`
	doc := check(t, "long.json", []byte(data), "").Doc()
	tooMany := slices.ContainsFunc(doc.Findings, func(f FindingDoc) bool { return f.Field == "services[0].rules" })
	if !tooMany || doc.Errors > 2*lentilconfig.MaxRules {
		t.Errorf("%d errors; too many rules reported: %v", doc.Errors, tooMany)
	}
}

// TestManyValues checks that a file with too many values is given up at a place that the report
// names, before it is decoded.
func TestManyValues(t *testing.T) {
	const limit = 1000
	data := `{"version": 1, "services": [` + strings.Repeat("{},", limit) + `{}]}`
	source := scan("many.json", []byte(data), lentilconfig.Document{}, limit)
	doc := NewReport(source).Doc()
	if source.Decodable() || doc.Result != resultUnreadable || doc.Errors != 1 || doc.Findings[0].Field != "services[997]" || doc.Findings[0].Place == nil {
		t.Errorf("decodable %v, result %s, findings %v", source.Decodable(), doc.Result, doc.Findings)
	}
}

// TestDeepNesting checks that deeply nested values don't exhaust the stack.
func TestDeepNesting(t *testing.T) {
	const depth = 1 << 20
	for _, data := range []string{`{"x": ` + strings.Repeat("[", depth), `{"x": ` + strings.Repeat(`{"a":`, depth)} {
		doc := check(t, "deep.json", []byte(data), "").Doc()
		if doc.Result != resultInvalid || doc.Findings[0].Code != NotJSON.Code() || len(doc.Findings[0].Field) > 100 {
			t.Errorf("result %s, %v", doc.Result, doc.Findings)
		}
	}
}

// TestKindsAreDocumented checks that each kind has a title and a text, so that `explain` knows
// every code that a report shows.
func TestKindsAreDocumented(t *testing.T) {
	codes := Codes()
	if len(codes) != len(kindDocs) {
		t.Errorf("%d codes, %d kinds with documentation", len(codes), len(kindDocs))
	}
	for _, doc := range codes {
		if doc.Title == "" || doc.Text == "" {
			t.Errorf("%s has no documentation", doc.Code)
		}
	}
}

// FuzzDocument checks that no file makes the check panic, and that the check and the product's
// decoder and validation agree on which documents are valid.
func FuzzDocument(f *testing.F) {
	files, _ := filepath.Glob("testdata/document/*.json")
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		report := check(t, "fuzz.json", data, "testdata/document/changes.against.json")
		doc := report.Doc()
		for _, finding := range doc.Findings {
			if finding.Place != nil && (finding.Place.Line < 1 || finding.Place.Column < 1) {
				t.Errorf("place %+v", *finding.Place)
			}
		}
		var document lentilconfig.Document
		err := json.Unmarshal(data, &document)
		if err == nil {
			err = document.Check()
		}
		isNull := string(bytes.TrimSpace(data)) == "null" // decoded as an empty document, but no configuration
		if valid := doc.Errors == 0; valid != (err == nil) && !isNull {
			t.Errorf("%d errors, but the product says: %v", doc.Errors, err)
		}
		var invalid *lentilconfig.ValidationError
		if errors.As(err, &invalid) && doc.Errors < min(maxFindings, len(invalid.FieldErrors())) {
			t.Errorf("%d errors, but the product has %d", doc.Errors, len(invalid.FieldErrors()))
		}
	})
}
