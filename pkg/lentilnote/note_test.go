package lentilnote

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"lentilstair.example/lentilstair/pkg/lentilconfig"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// checkGolden renders each note in a directory of testdata and compares the result with
// the golden file of the same name.
func checkGolden(t *testing.T, directory string, render func(body []byte) string) {
	t.Helper()
	files, err := filepath.Glob(filepath.Join("testdata", directory, "*.json"))
	if err != nil || len(files) == 0 {
		t.Fatalf("no notes: %v", err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			got := render(readFile(t, file))
			name := strings.TrimSuffix(file, ".json") + ".golden"
			if *update {
				if err := os.WriteFile(name, []byte(got), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			if diff := cmp.Diff(string(readFile(t, name)), got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func readFile(t testing.TB, file string) []byte {
	t.Helper()
	body, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	return body
}

func baseDocument(t testing.TB) (document lentilconfig.Document) {
	t.Helper()
	if err := json.Unmarshal(readFile(t, "testdata/base.json"), &document); err != nil {
		t.Fatal(err)
	}
	return document
}

func TestParseRejects(t *testing.T) {
	checkGolden(t, "fault", func(body []byte) string {
		_, err := Parse(body)
		return fmt.Sprintln(err)
	})
}

func TestPlan(t *testing.T) {
	document := baseDocument(t)
	checkGolden(t, "plan", func(body []byte) string {
		note, err := Parse(body)
		if err != nil {
			return fmt.Sprintln(err)
		}
		plan, err := note.Plan(document)
		if err != nil {
			return fmt.Sprintln(err)
		}
		var lines strings.Builder
		for _, change := range plan.Changes() {
			fmt.Fprintf(&lines, "%s %s %s\n", change.Action(), change.Object(), change.Detail())
		}
		fmt.Fprintf(&lines, "version %d, next numbers %d and %d\n", plan.Next().Version, plan.Next().NextService, plan.Next().NextDomain)
		return lines.String()
	})
	if diff := cmp.Diff(baseDocument(t), document, cmp.Comparer(sameAddress)); diff != "" {
		t.Errorf("planning changed the document: %s", diff)
	}
}

func sameAddress(a, b fmt.Stringer) bool { return a.String() == b.String() }

func TestPlanIsIdempotent(t *testing.T) {
	note, err := Parse(readFile(t, "testdata/plan/roll-out.json"))
	if err != nil {
		t.Fatal(err)
	}
	first, err := note.Plan(baseDocument(t))
	if err != nil {
		t.Fatal(err)
	}
	second, err := note.Plan(first.Next())
	if err != nil || !second.Empty() || second.Next().Version != first.Next().Version {
		t.Errorf("second plan %v leads to version %d, error %v", second.Changes(), second.Next().Version, err)
	}
}

func TestNumbersAreNotReused(t *testing.T) {
	document := baseDocument(t)
	for i := range 3 {
		add, err := New(Doc{ID: fmt.Sprintf("add-%d", i), Author: "rosalia", Services: ServicesDoc{
			Added: []AddedServiceDoc{{Name: "spiaggia", Address: placeholderAddress, Slots: 1, Connections: 1}},
		}})
		if err != nil {
			t.Fatal(err)
		}
		plan, err := add.Plan(document)
		if err != nil {
			t.Fatal(err)
		}
		configuration, err := lentilconfig.New(plan.Next())
		if err != nil {
			t.Fatal(err)
		}
		if got := configuration.ServiceNamed("spiaggia").Number(); int(got) != 5+i {
			t.Errorf("number %d, want %d", got, 5+i)
		}
		withdraw, err := New(Doc{ID: "withdraw", Author: "rosalia", Services: ServicesDoc{Withdrawn: []string{"spiaggia"}}})
		if err != nil {
			t.Fatal(err)
		}
		if plan, err = withdraw.Plan(plan.Next()); err != nil {
			t.Fatal(err)
		}
		document = plan.Next()
	}
	document.NextService = lentilconfig.MaxServiceNumber + 1
	note, err := Parse(readFile(t, "testdata/plan/roll-out.json"))
	if err != nil {
		t.Fatal(err)
	}
	if _, err = note.Plan(document); !errors.Is(err, ErrNumbersExhausted) {
		t.Errorf("error is %v, want %v", err, ErrNumbersExhausted)
	}
}

// TestReplan plans a note again after the concurrent note "other" was accepted.
func TestReplan(t *testing.T) {
	const (
		outCatania    = `{"domains": {"out": ["catania"]}}`
		backMessina   = `{"domains": {"back": ["messina"]}}`
		drainFirst    = `{"copies": {"changed": [{"name": "iscrizioni-1", "draining": true}]}}`
		moveFirst     = `{"copies": {"changed": [{"name": "iscrizioni-1", "domain": "catania"}]}}`
		addThird      = `{"copies": {"added": [{"name": "iscrizioni-3", "service": "iscrizioni", "domain": "messina"}]}}`
		addCatalogo   = `{"copies": {"added": [{"name": "catalogo-2", "service": "catalogo", "domain": "palermo"}]}}`
		dropCatalogo  = `{"services": {"withdrawn": ["catalogo"]}, "copies": {"withdrawn": ["catalogo-1"]}}`
		dropMessina   = `{"domains": {"withdrawn": ["messina"]}}`
		addSpiaggia   = `{"services": {"added": [{"name": "spiaggia", "address": "192.0.2.10:8445", "slots": 1, "connections": 1}]}}`
		addMare       = `{"services": {"added": [{"name": "mare", "address": "192.0.2.10:8445", "slots": 1, "connections": 1}]}}`
		slotsCatalogo = `{"services": {"changed": [{"name": "catalogo", "slots": 4}]}}`
	)
	tests := []struct {
		name     string
		note     string
		accepted string
		conflict string
	}{
		{"different domains", outCatania, backMessina, ""},
		{"a domain and a copy within it", outCatania, moveFirst, ""},
		{"a copy added and its service changed", addCatalogo, slotsCatalogo, ""},
		{"the same copy", drainFirst, moveFirst, "copy iscrizioni-1 changed meanwhile by note other by ewa (version 8)"},
		{"the same change", outCatania, outCatania, "failure domain catania changed meanwhile by note other by ewa (version 8)"},
		{"a copy added and its service withdrawn", addCatalogo, dropCatalogo, "service catalogo changed meanwhile by note other by ewa (version 8)"},
		{"a copy added and its domain withdrawn", addThird, dropMessina, "failure domain messina changed meanwhile by note other by ewa (version 8)"},
		{"a service withdrawn and a copy added to it", dropCatalogo, addCatalogo, "is incompatible with note other by ewa (version 8)"},
		{"one port for two services", addSpiaggia, addMare, "is incompatible with note other by ewa (version 8)"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			document := baseDocument(t)
			accepted, err := newNote(t, "other", "ewa", test.accepted).Plan(document)
			if err != nil {
				t.Fatal(err)
			}
			plan, err := newNote(t, "mine", "rosalia", test.note).Replan(document, accepted.Next())
			var conflict *ConflictError
			if errors.As(err, &conflict) != (test.conflict != "") {
				t.Fatalf("error is %v", err)
			}
			if err != nil {
				if !strings.HasPrefix(err.Error(), test.conflict) || conflict.ConcurrentNotes()[0].NoteID != "other" {
					t.Errorf("error is %q, want %q", err, test.conflict)
				}
				return
			}
			if plan.Empty() || plan.Next().Version != 9 {
				t.Errorf("the plan is empty or leads to version %d, want 9", plan.Next().Version)
			}
		})
	}
}

func newNote(t *testing.T, id, author, body string) Note {
	t.Helper()
	doc := Doc{ID: id, Author: author}
	if err := json.Unmarshal([]byte(body), &doc); err != nil {
		t.Fatal(err)
	}
	note, err := New(doc)
	if err != nil {
		t.Fatal(err)
	}
	return note
}

func FuzzParse(f *testing.F) {
	for _, file := range []string{"plan/roll-out", "plan/nothing-new", "plan/domains", "fault/all", "fault/second-value"} {
		f.Add(readFile(f, "testdata/"+file+".json"))
	}
	document := baseDocument(f)
	f.Fuzz(func(t *testing.T, body []byte) {
		note, err := Parse(body)
		if err != nil {
			return
		}
		plan, err := note.Plan(document)
		if err != nil {
			return
		}
		if err = plan.Next().Check(); err != nil {
			t.Errorf("the planned configuration is invalid: %v", err)
		}
		if again, err := note.Plan(plan.Next()); err != nil || !again.Empty() {
			t.Errorf("planning the note a second time is not empty: %v", err)
		}
	})
}
