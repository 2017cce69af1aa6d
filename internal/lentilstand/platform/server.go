// Package platform stands in for the platform's object API in tests and in the
// quick start. It serves the conventions that lentilplatform calls, holds objects
// in memory, keeps the platform's limits, and fails in the ways in which a
// platform fails when a switch says so.
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

// Limits of the stand-in, those of the platform.
const (
	// ReadsPerSecond is the rate of reads, a watch counting as one.
	ReadsPerSecond = 2000
	// WritesPerSecond is the rate of writes.
	WritesPerSecond = 400
	// burstDivisor makes the burst a fraction of a second's calls.
	burstDivisor = 4
	// bookmarkInterval is after how much silence a watch gets a bookmark.
	bookmarkInterval = 20 * time.Second
)

// Server is the stand-in, an http.Handler. The zero Server is ready to use. Its
// fields must not change once it serves.
type Server struct {
	// Clock tells the time of creation; nil means the machine's clock.
	Clock lentilclock.Clock
	// Unlimited switches the rates off, for tests of other things.
	Unlimited bool
	// InjectFault decides before each call how it fails; nil means by the switches
	// alone. It is called by several goroutines.
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

// Call describes a call to Intercept.
type Call struct {
	Method string
	Kind   lentilplatform.Kind
	Name   string
	Watch  bool
}

// Fault is what happens to a call besides its ordinary work.
type Fault uint8

// The effects.
const (
	// FaultNone lets the call through.
	FaultNone Fault = iota
	// FaultDropCall drops the connection before anything is done.
	FaultDropCall
	// FaultLoseAnswer does the work and then drops the connection.
	FaultLoseAnswer
)

// CallsDoc is the written form of what the stand-in has counted.
type CallsDoc struct {
	Reads       uint64 `json:"reads"`
	Writes      uint64 `json:"writes"`
	RateLimited uint64 `json:"limited"`
	// Watches counts the watches opened; they are within the reads too.
	Watches uint64 `json:"watches"`
	// OpenWatches is how many watches wait now.
	OpenWatches int `json:"waiting"`
}

// Calls returns what the stand-in has counted.
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

// ServeHTTP serves the object API below /apis and the switches below /admin.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.initialize()
	if strings.HasPrefix(r.URL.Path, "/admin/") {
		s.serveAdmin(w, r)
		return
	}
	target, found := parseResourcePath(r.URL.Path)
	if !found {
		writeError(w, http.StatusNotFound, "NotFound", "no such resource")
		return
	}
	call := Call{Method: r.Method, Kind: target.kind, Name: target.name, Watch: r.URL.Query().Get("watch") == "true"}
	effect := s.chooseFault(call)
	if effect == FaultDropCall {
		panic(http.ErrAbortHandler)
	}
	if !s.allowRate(call) {
		w.Header().Set("Retry-After", "1")
		writeError(w, http.StatusTooManyRequests, "TooManyRequests", "the rate of calls is above the limit")
		return
	}
	if !s.waitDelay(r.Context(), call) {
		return
	}
	if effect == FaultLoseAnswer {
		s.serveResource(discardWriter{}, r, call, target)
		panic(http.ErrAbortHandler)
	}
	s.serveResource(w, r, call, target)
}

// resource is the part of the path that names an object or a list.
type resource struct {
	kind      lentilplatform.Kind
	namespace string
	name      string
}

// parseResourcePath reads /apis/GROUP/VERSION/namespaces/NAMESPACE/PLURAL[/NAME].
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

// chooseFault counts the call and says how it fails.
func (s *Server) chooseFault(call Call) (effect Fault) {
	if s.InjectFault != nil {
		effect = s.InjectFault(call)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Down {
		return FaultDropCall
	}
	if call.Method == http.MethodGet {
		return effect
	}
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		return FaultLoseAnswer
	}
	return effect
}

// allowRate counts the call against the rates.
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

// waitDelay waits while the stand-in is slow. A write goes on after its caller has
// given up, as it does in a platform; a read doesn't.
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

func (s *Server) serveResource(w http.ResponseWriter, r *http.Request, call Call, on resource) {
	switch {
	case call.Watch:
		s.serveWatch(w, r, on)
	case r.Method == http.MethodGet && on.name == "":
		s.serveList(w, r, on)
	case r.Method == http.MethodGet:
		s.serveGet(w, on)
	case r.Method == http.MethodPost && on.name == "":
		s.serveCreate(w, r, on)
	case r.Method == http.MethodPut && on.name != "":
		s.serveUpdate(w, r, on)
	case r.Method == http.MethodDelete && on.name != "":
		s.serveDelete(w, r, on)
	default:
		writeError(w, http.StatusMethodNotAllowed, "MethodNotAllowed", r.Method+" isn't served here")
	}
}

func (s *Server) serveGet(w http.ResponseWriter, on resource) {
	s.mu.Lock()
	doc, found := s.store.get(on)
	s.mu.Unlock()
	if !found {
		writeError(w, http.StatusNotFound, "NotFound", on.kind.Plural()+" "+on.name+" not found")
		return
	}
	writeJSON(w, http.StatusOK, doc)
}

func (s *Server) serveCreate(w http.ResponseWriter, r *http.Request, on resource) {
	doc, ok := decodeObject(w, r)
	if !ok {
		return
	}
	on.name = doc.Metadata.Name
	if on.name == "" || doc.Kind != on.kind.APIKind() || doc.Metadata.ResourceVersion != "" {
		writeError(w, http.StatusUnprocessableEntity, "Invalid", "the object's name, kind or version is wrong")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, found := s.store.get(on); found {
		writeError(w, http.StatusConflict, "AlreadyExists", on.kind.Plural()+" "+on.name+" already exists")
		return
	}
	created := s.Clock.Now().UTC().Truncate(time.Second)
	doc.Metadata.CreationTimestamp = &created
	writeJSON(w, http.StatusCreated, s.store.put(on, doc, added))
}

func (s *Server) serveUpdate(w http.ResponseWriter, r *http.Request, on resource) {
	doc, ok := decodeObject(w, r)
	if !ok {
		return
	}
	if doc.Metadata.Name != on.name || doc.Kind != on.kind.APIKind() {
		writeError(w, http.StatusUnprocessableEntity, "Invalid", "the object's name or kind is wrong")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	held, ok := s.findForWrite(w, on, doc.Metadata.ResourceVersion)
	if !ok {
		return
	}
	doc.Metadata.CreationTimestamp = held.Metadata.CreationTimestamp
	writeJSON(w, http.StatusOK, s.store.put(on, doc, modified))
}

// findForWrite returns the object to be written, or refuses if it isn't there or has moved on
// from the stated version; "" states none. The caller holds the lock.
func (s *Server) findForWrite(w http.ResponseWriter, on resource, stated string) (held lentilplatform.ObjectDoc, ok bool) {
	held, found := s.store.get(on)
	if !found {
		writeError(w, http.StatusNotFound, "NotFound", on.kind.Plural()+" "+on.name+" not found")
		return held, false
	}
	if stated != "" && stated != held.Metadata.ResourceVersion {
		writeError(w, http.StatusConflict, "Conflict", "the object has been modified")
		return held, false
	}
	return held, true
}

func (s *Server) serveDelete(w http.ResponseWriter, r *http.Request, on resource) {
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
		writeError(w, http.StatusBadRequest, "BadRequest", "the body can't be read")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.findForWrite(w, on, options.Preconditions.ResourceVersion); !ok {
		return
	}
	s.store.remove(on)
	writeJSON(w, http.StatusOK, lentilplatform.StatusDoc{APIVersion: "v1", Kind: "Status", Status: "Success", Code: http.StatusOK})
}

// decodeObject reads an object or refuses the call.
func decodeObject(w http.ResponseWriter, r *http.Request) (doc lentilplatform.ObjectDoc, ok bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, lentilplatform.MaxObjectSize))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		writeError(w, http.StatusRequestEntityTooLarge, "RequestEntityTooLarge", "the object is larger than 1 MiB")
		return doc, false
	}
	if err != nil || json.Unmarshal(body, &doc) != nil {
		writeError(w, http.StatusBadRequest, "BadRequest", "the object can't be read")
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

// discardWriter takes an answer that nobody gets.
type discardWriter struct{}

// Header returns a header that is thrown away.
func (discardWriter) Header() http.Header { return http.Header{} }

// Write throws the bytes away.
func (discardWriter) Write(body []byte) (n int, err error) { return len(body), nil }

// WriteHeader does nothing.
func (discardWriter) WriteHeader(int) {}
