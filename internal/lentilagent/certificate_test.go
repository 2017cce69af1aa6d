package lentilagent

import (
	"os"
	"path/filepath"
	"testing"
	"time"
)

// TestCertificateReload replaces the files of a certificate in use. Unusable files must not
// replace the current certificate.
func TestCertificateReload(t *testing.T) {
	h := &harness{t: t}
	certificateFile, keyFile := h.writeCertificate()
	otherCertificate, otherKey := h.writeCertificate()
	c := certificate{certificateFile: certificateFile, keyFile: keyFile}
	if err := c.load(); err != nil || c.filesChanged() {
		t.Fatalf("load = %v, filesChanged = %t", err, c.filesChanged())
	}
	before, _ := c.getCertificate(nil)
	later := time.Now().Add(time.Minute)
	write := func(name string, content []byte) {
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
	write(certificateFile, []byte("no certificate"))
	if !c.filesChanged() || c.load() == nil {
		t.Error("load accepted a malformed certificate file")
	}
	if now, _ := c.getCertificate(nil); now != before {
		t.Error("a malformed file replaced the certificate in use")
	}
	write(certificateFile, read(otherCertificate))
	if !c.filesChanged() || c.load() == nil {
		t.Error("load accepted a certificate with the key of another one")
	}
	write(keyFile, read(otherKey))
	if !c.filesChanged() {
		t.Error("filesChanged = false after the key file was replaced")
	}
	if err := c.load(); err != nil {
		t.Fatal(err)
	}
	if now, _ := c.getCertificate(nil); now == before || c.filesChanged() {
		t.Error("the new certificate is not in use")
	}
}
