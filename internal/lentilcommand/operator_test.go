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

// harness is a platform's stand-in, three balancers' control sides, and an operator's files.
type harness struct {
	platform     *platform.Server
	settingsPath string
	directory    string
}

func newHarness(t *testing.T) *harness {
	t.Helper()
	secret := []byte("sixteen bytes at least")
	ring, err := lentilkey.New([]lentilkey.KeyDoc{{ID: 1, Secret: secret}})
	if err != nil {
		t.Fatal(err)
	}
	s := &harness{platform: &platform.Server{Unlimited: true}, directory: t.TempDir()}
	server := httptest.NewServer(s.platform)
	t.Cleanup(server.Close)
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
	s.settingsPath = s.writeFile(t, "settings.json", string(body))
	return s
}

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
	b := &lentilcontrol.Balancer{
		Listen:       netip.MustParseAddrPort("127.0.0.1:0"),
		Domain:       "palermo",
		ServerTLS:    serverTLS,
		ClientTLS:    clientTLS,
		ReadPlatform: (&lentilreader.Reader{Client: client}).Read,
	}
	for _, seed := range seeds {
		b.Seeds = append(b.Seeds, netip.MustParseAddrPort(seed))
	}
	if err = b.Start(ctx); err != nil {
		t.Fatal(err)
	}
	return b.Address().String()
}

func (s *harness) writeFile(t *testing.T, name, body string) string {
	t.Helper()
	path := filepath.Join(s.directory, name)
	if err := os.WriteFile(path, []byte(body), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

const firstNote = `{"id": "founding", "author": "rosalia",
 "domains": {"added": [{"name": "palermo", "region": "sicilia"}, {"name": "catania", "region": "sicilia"}]},
 "services": {"added": [{"name": "iscrizioni", "address": "192.0.2.10:8443", "slots": 2, "connections": 2000}]},
 "copies": {"added": [{"name": "iscrizioni-1", "service": "iscrizioni", "domain": "palermo"}, {"name": "iscrizioni-2", "service": "iscrizioni", "domain": "catania"}]}}`

// TestOperatorCommands follows one site through an operator's commands and the platform's faults.
func TestOperatorCommands(t *testing.T) {
	s := newHarness(t)
	note := s.writeFile(t, "note.json", firstNote)
	reused := s.writeFile(t, "reused.json", strings.Replace(firstNote, "palermo", "enna", 1))
	faulty := s.writeFile(t, "faulty.json", `{"id": "Faulty", "author": "rosalia", "domains": {"out": ["palermo"]}}`)
	unfit := s.writeFile(t, "unfit.json", `{"id": "unfit", "author": "rosalia", "domains": {"out": ["enna"]}}`)
	ordinary := platform.FaultsDoc{}
	steps := []struct {
		name     string
		switches platform.FaultsDoc
		args     []string
		code     lentilexit.Code
		out      string
		errs     string
	}{
		{"plan on nothing", ordinary, []string{"plan", note}, lentilexit.OK, "note founding on version 0", ""},
		{"faulty note", ordinary, []string{"apply", faulty}, lentilexit.Note, "", "id: is not"},
		{"first note, its second answer lost", platform.FaultsDoc{LoseAnswers: 2}, []string{"apply", note}, lentilexit.OK, "accepted, version 1, in force at 3 of 3 nodes", "in force at"},
		{"same note again", ordinary, []string{"apply", "--json", note}, lentilexit.OK, `"outcome": "already accepted"`, ""},
		{"another note of the id", ordinary, []string{"apply", reused}, lentilexit.Note, "refused", "another note has the same id"},
		{"unfit note", ordinary, []string{"plan", unfit}, lentilexit.Note, "", "the configuration doesn't hold it"},
		{"drain", ordinary, []string{"drain", "--reason", "fire drill", "domain", "catania"}, lentilexit.OK, "out     domain  catania", ""},
		{"drain again", ordinary, []string{"drain", "domain", "catania"}, lentilexit.OK, "nothing to change, version 2", ""},
		{"status", ordinary, []string{"status", "--json"}, lentilexit.OK, `"inForce": true`, ""},
		{"status while the platform is down", platform.FaultsDoc{Down: true}, []string{"status"}, lentilexit.OK, "platform: get ConfigurationHead", ""},
		{"plan while the platform is down", platform.FaultsDoc{Down: true}, []string{"plan", note}, lentilexit.Unavailable, "", "unavailable"},
		{"restore while the platform is down", platform.FaultsDoc{Down: true}, []string{"restore", "--accept-within", "100ms", "domain", "catania"}, lentilexit.Unavailable, "unavailable", ""},
		{"restore", ordinary, []string{"restore", "domain", "catania"}, lentilexit.OK, "version 3, in force at 3 of 3", ""},
		{"drain a copy", ordinary, []string{"drain", "--author", "ewa", "copy", "iscrizioni-1"}, lentilexit.OK, "draining false -> true", ""},
		{"audit", ordinary, []string{"audit"}, lentilexit.OK, "fire drill", ""},
		{"drain nothing", ordinary, []string{"drain", "zone", "catania"}, lentilexit.Usage, "", "use: "},
	}
	for _, step := range steps {
		s.platform.SetFaults(step.switches)
		args := append([]string{step.args[0], "--settings", s.settingsPath}, step.args[1:]...)
		code, out, errs := run(args...)
		if step.name == "audit" {
			checkAudit(t, out)
			step.out = "founding"
		}
		if code != step.code || !strings.Contains(out, step.out) || !strings.Contains(errs, step.errs) {
			t.Errorf("%s: ended with %s, want %s\noutput, want %q in it:\n%s\nerrors, want %q in them:\n%s", step.name, code, step.code, step.out, out, step.errs, errs)
		}
	}
}

// checkAudit looks for every accepted change and its author.
func checkAudit(t *testing.T, out string) {
	t.Helper()
	for _, want := range []string{"founding", "drain-catania-", "restore-catania-", "drain-iscrizioni-1-", "ewa"} {
		if !strings.Contains(out, want) {
			t.Errorf("the audit lacks %q:\n%s", want, out)
		}
	}
	if strings.Count(out, "accepted") != 4 {
		t.Errorf("not 4 changes are accepted in the audit:\n%s", out)
	}
}

// TestApplyAfterPlatformRollback takes the platform back to older data: the next note
// puts back what the balancers have in force.
func TestApplyAfterPlatformRollback(t *testing.T) {
	s := newHarness(t)
	note := s.writeFile(t, "note.json", firstNote)
	if code, out, errs := run("apply", "--settings", s.settingsPath, note); code != lentilexit.OK {
		t.Fatalf("%s: %s %s", code, out, errs)
	}
	s.platform.SaveSnapshot()
	if code, out, errs := run("drain", "--settings", s.settingsPath, "domain", "catania"); code != lentilexit.OK {
		t.Fatalf("%s: %s %s", code, out, errs)
	}
	s.platform.RestoreSnapshot()
	code, out, errs := run("drain", "--settings", s.settingsPath, "copy", "iscrizioni-1")
	if code != lentilexit.OK || !strings.Contains(out, "the platform held version 1; version 2 was put back") || !strings.Contains(out, "version 3, in force at 3 of 3") {
		t.Errorf("%s:\n%s\n%s", code, out, errs)
	}
	code, out, errs = run("plan", "--settings", s.settingsPath, s.writeFile(t, "out.json", `{"id": "out", "author": "rosalia", "domains": {"out": ["catania"]}}`))
	if code != lentilexit.OK || !strings.Contains(out, "nothing to change") {
		t.Errorf("%s:\n%s\n%s", code, out, errs)
	}
}
