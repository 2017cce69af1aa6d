package lentilcontrol

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"lentilstair.example/lentilstair/internal/lentilcontrol/lentilcontrolpb/lentilcontrolpbconnect"
)

const (
	// dialTimeout limits the TCP connect and the TLS handshake, each.
	dialTimeout = time.Second
	// callTimeout limits an exchange or a heartbeat.
	callTimeout = time.Second
	// fetchTimeout limits a call that fetches a configuration.
	fetchTimeout = 10 * time.Second
	// maxClients bounds the cached clients.
	maxClients = 256
)

// Dialer creates and caches clients of the control services of balancers. The zero Dialer
// connects without TLS. A Dialer is safe for concurrent use.
type Dialer struct {
	// TLS is the client's TLS configuration; nil means no TLS.
	TLS *tls.Config

	once       sync.Once
	httpClient *http.Client
	mu         sync.Mutex
	clients    map[netip.AddrPort]lentilcontrolpbconnect.ControlServiceClient
	bytes      atomic.Uint64
}

// Client returns the client for the control service at an address.
func (d *Dialer) Client(to netip.AddrPort) lentilcontrolpbconnect.ControlServiceClient {
	d.once.Do(d.prepare)
	d.mu.Lock()
	defer d.mu.Unlock()
	client := d.clients[to]
	if client == nil {
		if len(d.clients) >= maxClients {
			clear(d.clients)
		}
		client = lentilcontrolpbconnect.NewControlServiceClient(d.httpClient, d.scheme()+"://"+to.String(),
			connect.WithReadMaxBytes(maxMessageBytes),
			connect.WithSendGzip(),
			connect.WithCompressMinBytes(minCompressBytes),
		)
		d.clients[to] = client
	}
	return client
}

func (d *Dialer) scheme() string {
	if d.TLS == nil {
		return "http"
	}
	return "https"
}

func (d *Dialer) prepare() {
	d.clients = map[netip.AddrPort]lentilcontrolpbconnect.ControlServiceClient{}
	protocols := &http.Protocols{}
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	d.httpClient = &http.Client{Transport: &http.Transport{
		Protocols:           protocols,
		TLSClientConfig:     d.TLS.Clone(),
		TLSHandshakeTimeout: dialTimeout,
		DialContext:         d.dial,
		IdleConnTimeout:     idleTimeout,
	}}
}

func (d *Dialer) dial(ctx context.Context, network, address string) (connection net.Conn, err error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var dialer net.Dialer
	connection, err = dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return countingConn{Conn: connection, bytes: &d.bytes}, nil
}

// Bytes returns how many bytes were transferred in both directions, including TLS overhead
// but not TCP headers.
func (d *Dialer) Bytes() uint64 { return d.bytes.Load() }

// Close closes the idle connections.
func (d *Dialer) Close() {
	d.once.Do(d.prepare)
	d.httpClient.CloseIdleConnections()
}
