// Package caller is a stand-in for callers: ordinary HTTP/3 clients of an unmodified
// library, which keep streams open and send requests, and check what they get.
//
// A stream has to go on without a gap until the caller ends it, an answer has to
// be whole and to the caller's own request, and a refusal has to come in time.
package caller

import (
	"bufio"
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
)

// Options say what the callers do.
type Options struct {
	// Target is the service, such as https://127.0.0.1:7443.
	Target string
	// Connections is how many callers there are, each with its own connection.
	Connections int
	// Streams is how many streams all callers together keep open.
	Streams int
	// RepeatableRate and OnceRate are how many requests all callers together send a second.
	RepeatableRate, OnceRate float64
	// Timeout is how long a caller waits for an answer.
	Timeout time.Duration
	// AnswerBytes is how long the answers to repeatable requests are.
	AnswerBytes int
	// Retries is how often a caller asks again, under the same ticket, when the
	// outcome is unknown or an attempt has failed.
	Retries int
	// ReconnectInterval is the time after which a caller opens a new connection for its
	// requests; zero is never.
	ReconnectInterval time.Duration
	// StreamDuration is the time after which a caller ends a stream itself and opens
	// the next one; zero is never.
	StreamDuration time.Duration
	Seed           uint64
	// IDPrefix begins the ids of this process's requests.
	IDPrefix string
	TLS      *tls.Config
}

const (
	// headerOutcome and the values below are those of lentilagent: callers know them
	// from the callers' page.
	headerOutcome  = "Lentil-Outcome"
	headerTimeout  = "Lentil-Timeout"
	outcomeNotRun  = "notRun"
	outcomeUnknown = "outcomeUnknown"
	// idleTimeout is how long a silent connection lasts.
	idleTimeout = 30 * time.Second
	// tickTimeout is how long a stream may be silent until it counts as broken.
	tickTimeout = 10 * time.Second
	// lateAnswerTimeout is how much longer than its timeout a caller waits for the answer
	// before it counts the request as failed.
	lateAnswerTimeout = 2 * time.Second
)

// Group is a set of callers.
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
	// streamTransport is the transport of the caller's streamTransport, which is never replaced.
	streamTransport *http3.Transport
}

// Run calls until ctx ends and returns what was seen.
func Run(ctx context.Context, options Options) (report ReportDoc) {
	c := &Group{options: options}
	for range max(options.Connections, 1) {
		c.clients = append(c.clients, &client{})
	}
	c.recorder.report.Connections = len(c.clients)
	began := time.Now()
	var all sync.WaitGroup
	for i := range options.Streams {
		all.Go(func() { c.keepStreamOpen(ctx, c.clients[i%len(c.clients)], c.newID("watch")) })
	}
	all.Go(func() { c.sendRequests(ctx, options.RepeatableRate, false, &all) })
	all.Go(func() { c.sendRequests(ctx, options.OnceRate, true, &all) })
	all.Wait()
	took := time.Since(began)
	for _, one := range c.clients {
		one.close()
	}
	return c.recorder.finish(took)
}

// newID returns an id that no other request has.
func (c *Group) newID(kind string) (id string) {
	c.ids.Lock()
	defer c.ids.Unlock()
	c.ids.last++
	return fmt.Sprintf("%s-%s-%d", c.options.IDPrefix, kind, c.ids.last)
}

// requestClient returns the HTTP client; after the reconnect time a new one, while what
// runs on the old one goes on.
func (l *client) requestClient(o *Options) (h *http.Client) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fresh := o.ReconnectInterval == 0 || time.Since(l.openedAt) < o.ReconnectInterval
	if l.httpClient != nil && fresh {
		return l.httpClient
	}
	if old := l.requestTransport; old != nil {
		time.AfterFunc(o.Timeout+lateAnswerTimeout, func() { _ = old.Close() })
	}
	l.requestTransport = newTransport(o)
	l.httpClient = &http.Client{Transport: l.requestTransport}
	l.openedAt = time.Now()
	return l.httpClient
}

// streamClient returns the HTTP client for streams.
func (l *client) streamClient(o *Options) (h *http.Client) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.streamTransport == nil {
		l.streamTransport = newTransport(o)
	}
	return &http.Client{Transport: l.streamTransport}
}

func newTransport(o *Options) *http3.Transport {
	return &http3.Transport{
		TLSClientConfig: o.TLS,
		QUICConfig:      &quic.Config{MaxIdleTimeout: idleTimeout, KeepAlivePeriod: idleTimeout / 3},
	}
}

func (l *client) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, transport := range []*http3.Transport{l.requestTransport, l.streamTransport} {
		if transport != nil {
			_ = transport.Close()
		}
	}
}

// sendRequests sends requests at a rate, with random gaps, until ctx ends.
func (c *Group) sendRequests(ctx context.Context, rate float64, once bool, all *sync.WaitGroup) {
	if rate <= 0 {
		return
	}
	stream := c.options.Seed * 2
	if once {
		stream++
	}
	random := rand.New(rand.NewPCG(c.options.Seed, stream))
	for {
		gap := time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		select {
		case <-ctx.Done():
			return
		case <-time.After(gap):
		}
		one := c.clients[random.IntN(len(c.clients))]
		all.Go(func() { c.runRequest(one, once) })
	}
}

// runRequest sends one runRequest and checks its answer. It isn't cut when the run ends.
func (c *Group) runRequest(one *client, once bool) {
	kind, method, path := "work", http.MethodGet, "/work"
	if once {
		kind, method, path = "enrol", http.MethodPost, "/enrol"
	}
	id := c.newID(kind)
	query := url.Values{"id": {id}}
	if !once && c.options.AnswerBytes > 0 {
		query.Set("bytes", strconv.Itoa(c.options.AnswerBytes))
	}
	target := c.options.Target + path + "?" + query.Encode()
	began := time.Now()
	var seen attemptResult
	for attempt := 0; attempt <= c.options.Retries; attempt++ {
		seen = c.attempt(one, method, target, id)
		if seen.result != resultUnknown && seen.result != resultFailed {
			break
		}
		if seen.connectionRefused {
			continue // Nothing on the connection ran, so that the same request may be sent again.
		}
		if once && seen.ticketURL == "" {
			break // Without its ticket a new attempt would be another request.
		}
		if once {
			target = seen.ticketURL
		}
	}
	took := time.Since(began)
	if seen.result == resultAnswered && took > c.options.Timeout {
		c.recorder.recordLate(once)
	}
	c.recorder.recordRequest(once, id, seen.result, took, seen.copyName, seen.detail)
}

// attemptResult is what a caller saw of one attempt.
type attemptResult struct {
	result   result
	copyName string
	detail   string
	// ticketURL is the URL with the ticket, if one was given.
	ticketURL string
	// connectionRefused says that the server refused the connection during the handshake, when no
	// request on it can have been read.
	connectionRefused bool
}

// isConnectionRefused reports whether a server refused the connection during its handshake
// (CONNECTION_REFUSED, RFC 9000, section 20.1). A caller may have finished its side of
// the handshake and sent a request by then; the server hasn't read it.
func isConnectionRefused(err error) (refused bool) {
	var fault *quic.TransportError
	return errors.As(err, &fault) && fault.Remote && fault.ErrorCode == quic.ConnectionRefused
}

// attempt sends a request once.
func (c *Group) attempt(one *client, method, target, id string) (s attemptResult) {
	ctx, cancel := context.WithTimeout(context.Background(), c.options.Timeout+lateAnswerTimeout)
	defer cancel()
	var body io.Reader
	if method == http.MethodPost {
		body = bytes.NewReader([]byte("booking " + id))
	}
	request, err := http.NewRequestWithContext(ctx, method, target, body)
	if err != nil {
		return attemptResult{result: resultFailed, detail: err.Error()}
	}
	request.Header.Set(headerTimeout, strconv.FormatInt(c.options.Timeout.Milliseconds(), 10))
	response, err := one.requestClient(&c.options).Do(request)
	if err != nil {
		return attemptResult{result: resultFailed, detail: err.Error(), connectionRefused: isConnectionRefused(err)}
	}
	defer func() { _ = response.Body.Close() }()
	s.ticketURL = response.Request.URL.String()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		s.result, s.detail = resultFailed, err.Error()
		return s
	}
	s.classify(response, data, id, c.options.AnswerBytes)
	return s
}

// refusalDoc is what a caller reads of a refusal.
type refusalDoc struct {
	Reason string `json:"reason"`
}

// classify says what an answer is.
func (s *attemptResult) classify(response *http.Response, data []byte, id string, length int) {
	switch response.Header.Get(headerOutcome) {
	case outcomeNotRun:
		var refusal refusalDoc
		_ = json.Unmarshal(data, &refusal)
		s.result, s.detail = resultNotRun, refusal.Reason
		return
	case outcomeUnknown:
		s.result, s.detail = resultUnknown, string(data)
		return
	}
	if response.StatusCode != http.StatusOK {
		s.result, s.detail = resultCopyError, response.Status
		return
	}
	var echo upstream.EchoDoc
	if err := json.Unmarshal(data, &echo); err != nil || echo.ID != id {
		s.result, s.detail = resultWrong, fmt.Sprintf("answer for %q", echo.ID)
		return
	}
	if echo.Runs == 0 && len(echo.Filler) != length {
		s.result, s.detail = resultWrong, fmt.Sprintf("%d bytes of %d", len(echo.Filler), length)
		return
	}
	s.result, s.copyName = resultAnswered, echo.Copy
}

// keepStreamOpen keeps one stream open until ctx ends. A stream that breaks is noted and
// opened again.
func (c *Group) keepStreamOpen(ctx context.Context, one *client, id string) {
	for ctx.Err() == nil {
		if !c.runStream(ctx, one, id) {
			select {
			case <-ctx.Done():
			case <-time.After(time.Second):
			}
		}
	}
}

// runStream opens a stream and reads it. ok is false if it should be opened again
// after a pause.
func (c *Group) runStream(ctx context.Context, one *client, id string) (ok bool) {
	own, cancel := context.WithCancel(ctx)
	defer cancel()
	whole, end := c.streamContext(own)
	defer end()
	request, err := http.NewRequestWithContext(whole, http.MethodGet, c.options.Target+"/watch?id="+url.QueryEscape(id), nil)
	if err != nil {
		return false
	}
	silence := time.AfterFunc(tickTimeout, cancel)
	defer silence.Stop()
	response, err := one.streamClient(&c.options).Do(request)
	if err != nil {
		if ctx.Err() == nil {
			c.recorder.updateStreams(func(d *StreamsDoc) { d.Refused++ })
		}
		return false
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		c.recorder.updateStreams(func(d *StreamsDoc) { d.Refused++ })
		return false
	}
	c.recorder.updateStreams(func(d *StreamsDoc) { d.Opened++ })
	copyName, err := c.readTicks(response.Body, id, silence)
	if ctx.Err() != nil || whole.Err() != nil && own.Err() == nil {
		return true
	}
	c.recorder.recordBrokenStream(id, copyName, err.Error())
	return false
}

// streamContext ends when the caller wants no more of a stream.
func (c *Group) streamContext(ctx context.Context) (whole context.Context, end context.CancelFunc) {
	if c.options.StreamDuration == 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, c.options.StreamDuration)
}

// readTicks reads a stream to its end, which is always an error, and returns the
// name of the copy that sent it.
func (c *Group) readTicks(body io.Reader, id string, silence *time.Timer) (copyName string, err error) {
	lines := bufio.NewScanner(body)
	last, previous := time.Now(), uint64(0)
	for lines.Scan() {
		var tick upstream.TickDoc
		err = json.Unmarshal(lines.Bytes(), &tick)
		gap := time.Since(last)
		last = time.Now()
		silence.Reset(tickTimeout)
		whole := err == nil && tick.ID == id && tick.Sequence == previous+1
		previous, copyName = tick.Sequence, tick.Copy
		c.recorder.updateStreams(func(d *StreamsDoc) {
			d.Ticks++
			d.LongestGapMillis = max(d.LongestGapMillis, gap.Milliseconds())
			if !whole {
				d.Gaps++
			}
		})
	}
	if lines.Err() == nil {
		return copyName, io.EOF
	}
	return copyName, lines.Err()
}
