package lentilagent

import (
	"os"
	"path/filepath"
	"testing"
	"time"
)

// TestCertificateReload replaces the files of a certificate in use.
func TestCertificateReload(t *testing.T) {
	p := &harness{t: t}
	certificateFile, keyFile := p.writeCertificate()
	otherCertificate, otherKey := p.writeCertificate()
	c := certificate{certificateFile: certificateFile, keyFile: keyFile}
	if err := c.load(); err != nil || c.filesChanged() {
		t.Fatalf("%v, stale %t", err, c.filesChanged())
	}
	before, _ := c.getCertificate(nil)
	later := time.Now().Add(time.Minute)
	put := func(name string, content []byte) {
		t.Helper()
		if err := os.WriteFile(name, content, 0o600); err != nil {
			t.Fatal(err)
		}
		later = later.Add(time.Minute)
		if err := os.Chtimes(name, later, later); err != nil {
			t.Fatal(err)
		}
	}
	read := func(name string) (content []byte) {
		content, err := os.ReadFile(filepath.Clean(name))
		if err != nil {
			t.Fatal(err)
		}
		return content
	}
	put(certificateFile, []byte("no certificate"))
	if !c.filesChanged() || c.load() == nil {
		t.Error("took a broken file")
	}
	if now, _ := c.getCertificate(nil); now != before {
		t.Error("a broken file replaced the certificate in use")
	}
	put(certificateFile, read(otherCertificate))
	if !c.filesChanged() || c.load() == nil {
		t.Error("took a certificate with the key of another")
	}
	put(keyFile, read(otherKey))
	if !c.filesChanged() {
		t.Error("a new key was not noticed")
	}
	if err := c.load(); err != nil {
		t.Fatal(err)
	}
	if now, _ := c.getCertificate(nil); now == before || c.filesChanged() {
		t.Error("the new certificate is not in use")
	}
}
