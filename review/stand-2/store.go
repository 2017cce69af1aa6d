package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

type meta struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"-"`
}

type object struct {
	Meta   meta            `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type event struct {
	kind     string
	revision uint64
	Object   object `json:"object"`
	Removed  bool   `json:"removed"`
}

// call is a call of a machine to the store.
type call struct {
	machine            netip.Addr
	method, kind, name string
	watch              bool
}

// verdict says what the store does with a call.
type verdict struct {
	// status is answered at once, and nothing is done; 0 carries the call out.
	status int
	// late is how long after its arrival the call is carried out without an answer.
	late time.Duration
	// lost carries the call out at once without an answer.
	lost bool
	// delay is how long the answer takes.
	delay time.Duration
}

// store stands in for the platform's metadata store.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	history  []event
	changed  chan struct{}
	decide   func(c call) verdict
	log      func(format string, values ...any)
}

func newStore(log func(string, ...any)) *store {
	return &store{revision: 10, objects: make(map[string]map[string]object), changed: make(chan struct{}), log: log}
}

func (s *store) listen(address string) error {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	go func() { _ = (&http.Server{Handler: s}).Serve(l) }()
	return nil
}

// setDecide sets the function that decides about calls; nil serves all of them.
func (s *store) setDecide(decide func(c call) verdict) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decide = decide
}

// operatorPut writes an object for the operator.
func (s *store) operatorPut(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putLocked(kind, object{Meta: meta{Name: name}, Spec: data})
}

func (s *store) operatorRemove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeLocked(kind, name)
}

// names returns the names of the objects of a kind.
func (s *store) names(kind string) (names []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name := range s.objects[kind] {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) putLocked(kind string, o object) object {
	s.revision++
	o.Meta.Revision, o.Meta.Created = s.revision, s.revision
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	if previous, ok := s.objects[kind][o.Meta.Name]; ok {
		o.Meta.Created = previous.Meta.Created
	}
	s.objects[kind][o.Meta.Name] = o
	s.history = append(s.history, event{kind: kind, revision: s.revision, Object: o})
	s.wake()
	return o
}

func (s *store) removeLocked(kind, name string) {
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	s.revision++
	delete(s.objects[kind], name)
	s.history = append(s.history, event{kind: kind, revision: s.revision, Object: o, Removed: true})
	s.wake()
}

func (s *store) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	kind, name, _ := strings.Cut(strings.TrimPrefix(q.URL.Path, wire.Objects), "/")
	var machine netip.Addr
	if remote, err := netip.ParseAddrPort(q.RemoteAddr); err == nil {
		machine = remote.Addr()
	}
	if local, ok := q.Context().Value(http.LocalAddrContextKey).(*net.TCPAddr); ok {
		machine = local.AddrPort().Addr().Unmap()
	}
	c := call{machine: machine, method: q.Method, kind: kind, name: name, watch: q.URL.Query().Has("watch")}
	if q.Method == http.MethodPost {
		var o object
		if json.Unmarshal(body, &o) == nil {
			c.name = o.Meta.Name
		}
	}
	s.mu.Lock()
	decide := s.decide
	s.mu.Unlock()
	var v verdict
	if decide != nil {
		v = decide(c)
	}
	time.Sleep(4*time.Millisecond + v.delay)
	switch {
	case v.status != 0:
		answer(w, v.status, nil)
		return
	case v.lost || v.late > 0:
		if v.late > 0 {
			go func() {
				time.Sleep(v.late)
				status, _ := s.write(q, kind, name, body)
				s.log("store: %s %s/%s, whose answer was lost, is carried out %s late: status %d", c.method, c.kind, c.name, v.late, status)
			}()
		} else {
			status, _ := s.write(q, kind, name, body)
			s.log("store: %s %s/%s is carried out, status %d, and the answer is lost", c.method, c.kind, c.name, status)
		}
		<-q.Context().Done()
		return
	case q.Method == http.MethodGet && c.watch:
		s.watch(w, q, kind)
	case q.Method == http.MethodGet:
		s.read(w, q, kind, name)
	default:
		status, o := s.write(q, kind, name, body)
		if kind == "agents" || kind == "balancers" {
			s.log("store: %s %s/%s of %s: status %d", c.method, c.kind, c.name, c.machine, status)
		}
		answer(w, status, o)
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body)
	}
}

func (s *store) read(w http.ResponseWriter, q *http.Request, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if name != "" {
		if o, ok := s.objects[kind][name]; ok {
			answer(w, http.StatusOK, o)
		} else {
			answer(w, http.StatusNotFound, struct{}{})
		}
		return
	}
	var names []string
	for n := range s.objects[kind] {
		if n > q.URL.Query().Get("after") {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	const page = 500
	items, more := []object{}, len(names) > page
	for _, n := range names[:min(len(names), page)] {
		items = append(items, s.objects[kind][n])
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, wire.StoreRevision: s.revision})
}

func (s *store) watch(w http.ResponseWriter, q *http.Request, kind string) {
	from, _ := strconv.ParseUint(q.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(q.URL.Query().Get("waitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []event{}
		for _, e := range s.history {
			if e.kind == kind && e.revision > from {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, wire.StoreRevision: revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			answer(w, http.StatusOK, map[string]any{"events": events, wire.StoreRevision: revision})
			return
		case <-q.Context().Done():
			return
		}
	}
}

func (s *store) write(q *http.Request, kind, name string, body []byte) (status int, result any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var o object
	if len(body) > 0 {
		if err := json.Unmarshal(body, &o); err != nil {
			return http.StatusBadRequest, nil
		}
	}
	if q.Method == http.MethodPost {
		if old, ok := s.objects[kind][o.Meta.Name]; ok {
			return http.StatusConflict, old
		}
		return http.StatusCreated, s.putLocked(kind, o)
	}
	name, isStatus := strings.CutSuffix(name, "/status")
	old, ok := s.objects[kind][name]
	if !ok {
		return http.StatusNotFound, struct{}{}
	}
	want := o.Meta.Revision
	if text := q.URL.Query().Get("revision"); text != "" {
		want, _ = strconv.ParseUint(text, 10, 64)
	}
	if want != 0 && want != old.Meta.Revision {
		return http.StatusConflict, old
	}
	if q.Method == http.MethodDelete {
		s.removeLocked(kind, name)
		return http.StatusOK, struct{}{}
	}
	next := old
	if isStatus {
		next.Status = o.Status
	} else {
		next.Spec = o.Spec
	}
	if string(next.Spec) == string(old.Spec) && string(next.Status) == string(old.Status) {
		return http.StatusOK, old
	}
	return http.StatusOK, s.putLocked(kind, next)
}
