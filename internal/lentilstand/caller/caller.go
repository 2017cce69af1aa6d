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
	// Repeatable and Once are how many requests all callers together send a second.
	Repeatable, Once float64
	// Timeout is how long a caller waits for an answer.
	Timeout time.Duration
	// Bytes is how long the answers to repeatable requests are.
	Bytes int
	// Attempts is how often a caller asks again, under the same ticket, when the
	// outcome is unknown or an attempt has failed.
	Attempts int
	// Reconnect is the time after which a caller opens a new connection for its
	// requests; zero is never.
	Reconnect time.Duration
	// StreamLength is the time after which a caller ends a stream itself and opens
	// the next one; zero is never.
	StreamLength time.Duration
	Seed         uint64
	// Name begins the ids of this process's requests.
	Name string
	TLS  *tls.Config
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
	// patience is how much longer than its timeout a caller waits for the answer
	// before it counts the request as failed.
	patience = 2 * time.Second
)

// Caller is a set of callers.
type Caller struct {
	options Options
	book    book
	clients []*client
	ids     struct {
		sync.Mutex
		last uint64
	}
}

// client is one caller with its own connection.
type client struct {
	mu        sync.Mutex
	transport *http3.Transport
	http      *http.Client
	opened    time.Time
	// streams is the transport of the caller's streams, which is never replaced.
	streams *http3.Transport
}

// Run calls until ctx ends and returns what was seen.
func Run(ctx context.Context, options Options) (report ReportDoc) {
	c := &Caller{options: options}
	for range max(options.Connections, 1) {
		c.clients = append(c.clients, &client{})
	}
	c.book.report.Connections = len(c.clients)
	began := time.Now()
	var all sync.WaitGroup
	for i := range options.Streams {
		all.Go(func() { c.watch(ctx, c.clients[i%len(c.clients)], c.newID("watch")) })
	}
	all.Go(func() { c.send(ctx, options.Repeatable, false, &all) })
	all.Go(func() { c.send(ctx, options.Once, true, &all) })
	all.Wait()
	took := time.Since(began)
	for _, one := range c.clients {
		one.close()
	}
	return c.book.close(took)
}

// newID returns an id that no other request has.
func (c *Caller) newID(kind string) (id string) {
	c.ids.Lock()
	defer c.ids.Unlock()
	c.ids.last++
	return fmt.Sprintf("%s-%s-%d", c.options.Name, kind, c.ids.last)
}

// get returns the HTTP client; after the reconnect time a new one, while what
// runs on the old one goes on.
func (l *client) get(o *Options) (h *http.Client) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fresh := o.Reconnect == 0 || time.Since(l.opened) < o.Reconnect
	if l.http != nil && fresh {
		return l.http
	}
	if old := l.transport; old != nil {
		time.AfterFunc(o.Timeout+patience, func() { _ = old.Close() })
	}
	l.transport = newTransport(o)
	l.http = &http.Client{Transport: l.transport}
	l.opened = time.Now()
	return l.http
}

// getStreams returns the HTTP client for streams.
func (l *client) getStreams(o *Options) (h *http.Client) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.streams == nil {
		l.streams = newTransport(o)
	}
	return &http.Client{Transport: l.streams}
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
	for _, transport := range []*http3.Transport{l.transport, l.streams} {
		if transport != nil {
			_ = transport.Close()
		}
	}
}

// send sends requests at a rate, with random gaps, until ctx ends.
func (c *Caller) send(ctx context.Context, rate float64, once bool, all *sync.WaitGroup) {
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
		all.Go(func() { c.request(one, once) })
	}
}

// request sends one request and checks its answer. It isn't cut when the run ends.
func (c *Caller) request(one *client, once bool) {
	kind, method, path := "work", http.MethodGet, "/work"
	if once {
		kind, method, path = "enrol", http.MethodPost, "/enrol"
	}
	id := c.newID(kind)
	query := url.Values{"id": {id}}
	if !once && c.options.Bytes > 0 {
		query.Set("bytes", strconv.Itoa(c.options.Bytes))
	}
	target := c.options.Target + path + "?" + query.Encode()
	began := time.Now()
	var seen seen
	for attempt := 0; attempt <= c.options.Attempts; attempt++ {
		seen = c.attempt(one, method, target, id)
		if seen.result != resultUnknown && seen.result != resultFailed {
			break
		}
		if seen.unheard {
			continue // Nothing on the connection ran, so that the same request may be sent again.
		}
		if once && seen.ticketed == "" {
			break // Without its ticket a new attempt would be another request.
		}
		if once {
			target = seen.ticketed
		}
	}
	took := time.Since(began)
	if seen.result == resultAnswered && took > c.options.Timeout {
		c.book.late(once)
	}
	c.book.request(once, id, seen.result, took, seen.copyName, seen.detail)
}

// seen is what a caller saw of one attempt.
type seen struct {
	result   result
	copyName string
	detail   string
	// ticketed is the URL with the ticket, if one was given.
	ticketed string
	// unheard says that the server refused the connection during the handshake, when no
	// request on it can have been read.
	unheard bool
}

// isRefused reports whether a server refused the connection during its handshake
// (CONNECTION_REFUSED, RFC 9000, section 20.1). A caller may have finished its side of
// the handshake and sent a request by then; the server hasn't read it.
func isRefused(err error) (refused bool) {
	var fault *quic.TransportError
	return errors.As(err, &fault) && fault.Remote && fault.ErrorCode == quic.ConnectionRefused
}

// attempt sends a request once.
func (c *Caller) attempt(one *client, method, target, id string) (s seen) {
	ctx, cancel := context.WithTimeout(context.Background(), c.options.Timeout+patience)
	defer cancel()
	var body io.Reader
	if method == http.MethodPost {
		body = bytes.NewReader([]byte("booking " + id))
	}
	request, err := http.NewRequestWithContext(ctx, method, target, body)
	if err != nil {
		return seen{result: resultFailed, detail: err.Error()}
	}
	request.Header.Set(headerTimeout, strconv.FormatInt(c.options.Timeout.Milliseconds(), 10))
	response, err := one.get(&c.options).Do(request)
	if err != nil {
		return seen{result: resultFailed, detail: err.Error(), unheard: isRefused(err)}
	}
	defer func() { _ = response.Body.Close() }()
	s.ticketed = response.Request.URL.String()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		s.result, s.detail = resultFailed, err.Error()
		return s
	}
	s.judge(response, data, id, c.options.Bytes)
	return s
}

// refusalDoc is what a caller reads of a refusal.
type refusalDoc struct {
	Reason string `json:"reason"`
}

// judge says what an answer is.
func (s *seen) judge(response *http.Response, data []byte, id string, length int) {
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

// watch keeps one stream open until ctx ends. A stream that breaks is noted and
// opened again.
func (c *Caller) watch(ctx context.Context, one *client, id string) {
	for ctx.Err() == nil {
		if !c.watchOnce(ctx, one, id) {
			select {
			case <-ctx.Done():
			case <-time.After(time.Second):
			}
		}
	}
}

// watchOnce opens a stream and reads it. ok is false if it should be opened again
// after a pause.
func (c *Caller) watchOnce(ctx context.Context, one *client, id string) (ok bool) {
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
	response, err := one.getStreams(&c.options).Do(request)
	if err != nil {
		if ctx.Err() == nil {
			c.book.stream(func(d *StreamsDoc) { d.Refused++ })
		}
		return false
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		c.book.stream(func(d *StreamsDoc) { d.Refused++ })
		return false
	}
	c.book.stream(func(d *StreamsDoc) { d.Opened++ })
	copyName, err := c.readTicks(response.Body, id, silence)
	if ctx.Err() != nil || whole.Err() != nil && own.Err() == nil {
		return true
	}
	c.book.brokenStream(id, copyName, err.Error())
	return false
}

// streamContext ends when the caller wants no more of a stream.
func (c *Caller) streamContext(ctx context.Context) (whole context.Context, end context.CancelFunc) {
	if c.options.StreamLength == 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, c.options.StreamLength)
}

// readTicks reads a stream to its end, which is always an error, and returns the
// name of the copy that sent it.
func (c *Caller) readTicks(body io.Reader, id string, silence *time.Timer) (copyName string, err error) {
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
		c.book.stream(func(d *StreamsDoc) {
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
