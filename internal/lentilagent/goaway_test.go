package lentilagent

import (
	"context"
	"crypto/tls"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
)

// TestConnectionAcceptedDuringGoAway guards against a connection that is accepted just before a planned stop shuts the server of
// its requests down: nobody served it, and its requests got no answer.
func TestConnectionAcceptedDuringGoAway(t *testing.T) {
	h, _ := newAgentPair(t)
	a := h.agents[0]
	listener, err := quic.ListenAddr("127.0.0.1:0", a.frontend.tlsConfig, a.frontend.quicConfig)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	previous := a.newServer()
	if err = previous.Shutdown(context.Background()); err != nil {
		t.Fatal(err)
	}
	go func() {
		if conn, err := listener.Accept(context.Background()); err == nil {
			a.serveConnection(conn, previous)
		}
	}()
	transport := &http3.Transport{TLSClientConfig: &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: h.roots}}
	t.Cleanup(func() { _ = transport.Close() })
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "https://"+listener.Addr().String()+"/work?id=1", nil)
	if err != nil {
		t.Fatal(err)
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if body, err := io.ReadAll(response.Body); err != nil || string(body) != "run" {
		t.Errorf("answer %s %q: %v", response.Status, body, err)
	}
}
