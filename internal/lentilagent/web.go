package lentilagent

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"lentilstair.example/lentilstair/internal/lentilkey"
)

const (
	// quicPacketBytes is the size of QUIC packets, so that with the tunnel's headers
	// they fit into 1500 bytes. Packets don't grow, since nothing here may be fragmented.
	quicPacketBytes = 1280
	// idleTimeout ends flows whose caller has gone without a word.
	idleTimeout = time.Minute
	// keepAlivePeriod keeps the way to a silent caller open.
	keepAlivePeriod = 15 * time.Second
	// streamsPerConnection is how many requests a connection may have open at once.
	streamsPerConnection = 1000
	// ticketKeyBytes is the length of the keys for tickets.
	ticketKeyBytes = 32
	// readHeaderTimeout is how long a peer may take for its headers.
	readHeaderTimeout = 5 * time.Second
)

// frontend is the HTTP/3 side of an agent.
type frontend struct {
	tlsConfig  *tls.Config
	quicConfig *quic.Config

	mu          sync.Mutex
	listener    *quic.Listener
	server      *http3.Server
	connections map[*quic.Conn]bool
	// closed is true while no new connection is taken.
	closed bool
}

// startFrontend starts the QUIC transport on the virtual connection.
func (a *Agent) startFrontend() (err error) {
	keys, err := a.options.Ring.Derive(lentilkey.Reset, len(quic.StatelessResetKey{}))
	if err != nil {
		return err
	}
	reset := quic.StatelessResetKey(keys[0].Bytes())
	a.quicTransport = &quic.Transport{
		Conn:                  a.flowConn,
		ConnectionIDGenerator: &connectionIDGenerator{sealer: a.flowTracker.sealer, place: a.place()},
		StatelessResetKey:     &reset,
	}
	a.frontend = &frontend{
		tlsConfig: http3.ConfigureTLSConfig(&tls.Config{MinVersion: tls.VersionTLS13, GetCertificate: a.certificate.getCertificate}),
		quicConfig: &quic.Config{
			MaxIdleTimeout:          idleTimeout,
			KeepAlivePeriod:         keepAlivePeriod,
			MaxIncomingStreams:      streamsPerConnection,
			InitialPacketSize:       quicPacketBytes,
			DisablePathMTUDiscovery: true,
			Allow0RTT:               false,
		},
		server:      a.newServer(),
		connections: make(map[*quic.Conn]bool),
	}
	return a.listen()
}

// listen begins to take new connections.
func (a *Agent) listen() (err error) {
	a.frontend.mu.Lock()
	defer a.frontend.mu.Unlock()
	listener, err := a.quicTransport.Listen(a.frontend.tlsConfig, a.frontend.quicConfig)
	if err != nil {
		return err
	}
	a.frontend.listener, a.frontend.closed = listener, false
	a.workers.Go(func() { a.accept(listener) })
	return nil
}

// ConnectionCount returns how many connections of callers are open.
func (a *Agent) ConnectionCount() (open int) {
	a.frontend.mu.Lock()
	defer a.frontend.mu.Unlock()
	return len(a.frontend.connections)
}

// newServer returns an HTTP/3 server that hasn't begun to drain.
func (a *Agent) newServer() (server *http3.Server) { return &http3.Server{Handler: a} }

// accept serves new connections until the listener is closed.
func (a *Agent) accept(listener *quic.Listener) {
	for {
		conn, err := listener.Accept(context.Background())
		if err != nil {
			return
		}
		server, ok := a.frontend.add(conn)
		if !ok {
			closeDomainOut(conn)
			continue
		}
		go func() {
			_ = server.ServeQUICConn(conn)
			a.frontend.remove(conn)
		}()
	}
}

// add notes a new connection and returns the server for it.
func (w *frontend) add(conn *quic.Conn) (server *http3.Server, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return nil, false
	}
	w.connections[conn] = true
	return w.server, true
}

// remove forgets a connection that has ended.
func (w *frontend) remove(conn *quic.Conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.connections, conn)
}

// swapServer puts another server in force and returns the old one.
func (w *frontend) swapServer(next *http3.Server) (old *http3.Server) {
	w.mu.Lock()
	defer w.mu.Unlock()
	old, w.server = w.server, next
	return old
}

// closeAll ends every connection at once, those in their handshake too, and takes
// no new one until listen is called.
func (w *frontend) closeAll() {
	w.mu.Lock()
	w.closed = true
	var open []*quic.Conn
	for conn := range w.connections {
		open = append(open, conn)
	}
	listener := w.listener
	w.mu.Unlock()
	if listener != nil {
		_ = listener.Close()
	}
	for _, conn := range open {
		closeDomainOut(conn)
	}
}

func closeDomainOut(conn *quic.Conn) {
	_ = conn.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), "failure domain out")
}

// listenControl binds the control address and makes the server and the client
// for relayed requests.
func (a *Agent) listenControl() (listener net.Listener, err error) {
	serverTLS, err := a.options.Ring.ServerTLS("h2", "http/1.1")
	if err != nil {
		return nil, err
	}
	clientTLS, err := a.options.Ring.ClientTLS("h2")
	if err != nil {
		return nil, err
	}
	a.peerTransport = &http.Transport{
		DialContext:         (&net.Dialer{Timeout: relayDialTimeout}).DialContext,
		TLSClientConfig:     clientTLS,
		TLSHandshakeTimeout: relayDialTimeout,
		ForceAttemptHTTP2:   true,
		DisableCompression:  true,
		IdleConnTimeout:     time.Minute,
	}
	plain, err := net.Listen("tcp", a.options.Control.String()) //nolint:noctx // binding an address doesn't wait
	if err != nil {
		return nil, err
	}
	a.options.Control = plain.Addr().(*net.TCPAddr).AddrPort()
	a.options.Control = netip.AddrPortFrom(a.options.Control.Addr().Unmap(), a.options.Control.Port())
	a.controlServer = &http.Server{
		Handler:           http.HandlerFunc(a.serveControl),
		TLSConfig:         serverTLS,
		ReadHeaderTimeout: readHeaderTimeout,
	}
	return tls.NewListener(plain, serverTLS), nil
}

// serveControl serves what comes to the control address.
func (a *Agent) serveControl(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, relayPrefix+"/") {
		a.serveRelayed(w, r)
		return
	}
	a.options.ControlHandler.ServeHTTP(w, r)
}
