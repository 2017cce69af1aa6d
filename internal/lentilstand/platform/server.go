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
	// bookmarkEvery is after how much silence a watch gets a bookmark.
	bookmarkEvery = 20 * time.Second
)

// Server is the stand-in, an http.Handler. The zero Server is ready to use. Its
// fields must not change once it serves.
type Server struct {
	// Clock tells the time of creation; nil means the machine's clock.
	Clock lentilclock.Clock
	// Unlimited switches the rates off, for tests of other things.
	Unlimited bool
	// Intercept decides before each call how it fails; nil means by the switches
	// alone. It is called by several goroutines.
	Intercept func(Call) Effect

	once   sync.Once
	reads  *rate.Limiter
	writes *rate.Limiter

	mu       sync.Mutex
	switches SwitchesDoc
	calls    CallsDoc
	state    state
	saved    *state
}

// Call describes a call to Intercept.
type Call struct {
	Method string
	Kind   lentilplatform.Kind
	Name   string
	Watch  bool
}

// Effect is what happens to a call besides its ordinary work.
type Effect uint8

// The effects.
const (
	// EffectNone lets the call through.
	EffectNone Effect = iota
	// EffectDown drops the connection before anything is done.
	EffectDown
	// EffectLost does the work and then drops the connection.
	EffectLost
)

// CallsDoc is the written form of what the stand-in has counted.
type CallsDoc struct {
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Limited uint64 `json:"limited"`
	// Watches counts the watches opened; they are within the reads too.
	Watches uint64 `json:"watches"`
	// Waiting is how many watches wait now.
	Waiting int `json:"waiting"`
}

// Calls returns what the stand-in has counted.
func (s *Server) Calls() CallsDoc {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *Server) start() {
	s.once.Do(func() {
		s.reads = rate.NewLimiter(ReadsPerSecond, ReadsPerSecond/burstDivisor)
		s.writes = rate.NewLimiter(WritesPerSecond, WritesPerSecond/burstDivisor)
		s.Clock = lentilclock.OrSystem(s.Clock)
	})
}

// ServeHTTP serves the object API below /apis and the switches below /admin.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.start()
	if strings.HasPrefix(r.URL.Path, "/admin/") {
		s.serveAdmin(w, r)
		return
	}
	target, found := parseTarget(r.URL.Path)
	if !found {
		refuse(w, http.StatusNotFound, "NotFound", "no such resource")
		return
	}
	call := Call{Method: r.Method, Kind: target.kind, Name: target.name, Watch: r.URL.Query().Get("watch") == "true"}
	effect := s.admit(call)
	if effect == EffectDown {
		panic(http.ErrAbortHandler)
	}
	if !s.allow(call) {
		w.Header().Set("Retry-After", "1")
		refuse(w, http.StatusTooManyRequests, "TooManyRequests", "the rate of calls is above the limit")
		return
	}
	if !s.delay(r.Context(), call) {
		return
	}
	if effect == EffectLost {
		s.serve(discard{}, r, call, target)
		panic(http.ErrAbortHandler)
	}
	s.serve(w, r, call, target)
}

// target is the part of the path that names an object or a list.
type target struct {
	kind      lentilplatform.Kind
	namespace string
	name      string
}

// parseTarget reads /apis/GROUP/VERSION/namespaces/NAMESPACE/PLURAL[/NAME].
func parseTarget(path string) (parsed target, found bool) {
	rest, found := strings.CutPrefix(path, "/apis/"+lentilplatform.APIGroup+"/"+lentilplatform.APIVersion+"/namespaces/")
	parts := strings.Split(rest, "/")
	if !found || len(parts) < 2 || len(parts) > 3 {
		return target{}, false
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

// admit counts the call and says how it fails.
func (s *Server) admit(call Call) (effect Effect) {
	if s.Intercept != nil {
		effect = s.Intercept(call)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.switches.Down {
		return EffectDown
	}
	if call.Method == http.MethodGet {
		return effect
	}
	if s.switches.LoseAnswers > 0 {
		s.switches.LoseAnswers--
		return EffectLost
	}
	return effect
}

// allow counts the call against the rates.
func (s *Server) allow(call Call) bool {
	limiter := s.writes
	if call.Method == http.MethodGet {
		limiter = s.reads
	}
	allowed := s.Unlimited || limiter.Allow()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !allowed:
		s.calls.Limited++
	case call.Method == http.MethodGet:
		s.calls.Reads++
	default:
		s.calls.Writes++
	}
	return allowed
}

// delay waits while the stand-in is slow. A write goes on after its caller has
// given up, as it does in a platform; a read doesn't.
func (s *Server) delay(ctx context.Context, call Call) (proceed bool) {
	s.mu.Lock()
	wait := time.Duration(s.switches.DelayMilliseconds) * time.Millisecond
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

func (s *Server) serve(w http.ResponseWriter, r *http.Request, call Call, on target) {
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
		refuse(w, http.StatusMethodNotAllowed, "MethodNotAllowed", r.Method+" isn't served here")
	}
}

func (s *Server) serveGet(w http.ResponseWriter, on target) {
	s.mu.Lock()
	doc, found := s.state.get(on)
	s.mu.Unlock()
	if !found {
		refuse(w, http.StatusNotFound, "NotFound", on.kind.Plural()+" "+on.name+" not found")
		return
	}
	answer(w, http.StatusOK, doc)
}

func (s *Server) serveCreate(w http.ResponseWriter, r *http.Request, on target) {
	doc, ok := readObject(w, r)
	if !ok {
		return
	}
	on.name = doc.Metadata.Name
	if on.name == "" || doc.Kind != on.kind.APIKind() || doc.Metadata.ResourceVersion != "" {
		refuse(w, http.StatusUnprocessableEntity, "Invalid", "the object's name, kind or version is wrong")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, found := s.state.get(on); found {
		refuse(w, http.StatusConflict, "AlreadyExists", on.kind.Plural()+" "+on.name+" already exists")
		return
	}
	created := s.Clock.Now().UTC().Truncate(time.Second)
	doc.Metadata.CreationTimestamp = &created
	answer(w, http.StatusCreated, s.state.put(on, doc, added))
}

func (s *Server) serveUpdate(w http.ResponseWriter, r *http.Request, on target) {
	doc, ok := readObject(w, r)
	if !ok {
		return
	}
	if doc.Metadata.Name != on.name || doc.Kind != on.kind.APIKind() {
		refuse(w, http.StatusUnprocessableEntity, "Invalid", "the object's name or kind is wrong")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	held, ok := s.findAt(w, on, doc.Metadata.ResourceVersion)
	if !ok {
		return
	}
	doc.Metadata.CreationTimestamp = held.Metadata.CreationTimestamp
	answer(w, http.StatusOK, s.state.put(on, doc, modified))
}

// findAt returns the object to be written, or refuses if it isn't there or has moved on
// from the stated version; "" states none. The caller holds the lock.
func (s *Server) findAt(w http.ResponseWriter, on target, stated string) (held lentilplatform.ObjectDoc, ok bool) {
	held, found := s.state.get(on)
	if !found {
		refuse(w, http.StatusNotFound, "NotFound", on.kind.Plural()+" "+on.name+" not found")
		return held, false
	}
	if stated != "" && stated != held.Metadata.ResourceVersion {
		refuse(w, http.StatusConflict, "Conflict", "the object has been modified")
		return held, false
	}
	return held, true
}

func (s *Server) serveDelete(w http.ResponseWriter, r *http.Request, on target) {
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
		refuse(w, http.StatusBadRequest, "BadRequest", "the body can't be read")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.findAt(w, on, options.Preconditions.ResourceVersion); !ok {
		return
	}
	s.state.remove(on)
	answer(w, http.StatusOK, lentilplatform.StatusDoc{APIVersion: "v1", Kind: "Status", Status: "Success", Code: http.StatusOK})
}

// readObject reads an object or refuses the call.
func readObject(w http.ResponseWriter, r *http.Request) (doc lentilplatform.ObjectDoc, ok bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, lentilplatform.MaxObjectSize))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		refuse(w, http.StatusRequestEntityTooLarge, "RequestEntityTooLarge", "the object is larger than 1 MiB")
		return doc, false
	}
	if err != nil || json.Unmarshal(body, &doc) != nil {
		refuse(w, http.StatusBadRequest, "BadRequest", "the object can't be read")
		return doc, false
	}
	return doc, true
}

func answer(w http.ResponseWriter, code int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		code = http.StatusInternalServerError
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_, _ = w.Write(body)
}

func refuse(w http.ResponseWriter, code int, reason, message string) {
	answer(w, code, lentilplatform.StatusDoc{
		APIVersion: "v1", Kind: "Status", Status: "Failure", Message: message, Reason: reason, Code: code,
	})
}

// discard takes an answer that nobody gets.
type discard struct{}

// Header returns a header that is thrown away.
func (discard) Header() http.Header { return http.Header{} }

// Write throws the bytes away.
func (discard) Write(body []byte) (n int, err error) { return len(body), nil }

// WriteHeader does nothing.
func (discard) WriteHeader(int) {}
