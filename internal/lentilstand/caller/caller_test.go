package caller

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"math/big"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"lentilstair.example/lentilstair/internal/lentilstand/upstream"
)

// TestRetryAfterRefusedConnection refuses the first connections in their handshake. No
// request on them has run, and callers must retry on a new connection. A request that
// may not be repeated must not fail, and must not run twice.
func TestRetryAfterRefusedConnection(t *testing.T) {
	const refusals = 2
	var mu sync.Mutex
	var dials int
	runs := make(map[string]int)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		t.Fatal(err)
	}
	server := &http3.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.URL.Query().Get("id")
		mu.Lock()
		runs[id]++
		mu.Unlock()
		_ = json.NewEncoder(w).Encode(upstream.EchoDoc{ID: id, Copy: "one", Runs: 1})
	})}
	listener, err := quic.ListenAddr("127.0.0.1:0",
		http3.ConfigureTLSConfig(&tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}}}),
		&quic.Config{GetConfigForClient: func(*quic.ClientInfo) (*quic.Config, error) {
			mu.Lock()
			defer mu.Unlock()
			dials++
			if dials <= refusals {
				return nil, errors.New("refused")
			}
			return &quic.Config{}, nil
		}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Close(); _ = listener.Close() })
	go func() { _ = server.ServeListener(listener) }()

	roots := x509.NewCertPool()
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	roots.AddCert(certificate)
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	report := Run(ctx, Options{
		Target: "https://" + listener.Addr().String(), OnceRate: 20, Timeout: time.Second, Retries: refusals, Seed: 1, IDPrefix: "c",
		TLS: &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: roots},
	})
	if report.Once.Failed > 0 || report.Once.Answered == 0 {
		t.Errorf("%d requests failed, %d were answered: %v", report.Once.Failed, report.Once.Answered, report.Faults)
	}
	mu.Lock()
	defer mu.Unlock()
	if dials <= refusals {
		t.Errorf("%d dials, want one after the refused ones", dials)
	}
	for id, n := range runs {
		if n != 1 {
			t.Errorf("request %s ran %d times, want 1", id, n)
		}
	}
}
