package lentilcontrol

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"lentilstair.example/lentilstair/internal/lentilcontrol/lentilcontrolpb"
	"lentilstair.example/lentilstair/internal/lentilcontrol/lentilcontrolpb/lentilcontrolpbconnect"
	"lentilstair.example/lentilstair/pkg/lentilbudget"
	"lentilstair.example/lentilstair/pkg/lentilclock"
)

// Limits of what one peer may ask for.
const (
	// maxMessageBytes is the size of a message in bytes, at most.
	maxMessageBytes = 2 << 20
	// minCompressBytes is the size in bytes from which on a message is compressed.
	minCompressBytes = 4 << 10
	// callsPerSecond and callsBurst bound the calls from one address.
	callsPerSecond = 200
	callsBurst     = 400
	// maxLimitedAddresses bounds the addresses whose calls are counted.
	maxLimitedAddresses = 8192
	// headerTimeout bounds how long a connection may take over a request's header.
	headerTimeout = 5 * time.Second
	// idleTimeout closes connections without calls.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes is the size of a request's header in bytes, at most.
	maxHeaderBytes = 16 << 10
)

// errTooManyCalls says that a peer calls too often.
var errTooManyCalls = errors.New("too many calls from this address")

// service serves control calls by asking the actor.
type service struct {
	mailbox mailbox
	refused atomic.Uint64
	// clock tells the time by which calls are bounded; nil is the machine's.
	clock lentilclock.Clock
}

var _ lentilcontrolpbconnect.ControlServiceHandler = (*service)(nil)

// Announce renews the lease of an agent.
func (s *service) Announce(_ context.Context, request *connect.Request[lentilcontrolpb.AnnounceRequest]) (response *connect.Response[lentilcontrolpb.AnnounceResponse], err error) {
	answer, err := ask[announceResult](s.mailbox, request.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	if answer.err != nil {
		return nil, connect.NewError(connect.CodeInternal, answer.err)
	}
	return connect.NewResponse(answer.response), nil
}

// Exchange compares and passes on entries.
func (s *service) Exchange(_ context.Context, request *connect.Request[lentilcontrolpb.ExchangeRequest]) (response *connect.Response[lentilcontrolpb.ExchangeResponse], err error) {
	answer, err := ask[*lentilcontrolpb.ExchangeResponse](s.mailbox, request.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(answer), nil
}

// FetchConfiguration returns a newer configuration.
func (s *service) FetchConfiguration(_ context.Context, request *connect.Request[lentilcontrolpb.FetchConfigurationRequest]) (response *connect.Response[lentilcontrolpb.FetchConfigurationResponse], err error) {
	answer, err := ask[fetchResult](s.mailbox, request.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	if answer.err != nil {
		return nil, connect.NewError(connect.CodeInternal, answer.err)
	}
	return connect.NewResponse(answer.response), nil
}

// Status returns what the balancer knows.
func (s *service) Status(_ context.Context, request *connect.Request[lentilcontrolpb.StatusRequest]) (response *connect.Response[lentilcontrolpb.StatusResponse], err error) {
	answer, err := ask[*lentilcontrolpb.StatusResponse](s.mailbox, request.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(answer), nil
}

// handler returns the HTTP handler with its limits. What is refused for its size
// or form is counted.
func (s *service) handler() http.Handler {
	path, handler := lentilcontrolpbconnect.NewControlServiceHandler(s,
		connect.WithReadMaxBytes(maxMessageBytes),
		connect.WithCompressMinBytes(minCompressBytes),
	)
	mux := http.NewServeMux()
	mux.Handle(path, s.limitCalls(handler))
	return mux
}

// limitCalls refuses callers that call too often.
func (s *service) limitCalls(next http.Handler) http.Handler {
	callers := &callLimiter{}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !callers.allow(r.RemoteAddr, lentilclock.OrSystem(s.clock).Now()) {
			s.refused.Add(1)
			http.Error(w, errTooManyCalls.Error(), http.StatusTooManyRequests)
			return
		}
		// The date would make up much of a small answer.
		w.Header()["Date"] = nil
		recorder := &statusRecorder{ResponseWriter: w}
		next.ServeHTTP(recorder, r)
		if recorder.status >= http.StatusBadRequest {
			s.refused.Add(1)
		}
	})
}

// statusRecorder remembers the status of an answer.
type statusRecorder struct {
	http.ResponseWriter
	status int
}

// WriteHeader sends the status.
func (r *statusRecorder) WriteHeader(status int) {
	r.status = status
	r.ResponseWriter.WriteHeader(status)
}

// callLimiter bounds the calls from each address.
type callLimiter struct {
	mu      sync.Mutex
	buckets map[netip.Addr]*lentilbudget.Bucket
}

func (c *callLimiter) allow(remote string, now time.Time) (ok bool) {
	address, err := netip.ParseAddrPort(remote)
	if err != nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	bucket := c.buckets[address.Addr()]
	if bucket == nil {
		if c.buckets == nil || len(c.buckets) >= maxLimitedAddresses {
			c.buckets = map[netip.Addr]*lentilbudget.Bucket{}
		}
		bucket = &lentilbudget.Bucket{PerSecond: callsPerSecond, Burst: callsBurst}
		c.buckets[address.Addr()] = bucket
	}
	return bucket.Allow(now, 1)
}

// countingListener counts the bytes of the connections that it accepts.
type countingListener struct {
	net.Listener
	bytes *atomic.Uint64
}

// Accept waits for the next connection.
func (l countingListener) Accept() (connection net.Conn, err error) {
	connection, err = l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{Conn: connection, bytes: l.bytes}, nil
}

// countingConn counts the bytes that pass in both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Uint64
}

// Read reads and counts.
func (c countingConn) Read(buffer []byte) (n int, err error) {
	n, err = c.Conn.Read(buffer)
	c.bytes.Add(uint64(n))
	return n, err
}

// Write writes and counts.
func (c countingConn) Write(buffer []byte) (n int, err error) {
	n, err = c.Conn.Write(buffer)
	c.bytes.Add(uint64(n))
	return n, err
}
