package lentilagent

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
)

// dialAgent opens an HTTP/3 connection that the agent serves with the given server. get sends a request over it.
func dialAgent(t *testing.T, h *harness, a *Agent, server *http3.Server) (get func(target string) (body string, err error)) {
	t.Helper()
	listener, err := quic.ListenAddr("127.0.0.1:0", a.frontend.tlsConfig, a.frontend.quicConfig)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept(context.Background())
		if err != nil {
			return
		}
		_, _ = a.frontend.add(conn)
		a.serveConnection(conn, server)
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	t.Cleanup(cancel)
	conn, err := quic.DialAddr(ctx, listener.Addr().String(), &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: h.roots, NextProtos: []string{http3.NextProtoH3}}, nil)
	if err != nil {
		t.Fatal(err)
	}
	client := (&http3.Transport{}).NewClientConn(conn)
	return func(target string) (body string, err error) {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "https://"+listener.Addr().String()+target, nil)
		if err != nil {
			return "", err
		}
		response, err := client.RoundTrip(request)
		if err != nil {
			return "", err
		}
		defer func() { _ = response.Body.Close() }()
		read, err := io.ReadAll(response.Body)
		return string(read), err
	}
}

// TestConnectionAcceptedDuringGoAway guards against a connection that is accepted just before a planned stop shuts the server of
// its requests down: nobody served it, and its requests got no answer.
func TestConnectionAcceptedDuringGoAway(t *testing.T) {
	h, _ := newAgentPair(t)
	a := h.agents[0]
	previous := a.newServer()
	if err := previous.Shutdown(context.Background()); err != nil {
		t.Fatal(err)
	}
	if body, err := dialAgent(t, h, a, previous)("/work?id=1"); err != nil || body != "run" {
		t.Errorf("answer %q: %v", body, err)
	}
}

// TestRequestsAtClose guards against requests that arrive while an idle agent closes at the end of a planned stop, and are cut off:
// one that it has accepted must be answered, and a later one be rejected in such a way that its caller knows that it hasn't run.
func TestRequestsAtClose(t *testing.T) {
	h, stub := newAgentPair(t)
	a := h.agents[0]
	arrived, finish := make(chan struct{}), make(chan struct{})
	stub.answer = func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			close(arrived)
			<-finish
		}
		_, _ = io.WriteString(w, "run")
	}
	get := dialAgent(t, h, a, a.frontend.currentServer())
	accepted := make(chan error, 1)
	go func() {
		body, err := get("/slow")
		if err == nil && body != "run" {
			err = errors.New(body)
		}
		accepted <- err
	}()
	<-arrived
	closed := make(chan struct{})
	go func() {
		a.closeIdle(context.Background())
		close(closed)
	}()
	time.Sleep(200 * time.Millisecond)
	body, err := get("/late")
	// After the GOAWAY has arrived, the library itself refuses to send the request.
	var fault *http3.Error
	if err == nil || errors.As(err, &fault) && fault.ErrorCode != http3.ErrCodeRequestRejected {
		t.Errorf("a request after the agent has begun to close: %q, %v", body, err)
	}
	close(finish)
	if err := <-accepted; err != nil {
		t.Errorf("a request that the agent had accepted: %v", err)
	}
	<-closed
	if n := stub.runs.Load(); n != 1 {
		t.Errorf("%d runs", n)
	}
}
