package lentilcommand

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"lentilstair.example/lentilstair/internal/lentilcontrol"
	"lentilstair.example/lentilstair/internal/lentilexit"
	"lentilstair.example/lentilstair/internal/lentilkey"
	"lentilstair.example/lentilstair/internal/lentilreader"
	"lentilstair.example/lentilstair/internal/lentilsetting"
	"lentilstair.example/lentilstair/internal/lentilstand/platform"
	"lentilstair.example/lentilstair/pkg/lentilplatform"
)

// harness holds a stand-in for the platform and an operator's settings and notes. Three
// balancers run as well, but only their control connections, without a packet path.
type harness struct {
	platform     *platform.Server
	platformURL  string
	settingsPath string
	directory    string // holds the settings and the notes
}

func newHarness(t *testing.T) *harness {
	t.Helper()
	secret := []byte("sixteen bytes at least")
	ring, err := lentilkey.New([]lentilkey.KeyDoc{{ID: 1, Secret: secret}})
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{platform: &platform.Server{Unlimited: true}, directory: t.TempDir()}
	server := httptest.NewServer(h.platform)
	t.Cleanup(server.Close)
	h.platformURL = server.URL
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	var seeds []string
	for range 3 {
		seeds = append(seeds, startBalancerControl(ctx, t, ring, server.URL, seeds))
	}
	doc := lentilsetting.OperatorDoc{
		Author:    "rosalia",
		Platform:  lentilsetting.PlatformDoc{URL: server.URL},
		Balancers: seeds,
		Keys:      []lentilsetting.KeyDoc{{ID: 1, Secret: base64.StdEncoding.EncodeToString(secret)}},
	}
	body, err := json.Marshal(doc)
	if err != nil {
		t.Fatal(err)
	}
	h.settingsPath = h.writeFile(t, "settings.json", string(body))
	return h
}

// startBalancerControl starts the control connections of a balancer and returns their address.
func startBalancerControl(ctx context.Context, t *testing.T, ring lentilkey.Ring, url string, seeds []string) string {
	t.Helper()
	serverTLS, err := ring.ServerTLS("h2")
	if err != nil {
		t.Fatal(err)
	}
	clientTLS, err := ring.ClientTLS("h2")
	if err != nil {
		t.Fatal(err)
	}
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	client := &lentilplatform.Client{BaseURL: url, HTTPClient: &http.Client{Transport: transport}}
	balancer := &lentilcontrol.Balancer{
		Listen:       netip.MustParseAddrPort("127.0.0.1:0"),
		Domain:       "palermo",
		ServerTLS:    serverTLS,
		ClientTLS:    clientTLS,
		ReadPlatform: (&lentilreader.Reader{Client: client}).Read,
	}
	for _, seed := range seeds {
		balancer.Seeds = append(balancer.Seeds, netip.MustParseAddrPort(seed))
	}
	if err = balancer.Start(ctx); err != nil {
		t.Fatal(err)
	}
	return balancer.Address().String()
}

func (h *harness) writeFile(t *testing.T, name, body string) string {
	t.Helper()
	path := filepath.Join(h.directory, name)
	if err := os.WriteFile(path, []byte(body), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

const firstNote = `{"id": "founding", "author": "rosalia",
 "domains": {"added": [{"name": "palermo", "region": "sicilia"}, {"name": "catania", "region": "sicilia"}]},
 "services": {"added": [{"name": "iscrizioni", "address": "192.0.2.10:8443", "slots": 2, "connections": 2000}]},
 "copies": {"added": [{"name": "iscrizioni-1", "service": "iscrizioni", "domain": "palermo"}, {"name": "iscrizioni-2", "service": "iscrizioni", "domain": "catania"}]}}`

// TestOperatorCommands runs a sequence of an operator's commands against one platform and its
// balancers. In some steps the platform loses answers or is down. Checks of a configuration must
// leave the platform as it is.
func TestOperatorCommands(t *testing.T) {
	h := newHarness(t)
	note := h.writeFile(t, "note.json", firstNote)
	reused := h.writeFile(t, "reused.json", strings.Replace(firstNote, "palermo", "enna", 1))
	invalidNote := h.writeFile(t, "faulty.json", `{"id": "Faulty", "author": "rosalia", "domains": {"out": ["palermo"]}}`)
	unknownDomain := h.writeFile(t, "unfit.json", `{"id": "unfit", "author": "rosalia", "domains": {"out": ["enna"]}}`)
	config := h.writeFile(t, "config.json", `{"version": 2, "services": [{"name": "orario", "number": 2, "address": "192.0.2.10:8444", "slots": 2, "connections": 2000}]}`)
	noFaults := platform.FaultsDoc{}
	steps := []struct {
		name   string
		faults platform.FaultsDoc
		args   []string
		code   lentilexit.Code
		stdout string // part of standard output
		stderr string // part of standard error
	}{
		{"plan, platform without configuration", noFaults, []string{"plan", note}, lentilexit.OK, "note founding on version 0", ""},
		{"note with an invalid id", noFaults, []string{"apply", invalidNote}, lentilexit.Note, "", "id: is not"},
		{"first note, answers to two writes lost", platform.FaultsDoc{LoseAnswers: 2}, []string{"apply", note}, lentilexit.OK, "accepted, version 1, in force at 3 of 3 nodes", "in force at"},
		{"same note again", noFaults, []string{"apply", "--json", note}, lentilexit.OK, `"outcome": "already accepted"`, ""},
		{"different note with the same id", noFaults, []string{"apply", reused}, lentilexit.Note, "refused", "another note has the same id"},
		{"note about an unknown domain", noFaults, []string{"plan", unknownDomain}, lentilexit.Note, "", "the configuration doesn't hold it"},
		{"check against the platform", noFaults, []string{"check-config", "--in-force", config}, lentilexit.Warnings, "differences from version 1 on the platform: 7\n  changed configuration: version from 1 to 2", "valid with warnings"},
		{"check while the platform is down", platform.FaultsDoc{Down: true}, []string{"check-config", "--in-force", config}, lentilexit.Unavailable, "", "unavailable"},
		{"drain", noFaults, []string{"drain", "--reason", "fire drill", "domain", "catania"}, lentilexit.OK, "out     domain  catania", ""},
		{"drain again", noFaults, []string{"drain", "domain", "catania"}, lentilexit.OK, "nothing to change, version 2", ""},
		{"status", noFaults, []string{"status", "--json"}, lentilexit.OK, `"inForce": true`, ""},
		{"status while the platform is down", platform.FaultsDoc{Down: true}, []string{"status"}, lentilexit.OK, "platform: get ConfigurationHead", ""},
		{"plan while the platform is down", platform.FaultsDoc{Down: true}, []string{"plan", note}, lentilexit.Unavailable, "", "unavailable"},
		{"restore while the platform is down", platform.FaultsDoc{Down: true}, []string{"restore", "--accept-within", "100ms", "domain", "catania"}, lentilexit.Unavailable, "unavailable", ""},
		{"restore", noFaults, []string{"restore", "domain", "catania"}, lentilexit.OK, "version 3, in force at 3 of 3", ""},
		{"drain a copy", noFaults, []string{"drain", "--author", "ewa", "copy", "iscrizioni-1"}, lentilexit.OK, "draining false -> true", ""},
		{"audit", noFaults, []string{"audit"}, lentilexit.OK, "fire drill", ""},
		{"drain with an invalid kind", noFaults, []string{"drain", "zone", "catania"}, lentilexit.Usage, "", "use: "},
	}
	for _, step := range steps {
		h.platform.SetFaults(step.faults)
		args := append([]string{step.args[0], "--settings", h.settingsPath}, step.args[1:]...)
		writesBefore := h.platform.Calls().Writes
		code, stdout, stderr := run(args...)
		if writes := h.platform.Calls().Writes - writesBefore; step.args[0] == "check-config" && writes > 0 {
			t.Errorf("%s: %d writes to the platform", step.name, writes)
		}
		if step.name == "audit" {
			checkAudit(t, stdout)
			step.stdout = "founding"
		}
		if code != step.code || !strings.Contains(stdout, step.stdout) || !strings.Contains(stderr, step.stderr) {
			t.Errorf("%s: exit code %s, want %s\nstandard output, must contain %q:\n%s\nstandard error, must contain %q:\n%s", step.name, code, step.code, step.stdout, stdout, step.stderr, stderr)
		}
	}
}

// checkAudit checks that the audit table lists the notes of all four accepted changes, and the
// author that --author set.
func checkAudit(t *testing.T, table string) {
	t.Helper()
	for _, want := range []string{"founding", "drain-catania-", "restore-catania-", "drain-iscrizioni-1-", "ewa"} {
		if !strings.Contains(table, want) {
			t.Errorf("audit table doesn't contain %q:\n%s", want, table)
		}
	}
	if strings.Count(table, "accepted") != 4 {
		t.Errorf("audit table doesn't list exactly 4 accepted changes:\n%s", table)
	}
}

// TestApplyAfterPlatformRollback restores the platform to older data, as from a backup. The next
// note must first restore the newer version that the balancers have in force, which the platform
// has lost.
func TestApplyAfterPlatformRollback(t *testing.T) {
	h := newHarness(t)
	note := h.writeFile(t, "note.json", firstNote)
	if code, stdout, stderr := run("apply", "--settings", h.settingsPath, note); code != lentilexit.OK {
		t.Fatalf("%s: %s %s", code, stdout, stderr)
	}
	h.platform.SaveSnapshot()
	if code, stdout, stderr := run("drain", "--settings", h.settingsPath, "domain", "catania"); code != lentilexit.OK {
		t.Fatalf("%s: %s %s", code, stdout, stderr)
	}
	h.platform.RestoreSnapshot()
	code, stdout, stderr := run("drain", "--settings", h.settingsPath, "copy", "iscrizioni-1")
	if code != lentilexit.OK || !strings.Contains(stdout, "the platform held version 1; version 2 is restored from the nodes") || !strings.Contains(stdout, "version 3, in force at 3 of 3") {
		t.Errorf("%s:\n%s\n%s", code, stdout, stderr)
	}
	code, stdout, stderr = run("plan", "--settings", h.settingsPath, h.writeFile(t, "out.json", `{"id": "out", "author": "rosalia", "domains": {"out": ["catania"]}}`))
	if code != lentilexit.OK || !strings.Contains(stdout, "nothing to change") {
		t.Errorf("%s:\n%s\n%s", code, stdout, stderr)
	}
}
