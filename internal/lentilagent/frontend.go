package lentilagent

import (
	"context"
	"crypto/tls"
	"errors"
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
	// quicPacketBytes is the size of QUIC packets. With the tunnel's headers they fit into
	// 1500 bytes. Path MTU discovery is disabled, so packets don't grow: nothing in the
	// tunnel may be fragmented.
	quicPacketBytes = 1280
	// idleTimeout is the QUIC idle timeout. It closes connections whose caller has gone
	// without closing them.
	idleTimeout = time.Minute
	// keepAlivePeriod is the interval of QUIC keep-alives, which keep the path to an inactive
	// caller open.
	keepAlivePeriod = 15 * time.Second
	// streamsPerConnection is the maximum number of concurrent requests on a connection.
	streamsPerConnection = 1000
	// ticketKeyBytes is the length of the keys that authenticate tickets.
	ticketKeyBytes = 32
	// readHeaderTimeout is how long a peer may take to send the headers of a request.
	readHeaderTimeout = 5 * time.Second
)

// frontend is the HTTP/3 server of an agent and its connections.
type frontend struct {
	tlsConfig  *tls.Config
	quicConfig *quic.Config

	mu          sync.Mutex
	listener    *quic.Listener
	server      *http3.Server
	connections map[*quic.Conn]bool
	// closed is true while new connections are closed at once.
	closed bool
}

// startFrontend starts the QUIC transport and the HTTP/3 server on the agent's flowConn.
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

// listen starts to accept new connections.
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

// ConnectionCount returns the number of open connections of callers.
func (a *Agent) ConnectionCount() (open int) {
	a.frontend.mu.Lock()
	defer a.frontend.mu.Unlock()
	return len(a.frontend.connections)
}

// newServer returns an HTTP/3 server that has not begun to drain.
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
			closeConnection(conn)
			continue
		}
		go a.serveConnection(conn, server)
	}
}

// serveConnection serves a new connection until it ends. If a planned stop begins or ends
// meanwhile, the server may have been shut down before it got the connection, which then goes
// to the next server.
func (a *Agent) serveConnection(conn *quic.Conn, server *http3.Server) {
	for {
		err := server.ServeQUICConn(conn)
		previous := server
		server = a.frontend.currentServer()
		if !errors.Is(err, http.ErrServerClosed) || server == previous || conn.Context().Err() != nil {
			break
		}
	}
	closeConnection(conn)
	a.frontend.remove(conn)
}

// add registers a new connection and returns the server for it. ok is false if the frontend
// is closed.
func (f *frontend) add(conn *quic.Conn) (server *http3.Server, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return nil, false
	}
	f.connections[conn] = true
	return f.server, true
}

// remove removes a connection that has ended.
func (f *frontend) remove(conn *quic.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.connections, conn)
}

// swapServer replaces the server for new connections and returns the previous one.
func (f *frontend) swapServer(next *http3.Server) (previous *http3.Server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	previous, f.server = f.server, next
	return previous
}

// currentServer returns the server for new connections.
func (f *frontend) currentServer() (server *http3.Server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.server
}

// closeListener refuses new connections, including those in their handshake. Open ones go on.
func (f *frontend) closeListener() {
	f.mu.Lock()
	listener := f.listener
	f.mu.Unlock()
	_ = listener.Close()
}

// closeAll closes all connections at once, including those in their handshake. It accepts no
// new connection until listen is called.
func (f *frontend) closeAll() {
	f.mu.Lock()
	f.closed = true
	var open []*quic.Conn
	for conn := range f.connections {
		open = append(open, conn)
	}
	listener := f.listener
	f.mu.Unlock()
	if listener != nil {
		_ = listener.Close()
	}
	for _, conn := range open {
		closeConnection(conn)
	}
}

// closeConnection closes a connection with the reason by which callers recognise a failure
// domain that is out of service. An agent that is closed gives its callers the same reason.
func closeConnection(conn *quic.Conn) {
	_ = conn.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), "failure domain out")
}

// listenControl binds the control address and sets up the server and the transport for
// relayed requests.
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
	tcpListener, err := net.Listen("tcp", a.options.Control.String()) //nolint:noctx // binding an address doesn't block
	if err != nil {
		return nil, err
	}
	a.options.Control = tcpListener.Addr().(*net.TCPAddr).AddrPort()
	a.options.Control = netip.AddrPortFrom(a.options.Control.Addr().Unmap(), a.options.Control.Port())
	a.controlServer = &http.Server{
		Handler:           http.HandlerFunc(a.serveControl),
		TLSConfig:         serverTLS,
		ReadHeaderTimeout: readHeaderTimeout,
	}
	return tls.NewListener(tcpListener, serverTLS), nil
}

// serveControl serves requests to the control address.
func (a *Agent) serveControl(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, relayPrefix+"/") {
		a.serveRelayed(w, r)
		return
	}
	a.options.ControlHandler.ServeHTTP(w, r)
}
