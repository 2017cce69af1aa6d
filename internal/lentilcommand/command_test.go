package lentilcommand

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"lentilstair.example/lentilstair/internal/lentilexit"
	"lentilstair.example/lentilstair/internal/lentilgolden"
	"lentilstair.example/lentilstair/internal/lentilprogram"
)

// run runs a command with empty input and returns the exit code, standard output and standard
// error.
func run(args ...string) (code lentilexit.Code, stdout, stderr string) {
	var outBuffer, errBuffer bytes.Buffer
	code = Run(context.Background(), append([]string{"lentilstair"}, args...), lentilprogram.Streams{In: strings.NewReader(""), Out: &outBuffer, Err: &errBuffer})
	return code, outBuffer.String(), errBuffer.String()
}

func TestRun(t *testing.T) {
	invalidSettings := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(invalidSettings, []byte(`{"name": 1}`), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, tt := range []struct {
		name   string
		args   []string
		code   lentilexit.Code
		stdout string // part of standard output; empty means no output
		stderr string // part of standard error
	}{
		{"no command", nil, lentilexit.OK, "COMMANDS:", ""},
		{"unknown command", []string{"balance"}, lentilexit.Usage, "", `no command is called "balance"`},
		{"unknown flag", []string{"version", "--loud"}, lentilexit.Usage, "", "flag provided but not defined"},
		{"missing flag", []string{"balancer"}, lentilexit.Usage, "", `"settings" not set`},
		{"version", []string{"version", "--json"}, lentilexit.OK, `"go":"go1.`, ""},
		{"settings file missing", []string{"agent", "--settings", "/nowhere"}, lentilexit.Settings, "", "LS1013"},
		{"invalid settings", []string{"balancer", "--settings", invalidSettings}, lentilexit.Settings, "", "LS1004 name"},
		{"check-settings, text", []string{"check-settings", "agent", invalidSettings}, lentilexit.Settings, "", "LS1002 name"},
		{"check-settings, JSON", []string{"check-settings", "--json", "balancer", invalidSettings}, lentilexit.Settings, `"code":"LS1004","title":"wrong type","field":"name"`, ""},
		{"check-settings, unknown role", []string{"check-settings", "copy", invalidSettings}, lentilexit.Usage, "", `role "copy" is not balancer, agent, operator, packet-balancer or packet-agent`},
		{"check-settings without file", []string{"check-settings", "agent"}, lentilexit.Usage, "", "use: check-settings"},
		{"check-config without file", []string{"check-config"}, lentilexit.Usage, "", "use: check-config"},
		{"check-config against two", []string{"check-config", "--against", "a", "--in-force", "b"}, lentilexit.Usage, "", "exclude each other"},
		{"check-config without settings", []string{"check-config", "--in-force", "b"}, lentilexit.Usage, "", "--in-force needs --settings"},
		{"check-config, file missing", []string{"check-config", "/nowhere"}, lentilexit.Unreadable, "LC1001", "unreadable"},
		{"check-config, unknown field", []string{"check-config", invalidSettings}, lentilexit.Warnings, "1:2: warning LC1005: name", "valid with warnings"},
		{"explain a finding", []string{"explain", "lc1005"}, lentilexit.OK, "Severity: warning", ""},
		{"explain a fault in settings", []string{"explain", "ls1003"}, lentilexit.OK, "LS1003: missing field", ""},
		{"explain an event", []string{"explain", "LE2001"}, lentilexit.OK, "process started", ""},
		{"explain an exit code", []string{"explain", "LX5"}, lentilexit.OK, "conflict", ""},
		{"explain a metric", []string{"explain", "lentilstair_streams_open"}, lentilexit.OK, "Unit: streams", ""},
		{"explain an unknown code", []string{"explain", "LE9999"}, lentilexit.Usage, "", "LE9999"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			code, stdout, stderr := run(tt.args...)
			if code != tt.code {
				t.Errorf("exit code %s, want %s", code, tt.code)
			}
			if !strings.Contains(stdout, tt.stdout) || tt.stdout == "" && stdout != "" {
				t.Errorf("standard output %q doesn't contain %q", stdout, tt.stdout)
			}
			if !strings.Contains(stderr, tt.stderr) {
				t.Errorf("standard error %q doesn't contain %q", stderr, tt.stderr)
			}
		})
	}
}

func TestExplainList(t *testing.T) {
	_, stdout, _ := run("explain")
	lentilgolden.Check(t, "testdata/explain.golden", stdout)
}
