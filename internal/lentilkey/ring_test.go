package lentilkey

import (
	"bytes"
	"crypto/tls"
	"io"
	"net"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/joomcode/errorx"
)

var (
	oldKey     = KeyDoc{ID: 1, Secret: []byte("the old secret of the tests")}
	newKey     = KeyDoc{ID: 2, Secret: []byte("the new secret of the tests")}
	foreignKey = KeyDoc{ID: 1, Secret: []byte("some other secret of tests")}
)

func newRing(t *testing.T, docs ...KeyDoc) Ring {
	t.Helper()
	r, err := New(docs)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func TestNewRejectsInvalidKeys(t *testing.T) {
	tests := map[string][]KeyDoc{
		"no key":       nil,
		"short secret": {{ID: 1, Secret: []byte("short")}},
		"same ID":      {oldKey, foreignKey},
	}
	for name, docs := range tests {
		t.Run(name, func(t *testing.T) {
			if _, err := New(docs); !errorx.IsOfType(err, ErrRing) {
				t.Errorf("New(%s) = %v, want an error of type ErrRing", name, err)
			}
		})
	}
}

func TestDerivedKeysDiffer(t *testing.T) {
	seen := map[string]Purpose{}
	for p := ConnectionID; p <= Reset; p++ {
		keys, err := newRing(t, oldKey, newKey).Derive(p, 32)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff([]uint8{1, 2}, []uint8{keys[0].ID(), keys[1].ID()}); diff != "" {
			t.Errorf("key IDs (-want +got):\n%s", diff)
		}
		for _, k := range keys {
			if other, ok := seen[string(k.Bytes())]; ok {
				t.Errorf("purposes %s and %s have the same key", p, other)
			}
			seen[string(k.Bytes())] = p
		}
	}
	first, _ := newRing(t, oldKey).Derive(ConnectionID, 32)
	second, _ := newRing(t, oldKey, newKey).Derive(ConnectionID, 32)
	if !bytes.Equal(first[0].Bytes(), second[0].Bytes()) {
		t.Error("two rings with the same secret derive different keys from it")
	}
}

// TestTLS performs handshakes between processes with equal and different rings, including
// the rings of each step of a rotation.
func TestTLS(t *testing.T) {
	tests := []struct {
		name           string
		server, client Ring
		accepted       bool
	}{
		{"same", newRing(t, oldKey), newRing(t, oldKey), true},
		{"client has the new key", newRing(t, oldKey), newRing(t, oldKey, newKey), true},
		{"client signs with the new key", newRing(t, oldKey, newKey), newRing(t, newKey, oldKey), true},
		{"server has dropped the old key", newRing(t, newKey), newRing(t, newKey, oldKey), true},
		{"client has a key of another ring", newRing(t, oldKey, newKey), newRing(t, foreignKey), false},
		{"client has only a removed key", newRing(t, newKey), newRing(t, oldKey), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			serverErr, clientErr := handshake(t, tt.server, tt.client)
			if accepted := serverErr == nil && clientErr == nil; accepted != tt.accepted {
				t.Fatalf("accepted = %v, want %v (server: %v, client: %v)", accepted, tt.accepted, serverErr, clientErr)
			}
		})
	}
}

// TestServerRequiresClientCertificate checks that the server rejects a client without a
// certificate.
func TestServerRequiresClientCertificate(t *testing.T) {
	server, err := newRing(t, oldKey).ServerTLS()
	if err != nil {
		t.Fatal(err)
	}
	client := &tls.Config{InsecureSkipVerify: true, MinVersion: tls.VersionTLS13}
	if serverErr, _ := handshakeTLS(t, server, client); serverErr == nil {
		t.Error("the server accepted a client without a certificate")
	}
}

func handshake(t *testing.T, server, client Ring) (serverErr, clientErr error) {
	t.Helper()
	serverTLS, err := server.ServerTLS("test")
	if err != nil {
		t.Fatal(err)
	}
	clientTLS, err := client.ClientTLS("test")
	if err != nil {
		t.Fatal(err)
	}
	return handshakeTLS(t, serverTLS, clientTLS)
}

func handshakeTLS(t *testing.T, server, client *tls.Config) (serverErr, clientErr error) {
	t.Helper()
	serverSide, clientSide := net.Pipe()
	done := make(chan error, 1)
	go func() {
		conn := tls.Server(serverSide, server)
		err := conn.Handshake()
		if err == nil {
			_, err = conn.Write([]byte("hello"))
		}
		_ = serverSide.Close()
		done <- err
	}()
	conn := tls.Client(clientSide, client)
	_, clientErr = io.ReadAll(conn)
	_ = clientSide.Close()
	return <-done, clientErr
}
