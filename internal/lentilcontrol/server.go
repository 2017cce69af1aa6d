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

// Limits of the control server.
const (
	// maxMessageBytes is the maximum size of a message.
	maxMessageBytes = 2 << 20
	// minCompressBytes is the size from which messages are compressed.
	minCompressBytes = 4 << 10
	// callsPerSecond and callsBurst limit the calls from one address.
	callsPerSecond = 200
	callsBurst     = 400
	// maxLimitedAddresses bounds the addresses whose call rates are tracked.
	maxLimitedAddresses = 8192
	// headerTimeout limits the time to read the header of a request.
	headerTimeout = 5 * time.Second
	// idleTimeout is after how long a connection without calls is closed.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes is the maximum size of the header of a request.
	maxHeaderBytes = 16 << 10
)

// errTooManyCalls is the answer to an address that exceeds its call rate.
var errTooManyCalls = errors.New("too many calls from this address")

// service implements the control service. It passes the requests to the actor of the node.
type service struct {
	mailbox mailbox
	// refused counts the calls answered with an HTTP status of 400 or above.
	refused atomic.Uint64
	// clock is the time source of the rate limit; nil means the system clock.
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

// Exchange compares the entries of two balancers and transfers the missing ones.
func (s *service) Exchange(_ context.Context, request *connect.Request[lentilcontrolpb.ExchangeRequest]) (response *connect.Response[lentilcontrolpb.ExchangeResponse], err error) {
	answer, err := ask[*lentilcontrolpb.ExchangeResponse](s.mailbox, request.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(answer), nil
}

// FetchConfiguration returns a configuration that is newer than the client's.
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

// Status returns the status of this balancer, and the members and agents that it knows.
func (s *service) Status(_ context.Context, request *connect.Request[lentilcontrolpb.StatusRequest]) (response *connect.Response[lentilcontrolpb.StatusResponse], err error) {
	answer, err := ask[*lentilcontrolpb.StatusResponse](s.mailbox, request.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(answer), nil
}

// handler returns the HTTP handler, with limits on the size of messages and the rate of
// calls.
func (s *service) handler() http.Handler {
	path, handler := lentilcontrolpbconnect.NewControlServiceHandler(s,
		connect.WithReadMaxBytes(maxMessageBytes),
		connect.WithCompressMinBytes(minCompressBytes),
	)
	mux := http.NewServeMux()
	mux.Handle(path, s.limitCalls(handler))
	return mux
}

// limitCalls refuses calls from addresses that exceed their rate, and counts all calls
// answered with an HTTP status of 400 or above.
func (s *service) limitCalls(next http.Handler) http.Handler {
	limiter := &callLimiter{}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !limiter.allow(r.RemoteAddr, lentilclock.OrSystem(s.clock).Now()) {
			s.refused.Add(1)
			http.Error(w, errTooManyCalls.Error(), http.StatusTooManyRequests)
			return
		}
		// A Date header would be a large part of a small response.
		w.Header()["Date"] = nil
		recorder := &statusRecorder{ResponseWriter: w}
		next.ServeHTTP(recorder, r)
		if recorder.status >= http.StatusBadRequest {
			s.refused.Add(1)
		}
	})
}

// statusRecorder records the HTTP status of a response.
type statusRecorder struct {
	http.ResponseWriter
	status int
}

// WriteHeader records and sends the status.
func (r *statusRecorder) WriteHeader(status int) {
	r.status = status
	r.ResponseWriter.WriteHeader(status)
}

// callLimiter limits the rate of calls from each address.
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

// Accept waits for the next connection and wraps it to count its bytes.
func (l countingListener) Accept() (connection net.Conn, err error) {
	connection, err = l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{Conn: connection, bytes: l.bytes}, nil
}

// countingConn counts the bytes transferred in both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Uint64
}

// Read reads from the connection and counts the bytes.
func (c countingConn) Read(buffer []byte) (n int, err error) {
	n, err = c.Conn.Read(buffer)
	c.bytes.Add(uint64(n))
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c countingConn) Write(buffer []byte) (n int, err error) {
	n, err = c.Conn.Write(buffer)
	c.bytes.Add(uint64(n))
	return n, err
}
