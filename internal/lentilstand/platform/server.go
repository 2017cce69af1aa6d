// Package platform is a stand-in for the platform's object API, for tests and the quick
// start. It serves the part of the API that lentilplatform uses, stores objects in memory
// and enforces the platform's limits. Fault switches make it fail as a real platform does.
package platform

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"lentilstair.example/lentilstair/pkg/lentilclock"
	"lentilstair.example/lentilstair/pkg/lentilplatform"
)

// Limits of the stand-in, which are those of the platform.
const (
	// ReadsPerSecond is the rate limit of reads. Opening a watch counts as a read.
	ReadsPerSecond = 2000
	// WritesPerSecond is the rate limit of writes.
	WritesPerSecond = 400
	// burstDivisor sets the burst of the rate limiters, as a fraction of the calls per second.
	burstDivisor = 4
	// bookmarkInterval is the interval between bookmark events of a watch.
	bookmarkInterval = 20 * time.Second
)

// Server is the stand-in. It is an http.Handler whose zero value is ready to use. Its
// exported fields must not change once it serves.
type Server struct {
	// Clock provides creation timestamps; nil means the system clock.
	Clock lentilclock.Clock
	// Unlimited disables the rate limits, for tests that don't concern them.
	Unlimited bool
	// InjectFault chooses the fault of each call, unless the fault switches take
	// precedence; nil injects none. It is called from several goroutines.
	InjectFault func(Call) Fault

	initOnce     sync.Once
	readLimiter  *rate.Limiter
	writeLimiter *rate.Limiter

	mu       sync.Mutex
	faults   FaultsDoc
	calls    CallsDoc
	store    store
	snapshot *store
}

// Call describes an API call to InjectFault.
type Call struct {
	Method string
	Kind   lentilplatform.Kind
	Name   string
	Watch  bool
}

// Fault is a fault injected into an API call.
type Fault uint8

// The faults.
const (
	// FaultNone serves the call normally.
	FaultNone Fault = iota
	// FaultDropCall drops the connection before the call has any effect.
	FaultDropCall
	// FaultLoseAnswer performs the call and drops the connection instead of answering.
	FaultLoseAnswer
)

// CallsDoc is the JSON form of the counters of API calls.
type CallsDoc struct {
	Reads       uint64 `json:"reads"`
	Writes      uint64 `json:"writes"`
	RateLimited uint64 `json:"limited"`
	// Watches counts the watches opened. Reads includes them.
	Watches uint64 `json:"watches"`
	// OpenWatches is the number of watches that are open now.
	OpenWatches int `json:"waiting"`
}

// Calls returns the counters of API calls.
func (s *Server) Calls() CallsDoc {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *Server) initialize() {
	s.initOnce.Do(func() {
		s.readLimiter = rate.NewLimiter(ReadsPerSecond, ReadsPerSecond/burstDivisor)
		s.writeLimiter = rate.NewLimiter(WritesPerSecond, WritesPerSecond/burstDivisor)
		s.Clock = lentilclock.OrSystem(s.Clock)
	})
}

// ServeHTTP serves the object API below /apis and the admin endpoints below /admin.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.initialize()
	if strings.HasPrefix(r.URL.Path, "/admin/") {
		s.serveAdmin(w, r)
		return
	}
	res, found := parseResourcePath(r.URL.Path)
	if !found {
		writeError(w, http.StatusNotFound, "NotFound", "no such resource")
		return
	}
	call := Call{Method: r.Method, Kind: res.kind, Name: res.name, Watch: r.URL.Query().Get("watch") == "true"}
	fault := s.chooseFault(call)
	if fault == FaultDropCall {
		panic(http.ErrAbortHandler)
	}
	if !s.allowRate(call) {
		w.Header().Set("Retry-After", "1")
		writeError(w, http.StatusTooManyRequests, "TooManyRequests", "rate limit exceeded")
		return
	}
	if !s.waitDelay(r.Context(), call) {
		return
	}
	if fault == FaultLoseAnswer {
		s.serveResource(discardWriter{}, r, call, res)
		panic(http.ErrAbortHandler)
	}
	s.serveResource(w, r, call, res)
}

// resource identifies an object, or a list if name is empty.
type resource struct {
	kind      lentilplatform.Kind
	namespace string
	name      string
}

// parseResourcePath parses /apis/GROUP/VERSION/namespaces/NAMESPACE/PLURAL[/NAME].
func parseResourcePath(path string) (parsed resource, found bool) {
	rest, found := strings.CutPrefix(path, "/apis/"+lentilplatform.APIGroup+"/"+lentilplatform.APIVersion+"/namespaces/")
	parts := strings.Split(rest, "/")
	if !found || len(parts) < 2 || len(parts) > 3 {
		return resource{}, false
	}
	parsed.namespace = parts[0]
	if len(parts) == 3 {
		parsed.name = parts[2]
	}
	for _, kind := range lentilplatform.Kinds() {
		if kind.Plural() == parts[1] {
			parsed.kind = kind
		}
	}
	return parsed, parsed.kind != 0
}

// chooseFault returns the fault to inject into a call. For a write it uses up one of the
// answers to lose.
func (s *Server) chooseFault(call Call) (fault Fault) {
	if s.InjectFault != nil {
		fault = s.InjectFault(call)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Down {
		return FaultDropCall
	}
	if call.Method == http.MethodGet {
		return fault
	}
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		return FaultLoseAnswer
	}
	return fault
}

// allowRate reports whether the rate limits admit a call, and counts the call.
func (s *Server) allowRate(call Call) bool {
	limiter := s.writeLimiter
	if call.Method == http.MethodGet {
		limiter = s.readLimiter
	}
	allowed := s.Unlimited || limiter.Allow()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !allowed:
		s.calls.RateLimited++
	case call.Method == http.MethodGet:
		s.calls.Reads++
	default:
		s.calls.Writes++
	}
	return allowed
}

// waitDelay waits for the injected delay. A write proceeds even if its client has
// disconnected, as on a real platform; a read doesn't.
func (s *Server) waitDelay(ctx context.Context, call Call) (proceed bool) {
	s.mu.Lock()
	wait := time.Duration(s.faults.DelayMilliseconds) * time.Millisecond
	s.mu.Unlock()
	if wait == 0 {
		return true
	}
	if call.Method != http.MethodGet {
		ctx = context.WithoutCancel(ctx)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Server) serveResource(w http.ResponseWriter, r *http.Request, call Call, res resource) {
	switch {
	case call.Watch:
		s.serveWatch(w, r, res)
	case r.Method == http.MethodGet && res.name == "":
		s.serveList(w, r, res)
	case r.Method == http.MethodGet:
		s.serveGet(w, res)
	case r.Method == http.MethodPost && res.name == "":
		s.serveCreate(w, r, res)
	case r.Method == http.MethodPut && res.name != "":
		s.serveUpdate(w, r, res)
	case r.Method == http.MethodDelete && res.name != "":
		s.serveDelete(w, r, res)
	default:
		writeError(w, http.StatusMethodNotAllowed, "MethodNotAllowed", r.Method+" is not allowed on this resource")
	}
}

func (s *Server) serveGet(w http.ResponseWriter, res resource) {
	s.mu.Lock()
	doc, found := s.store.get(res)
	s.mu.Unlock()
	if !found {
		writeError(w, http.StatusNotFound, "NotFound", res.kind.Plural()+" "+res.name+" not found")
		return
	}
	writeJSON(w, http.StatusOK, doc)
}

func (s *Server) serveCreate(w http.ResponseWriter, r *http.Request, res resource) {
	doc, ok := decodeObject(w, r)
	if !ok {
		return
	}
	res.name = doc.Metadata.Name
	if res.name == "" || doc.Kind != res.kind.APIKind() || doc.Metadata.ResourceVersion != "" {
		writeError(w, http.StatusUnprocessableEntity, "Invalid", "the object must have a name, the kind of the path and no resource version")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, found := s.store.get(res); found {
		writeError(w, http.StatusConflict, "AlreadyExists", res.kind.Plural()+" "+res.name+" already exists")
		return
	}
	created := s.Clock.Now().UTC().Truncate(time.Second)
	doc.Metadata.CreationTimestamp = &created
	writeJSON(w, http.StatusCreated, s.store.put(res, doc, added))
}

func (s *Server) serveUpdate(w http.ResponseWriter, r *http.Request, res resource) {
	doc, ok := decodeObject(w, r)
	if !ok {
		return
	}
	if doc.Metadata.Name != res.name || doc.Kind != res.kind.APIKind() {
		writeError(w, http.StatusUnprocessableEntity, "Invalid", "the object must have the name and the kind of the path")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	stored, ok := s.findForWrite(w, res, doc.Metadata.ResourceVersion)
	if !ok {
		return
	}
	doc.Metadata.CreationTimestamp = stored.Metadata.CreationTimestamp
	writeJSON(w, http.StatusOK, s.store.put(res, doc, modified))
}

// findForWrite returns the object to be written. If it doesn't exist, or isn't at the
// required version, it writes an error response. An empty version requires none. The lock
// must be held.
func (s *Server) findForWrite(w http.ResponseWriter, res resource, version string) (stored lentilplatform.ObjectDoc, ok bool) {
	stored, found := s.store.get(res)
	if !found {
		writeError(w, http.StatusNotFound, "NotFound", res.kind.Plural()+" "+res.name+" not found")
		return stored, false
	}
	if version != "" && version != stored.Metadata.ResourceVersion {
		writeError(w, http.StatusConflict, "Conflict", "the object has been modified")
		return stored, false
	}
	return stored, true
}

func (s *Server) serveDelete(w http.ResponseWriter, r *http.Request, res resource) {
	var options struct {
		Preconditions struct {
			ResourceVersion string `json:"resourceVersion"`
		} `json:"preconditions"`
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, lentilplatform.MaxObjectSize))
	if err == nil && len(body) > 0 {
		err = json.Unmarshal(body, &options)
	}
	if err != nil {
		writeError(w, http.StatusBadRequest, "BadRequest", "the body is unreadable or malformed")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.findForWrite(w, res, options.Preconditions.ResourceVersion); !ok {
		return
	}
	s.store.remove(res)
	writeJSON(w, http.StatusOK, lentilplatform.StatusDoc{APIVersion: "v1", Kind: "Status", Status: "Success", Code: http.StatusOK})
}

// decodeObject decodes the object in the body, or writes an error response.
func decodeObject(w http.ResponseWriter, r *http.Request) (doc lentilplatform.ObjectDoc, ok bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, lentilplatform.MaxObjectSize))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		writeError(w, http.StatusRequestEntityTooLarge, "RequestEntityTooLarge", "the object is larger than 1 MiB")
		return doc, false
	}
	if err != nil || json.Unmarshal(body, &doc) != nil {
		writeError(w, http.StatusBadRequest, "BadRequest", "the object is unreadable or malformed")
		return doc, false
	}
	return doc, true
}

func writeJSON(w http.ResponseWriter, code int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		code = http.StatusInternalServerError
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_, _ = w.Write(body)
}

func writeError(w http.ResponseWriter, code int, reason, message string) {
	writeJSON(w, code, lentilplatform.StatusDoc{
		APIVersion: "v1", Kind: "Status", Status: "Failure", Message: message, Reason: reason, Code: code,
	})
}

// discardWriter is an http.ResponseWriter that discards the response.
type discardWriter struct{}

// Header returns a new header, which is discarded.
func (discardWriter) Header() http.Header { return http.Header{} }

// Write discards the bytes.
func (discardWriter) Write(body []byte) (n int, err error) { return len(body), nil }

// WriteHeader does nothing.
func (discardWriter) WriteHeader(int) {}
