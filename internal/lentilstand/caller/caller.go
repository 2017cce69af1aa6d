// Package caller is a stand-in for callers, for tests, the demo and the measurements:
// HTTP/3 clients that use an unmodified library. They keep streams open, send requests and
// check the answers.
//
// A stream must continue without a gap until the caller ends it. An answer must be
// complete and belong to the caller's own request. A refusal must arrive in time.
package caller

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"lentilstair.example/lentilstair/internal/lentilstand/upstream"
	"lentilstair.example/lentilstair/pkg/lentilclock"
)

// Options configure a group of callers.
type Options struct {
	// Target is the base URL of the service, such as https://127.0.0.1:7443.
	Target string
	// Connections is the number of callers. Each has its own connection.
	Connections int
	// Streams is the number of streams that all callers together keep open.
	Streams int
	// RepeatableRate and OnceRate are the requests per second of all callers together:
	// those that may be repeated, and those that may run only once.
	RepeatableRate, OnceRate float64
	// Timeout is the time in which a caller expects an answer. It is sent with each
	// request; a later answer counts as late.
	Timeout time.Duration
	// AnswerBytes is the length of the filler in answers to repeatable requests.
	AnswerBytes int
	// Retries is the maximum number of further attempts after an attempt that failed or
	// whose outcome is unknown. Further attempts at a request that may run only once use
	// its ticket. After an attempt at it that got no response there is no further one,
	// unless the connection was refused.
	Retries int
	// ReconnectInterval is the time after which a caller opens a new connection for its
	// requests; zero means never.
	ReconnectInterval time.Duration
	// StreamDuration is the time after which a caller ends a stream itself and opens
	// the next one; zero means never.
	StreamDuration time.Duration
	// Clock is the source of time for the results; nil is the system clock. WithTimeout limits attempts by the
	// same time; nil is context.WithTimeout.
	Clock       lentilclock.Clock
	WithTimeout func(parent context.Context, timeout time.Duration) (context.Context, context.CancelFunc)
	Seed        uint64
	// IDPrefix is the prefix of all request and stream ids of this group.
	IDPrefix string
	TLS      *tls.Config
}

const (
	// Headers and outcomes of lentilagent. They are repeated here and not imported, since
	// real callers know them only from the documentation for callers.
	headerOutcome  = "Lentil-Outcome"
	headerTimeout  = "Lentil-Timeout"
	outcomeNotRun  = "notRun"
	outcomeUnknown = "outcomeUnknown"
	// idleTimeout is the idle timeout of QUIC connections.
	idleTimeout = 30 * time.Second
	// tickTimeout is the longest time without a tick before a stream counts as broken.
	tickTimeout = 10 * time.Second
	// lateAnswerTimeout is the time after the request's timeout in which an answer still
	// counts as late; after that the request counts as failed.
	lateAnswerTimeout = 2 * time.Second
)

// Group is a group of callers with a common report.
type Group struct {
	options  Options
	recorder recorder
	clients  []*client
	ids      struct {
		sync.Mutex
		last uint64
	}
}

// client is one caller with its own connection.
type client struct {
	mu               sync.Mutex
	requestTransport *http3.Transport
	httpClient       *http.Client
	openedAt         time.Time
	// streamTransport carries the caller's streams and is never replaced.
	streamTransport *http3.Transport
}

// Run sends requests and keeps streams open until ctx ends. It returns the report.
func Run(ctx context.Context, options Options) (report ReportDoc) {
	options.Clock = lentilclock.OrSystem(options.Clock)
	if options.WithTimeout == nil {
		options.WithTimeout = context.WithTimeout
	}
	g := &Group{options: options}
	for range max(options.Connections, 1) {
		g.clients = append(g.clients, &client{})
	}
	g.recorder.report.Connections = len(g.clients)
	start := time.Now()
	var wg sync.WaitGroup
	for i := range options.Streams {
		wg.Go(func() { g.keepStreamOpen(ctx, g.clients[i%len(g.clients)], g.newID("watch")) })
	}
	wg.Go(func() { g.sendRequests(ctx, options.RepeatableRate, false, &wg) })
	wg.Go(func() { g.sendRequests(ctx, options.OnceRate, true, &wg) })
	wg.Wait()
	took := time.Since(start)
	for _, cl := range g.clients {
		cl.close()
	}
	return g.recorder.finish(took)
}

// newID returns an id that is unique in the group.
func (g *Group) newID(kind string) (id string) {
	g.ids.Lock()
	defer g.ids.Unlock()
	g.ids.last++
	return fmt.Sprintf("%s-%s-%d", g.options.IDPrefix, kind, g.ids.last)
}

// requestClient returns the HTTP client for requests. After ReconnectInterval it returns a
// new one with a new connection. Requests in progress continue on the old connection,
// which is closed after the longest time that a request may take.
func (c *client) requestClient(o *Options) (h *http.Client) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fresh := o.ReconnectInterval == 0 || time.Since(c.openedAt) < o.ReconnectInterval
	if c.httpClient != nil && fresh {
		return c.httpClient
	}
	if old := c.requestTransport; old != nil {
		time.AfterFunc(o.Timeout+lateAnswerTimeout, func() { _ = old.Close() })
	}
	c.requestTransport = newTransport(o)
	c.httpClient = &http.Client{Transport: c.requestTransport}
	c.openedAt = time.Now()
	return c.httpClient
}

// streamClient returns the HTTP client for streams.
func (c *client) streamClient(o *Options) (h *http.Client) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.streamTransport == nil {
		c.streamTransport = newTransport(o)
	}
	return &http.Client{Transport: c.streamTransport}
}

func newTransport(o *Options) *http3.Transport {
	return &http3.Transport{
		TLSClientConfig: o.TLS,
		QUICConfig:      &quic.Config{MaxIdleTimeout: idleTimeout, KeepAlivePeriod: idleTimeout / 3},
	}
}

func (c *client) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, transport := range []*http3.Transport{c.requestTransport, c.streamTransport} {
		if transport != nil {
			_ = transport.Close()
		}
	}
}

// sendRequests sends requests until ctx ends. The gaps between them are exponentially
// distributed, with the given average rate per second. once selects requests that may run
// only once.
func (g *Group) sendRequests(ctx context.Context, rate float64, once bool, wg *sync.WaitGroup) {
	if rate <= 0 {
		return
	}
	// Each kind of request has its own random sequence.
	pcgStream := g.options.Seed * 2
	if once {
		pcgStream++
	}
	random := rand.New(rand.NewPCG(g.options.Seed, pcgStream))
	for {
		gap := time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		select {
		case <-ctx.Done():
			return
		case <-time.After(gap):
		}
		cl := g.clients[random.IntN(len(g.clients))]
		wg.Go(func() { g.runRequest(cl, once) })
	}
}

// runRequest sends a request, with retries, and records the result. It isn't cancelled
// at the end of the run.
func (g *Group) runRequest(cl *client, once bool) {
	kind, method, path := "work", http.MethodGet, "/work"
	if once {
		kind, method, path = "enrol", http.MethodPost, "/enrol"
	}
	id := g.newID(kind)
	query := url.Values{"id": {id}}
	if !once && g.options.AnswerBytes > 0 {
		query.Set("bytes", strconv.Itoa(g.options.AnswerBytes))
	}
	target := g.options.Target + path + "?" + query.Encode()
	start := g.options.Clock.Now()
	var res attemptResult
	for attempt := 0; attempt <= g.options.Retries; attempt++ {
		res = g.attempt(cl, method, target, id)
		if res.result != resultUnknown && res.result != resultFailed {
			break
		}
		if res.connectionRefused {
			continue // No request on the connection ran, hence the same request may be sent again.
		}
		if once && res.ticketURL == "" {
			break // Without the ticket a retry would be a new request and might run twice.
		}
		if once {
			target = res.ticketURL
		}
	}
	took := g.options.Clock.Now().Sub(start)
	if res.result == resultAnswered && took > g.options.Timeout {
		g.recorder.recordLate(once)
	}
	g.recorder.recordRequest(once, id, res.result, took, res.copyName, res.detail)
}

// attemptResult is the result of one attempt.
type attemptResult struct {
	result   result
	copyName string
	detail   string
	// ticketURL is the URL of the response, after redirects. It carries the ticket if
	// the agent issued one. It is empty if there was no response.
	ticketURL string
	// connectionRefused is set if the server refused the connection during the handshake.
	// It can't have read a request on that connection.
	connectionRefused bool
}

// isConnectionRefused reports whether a server refused the connection during its handshake
// (CONNECTION_REFUSED, RFC 9000, section 20.1). The caller may have finished its side of
// the handshake and sent a request by then, but the server hasn't read it.
func isConnectionRefused(err error) (refused bool) {
	var transportErr *quic.TransportError
	return errors.As(err, &transportErr) && transportErr.Remote && transportErr.ErrorCode == quic.ConnectionRefused
}

// attempt sends a request once and classifies the answer.
func (g *Group) attempt(cl *client, method, target, id string) (res attemptResult) {
	ctx, cancel := g.options.WithTimeout(context.Background(), g.options.Timeout+lateAnswerTimeout)
	defer cancel()
	var body io.Reader
	if method == http.MethodPost {
		body = bytes.NewReader([]byte("booking " + id))
	}
	request, err := http.NewRequestWithContext(ctx, method, target, body)
	if err != nil {
		return attemptResult{result: resultFailed, detail: err.Error()}
	}
	request.Header.Set(headerTimeout, strconv.FormatInt(g.options.Timeout.Milliseconds(), 10))
	response, err := cl.requestClient(&g.options).Do(request)
	if err != nil {
		return attemptResult{result: resultFailed, detail: err.Error(), connectionRefused: isConnectionRefused(err)}
	}
	defer func() { _ = response.Body.Close() }()
	res.ticketURL = response.Request.URL.String()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		res.result, res.detail = resultFailed, err.Error()
		return res
	}
	res.classify(response, data, id, g.options.AnswerBytes)
	return res
}

// refusalDoc is the part of a refusal's JSON body that callers use.
type refusalDoc struct {
	Reason string `json:"reason"`
}

// classify sets the result from a response. id is the request's id and length the
// filler length that it asked for.
func (a *attemptResult) classify(response *http.Response, data []byte, id string, length int) {
	switch response.Header.Get(headerOutcome) {
	case outcomeNotRun:
		var refusal refusalDoc
		_ = json.Unmarshal(data, &refusal)
		a.result, a.detail = resultNotRun, refusal.Reason
		return
	case outcomeUnknown:
		a.result, a.detail = resultUnknown, string(data)
		return
	}
	if response.StatusCode != http.StatusOK {
		a.result, a.detail = resultCopyError, response.Status
		return
	}
	var echo upstream.EchoDoc
	if err := json.Unmarshal(data, &echo); err != nil || echo.ID != id {
		a.result, a.detail = resultWrong, fmt.Sprintf("answer to request %q", echo.ID)
		return
	}
	// Runs is zero only in answers of /work, and only these have a filler.
	if echo.Runs == 0 && len(echo.Filler) != length {
		a.result, a.detail = resultWrong, fmt.Sprintf("filler of %d bytes instead of %d", len(echo.Filler), length)
		return
	}
	a.result, a.copyName = resultAnswered, echo.Copy
}
