package lentilsetting

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"fmt"
	"io/fs"
	"math/big"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"lentilstair.example/lentilstair/internal/lentilgolden"
)

const validSecret = "c2l4dGVlbiBieXRlcyBhdCBsZWFzdA=="

// newMemoryLoader returns a loader that reads the settings from data, and the files that the
// settings refer to from memory.
func newMemoryLoader(t testing.TB, data []byte) Loader {
	certificate, key := newCertificatePair(t)
	files := map[string][]byte{
		"settings": data, "key-1": []byte(validSecret + "\n"), "short": []byte("c2hvcnQ="), "token": []byte("t0ken\n"),
		"cert.pem": certificate, "key.pem": key,
	}
	return Loader{ReadFile: func(name string) ([]byte, error) {
		if content, ok := files[name]; ok {
			return content, nil
		}
		return nil, &fs.PathError{Op: "open", Path: name, Err: fs.ErrNotExist}
	}}
}

// newCertificatePair returns a self-signed certificate and its private key in PEM.
func newCertificatePair(t testing.TB) (certificate, key []byte) {
	t.Helper()
	privateKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, privateKey.Public(), privateKey)
	if err != nil {
		t.Fatal(err)
	}
	pkcs8, err := x509.MarshalPKCS8PrivateKey(privateKey)
	if err != nil {
		t.Fatal(err)
	}
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: pkcs8})
}

// describeHedge returns the percentage of extra attempts if it is set.
func describeHedge(percent int) string {
	if percent == 0 {
		return ""
	}
	return fmt.Sprintf("hedge %d\n", percent)
}

// describe returns all values of valid settings, or the error message.
func describe(settings any, err error) string {
	if err != nil {
		return err.Error() + "\n"
	}
	switch s := settings.(type) {
	case Balancer:
		return fmt.Sprintf("name %s\nlisten %s\nplatform %s token %q\npeers %s\nstop grace %s\n%s",
			s.Name(), s.ListenAddress(), s.Platform().URL(), s.Platform().Token(), s.Peers(), s.StopGrace(), describeCommon(s.commonSettings))
	case Agent:
		return describeHedge(s.HedgePercent()) + fmt.Sprintf("copy %s of %s\nupstream %s\nbalancers %s\ncertificate %s key %s\ndrain limit %s hand-off %t\n%s",
			s.Copy(), s.Service(), s.Upstream(), s.Balancers(), s.CertificateFile(), s.KeyFile(), s.DrainLimit(), s.HandOff(), describeCommon(s.commonSettings))
	case PacketBalancer:
		return describeHedge(s.HedgePercent()) + fmt.Sprintf("ingress %s by expected wait %t\nlink %d\n%s", s.IngressAddress(), s.ByExpectedWait(), s.LinkBytesPerSecond(), describePacket(s.commonPacketSettings))
	case PacketAgent:
		return fmt.Sprintf("service %s upstream %s outbound %s registration %s\nclient port %d first start %t renewal %s cold %g + %g fair queue %t\n%s",
			s.Service(), s.UpstreamAddress(), s.OutboundAddress(), s.RegistrationAddress(), s.ClientPort(), s.FirstStart(), s.RenewInterval(),
			s.ColdFactor(), s.ColdSlack(), s.FairQueue(), describePacket(s.commonPacketSettings))
	}
	return "no settings\n"
}

func describePacket(p commonPacketSettings) string {
	return fmt.Sprintf("name %s domain %s\npeer %s admin %s metrics %s store %s\ngrace %s life %s level %s\n",
		p.Name(), p.Domain(), p.PeerAddress(), p.AdminAddress(), p.MetricsAddress(), p.StoreAddress(), p.StopGrace(), p.FlowIdleTimeout(), p.LogLevel())
}

func describeCommon(c commonSettings) string {
	description := fmt.Sprintf("domain %s\ntunnel %s control %s admin %s\nlevel %s\n",
		c.Domain(), c.TunnelAddress(), c.ControlAddress(), c.AdminAddress(), c.LogLevel())
	for _, key := range c.Keys() {
		description += fmt.Sprintf("key %d of %d bytes\n", key.ID(), len(key.Secret()))
	}
	return description
}

func loadAndDescribe(t testing.TB, role string, data []byte) string {
	switch role {
	case "balancer":
		settings, err := newMemoryLoader(t, data).Balancer("settings")
		return describe(settings, err)
	case "packet-balancer":
		settings, err := newMemoryLoader(t, data).PacketBalancer("settings")
		return describe(settings, err)
	case "packet-agent":
		settings, err := newMemoryLoader(t, data).PacketAgent("settings")
		return describe(settings, err)
	}
	settings, err := newMemoryLoader(t, data).Agent("settings")
	return describe(settings, err)
}

func TestSettings(t *testing.T) {
	files, err := filepath.Glob("testdata/*/*.json")
	if err != nil || len(files) == 0 {
		t.Fatalf("got %d test files, error %v", len(files), err)
	}
	for _, file := range files {
		t.Run(strings.TrimPrefix(file, "testdata/"), func(t *testing.T) {
			data, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			got := loadAndDescribe(t, filepath.Base(filepath.Dir(file)), data)
			lentilgolden.Check(t, strings.TrimSuffix(file, ".json")+".golden", got)
		})
	}
}

// TestErrorsDoNotShowSecrets checks that no error message contains a secret.
func TestErrorsDoNotShowSecrets(t *testing.T) {
	secret := "bm90IGxvbmc="
	for _, scheme := range []string{"http", "ftp"} {
		data := fmt.Sprintf(`{"keys":[{"id":1,"secret":%q}],"platform":{"url":"%s://u:%s@x"}}`, secret, scheme, secret)
		if got := loadAndDescribe(t, "balancer", []byte(data)); strings.Contains(got, secret) {
			t.Errorf("the message contains the secret:\n%s", got)
		}
	}
}

func TestMissingFile(t *testing.T) {
	_, err := newMemoryLoader(t, nil).Balancer("nowhere")
	var invalid *ValidationError
	if !errors.As(err, &invalid) || len(invalid.FieldErrors()) != 1 || invalid.FieldErrors()[0].Kind() != UnreadableFile {
		t.Errorf("got %v, want an UnreadableFile error", err)
	}
}

func TestCodesAreComplete(t *testing.T) {
	for _, doc := range Codes() {
		if doc.Title == "" || doc.Text == "" || doc.Example == "" {
			t.Errorf("%s has no title, text or example", doc.Code)
		}
	}
}

// FuzzBalancer checks that a file is either accepted with all required settings or rejected
// with a *ValidationError.
func FuzzBalancer(f *testing.F) {
	files, err := filepath.Glob("testdata/*/*.json")
	if err != nil {
		f.Fatal(err)
	}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		settings, err := newMemoryLoader(t, data).Balancer("settings")
		var invalid *ValidationError
		switch {
		case errors.As(err, &invalid) && len(invalid.FieldErrors()) > 0:
		case err != nil:
			t.Errorf("got %v, want a ValidationError with field errors", err)
		case settings.Name() == "" || !settings.TunnelAddress().Addr().Is4() || len(settings.Keys()) == 0:
			t.Errorf("accepted incomplete settings: %+v", settings)
		}
	})
}
