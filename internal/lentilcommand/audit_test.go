package lentilcommand

import (
	"encoding/json"
	"strings"
	"testing"

	"lentilstair.example/lentilstair/internal/lentilexit"
	"lentilstair.example/lentilstair/pkg/lentilplatform"
)

// TestAuditWithOddRecords guards against an audit trail that can't be read, since one of its records is of another writer.
func TestAuditWithOddRecords(t *testing.T) {
	h := newHarness(t)
	note := h.writeFile(t, "note.json", firstNote)
	if code, stdout, stderr := run("apply", "--settings", h.settingsPath, note); code != lentilexit.OK {
		t.Fatalf("%s: %s %s", code, stdout, stderr)
	}
	client := &lentilplatform.Client{BaseURL: h.platformURL}
	for name, body := range map[string]string{
		"odd-number": `{"noteId":"odd-number","version":1e300}`, "odd-type": `{"noteId":["odd-type"]}`, "odd-list": "[]", "odd-time": `{"started":"yesterday"}`,
	} {
		if _, err := client.Create(t.Context(), lentilplatform.NewObject(lentilplatform.KindAudit, name, json.RawMessage(body))); err != nil {
			t.Fatal(err)
		}
	}
	for _, arguments := range [][]string{{"audit"}, {"audit", "--json"}} {
		code, stdout, stderr := run(append([]string{arguments[0], "--settings", h.settingsPath}, arguments[1:]...)...)
		if code != lentilexit.OK {
			t.Errorf("%s: exit code %s, %s", arguments, code, stderr)
		}
		for _, want := range []string{"founding", "odd-number", "odd-type", "odd-list", "odd-time", "parse audit record"} {
			if !strings.Contains(stdout, want) {
				t.Errorf("%s: %q is missing in\n%s", arguments, want, stdout)
			}
		}
	}
	if code, stdout, stderr := run("drain", "--settings", h.settingsPath, "domain", "catania"); code != lentilexit.OK {
		t.Errorf("drain: %s: %s %s", code, stdout, stderr)
	}
}
