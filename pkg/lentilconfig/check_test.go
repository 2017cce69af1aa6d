package lentilconfig

import (
	"encoding/json"
	"errors"
	"flag"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// A fixed seed makes the property tests deterministic.
func init() {
	if err := flag.Set("rapid.seed", "14"); err != nil {
		panic(err)
	}
}

var update = flag.Bool("update", false, "rewrite the golden files")

// TestCheckReportsAllErrors compares the field errors of each document in testdata/check
// with its golden file.
func TestCheckReportsAllErrors(t *testing.T) {
	files, err := filepath.Glob("testdata/check/*.json")
	if err != nil || len(files) == 0 {
		t.Fatalf("no documents: %v", err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			body, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			var document Document
			if err = json.Unmarshal(body, &document); err != nil {
				t.Fatal(err)
			}
			golden := strings.TrimSuffix(file, ".json") + ".golden"
			got := errorLines(document.Check())
			if *update {
				if err = os.WriteFile(golden, []byte(got), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			want, err := os.ReadFile(golden)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(string(want), got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// errorLines returns all field errors of a *ValidationError, one per line.
func errorLines(err error) string {
	var invalid *ValidationError
	if !errors.As(err, &invalid) {
		return ""
	}
	var lines strings.Builder
	for _, fieldError := range invalid.FieldErrors() {
		lines.WriteString(fieldError.String() + "\n")
	}
	return lines.String()
}

// TestRoutePrefix checks that requests are grouped by the longest rule that matches their path.
func TestRoutePrefix(t *testing.T) {
	service := &Service{doc: ServiceDoc{Rules: []RuleDoc{{Prefix: "/posti", Kind: "stream"}, {Prefix: "/posti/prenota", Kind: "once"}}}}
	for path, want := range map[string]string{"/posti/7": "/posti", "/posti/prenota/7": "/posti/prenota", "/postino": "", "/": ""} {
		if got := service.RoutePrefix(path); got != want {
			t.Errorf("%s: %q, want %q", path, got, want)
		}
	}
}

func TestClassify(t *testing.T) {
	service := &Service{doc: ServiceDoc{Rules: []RuleDoc{
		{Prefix: "/posti", Kind: "stream"},
		{Prefix: "/posti/prenota", Kind: "once"},
		{Prefix: "/cerca", Kind: "repeatable"},
		{Prefix: "/statico/", Kind: "repeatable"},
	}}}
	tests := []struct {
		method string
		path   string
		want   RequestKind
	}{
		{http.MethodGet, "/", KindRepeatable},
		{http.MethodHead, "/altro", KindRepeatable},
		{http.MethodPost, "/altro", KindOnce},
		{http.MethodGet, "/posti", KindStream},
		{http.MethodGet, "/posti/7", KindStream},
		{http.MethodGet, "/postino", KindRepeatable},
		{http.MethodGet, "/posti/prenota", KindOnce},
		{http.MethodPost, "/cerca", KindRepeatable},
		{http.MethodPost, "/cercatore", KindOnce},
		{http.MethodPost, "/statico/a", KindRepeatable},
		{http.MethodPost, "/cerca/../enrolments", KindOnce},
		{http.MethodGet, "/altro/../posti/prenota", KindOnce},
		{http.MethodGet, "//posti/prenota", KindOnce},
		{http.MethodGet, "/posti/./prenota", KindOnce},
	}
	for _, test := range tests {
		if got := service.Classify(test.method, test.path); got != test.want {
			t.Errorf("%s %s is %v, want %v", test.method, test.path, got, test.want)
		}
	}
}
