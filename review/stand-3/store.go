package main

import (
	"bytes"
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// storeLatency is what an answer of the platform's store takes.
const storeLatency = 4 * time.Millisecond

type meta struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
}

// MarshalJSON adds what a store that nobody asks to wait holds for all objects.
func (m meta) MarshalJSON() ([]byte, error) {
	return json.Marshal(map[string]any{"name": m.Name, "revision": m.Revision, "created": m.Created, wire.Finalizers: []string{}, "deleting": false})
}

type object struct {
	Meta   meta            `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status,omitempty"`
}

type event struct {
	kind     string
	revision uint64
	Object   object `json:"object"`
	Removed  bool   `json:"removed"`
}

// store is the platform's metadata store.
type store struct {
	mu       sync.Mutex
	revision uint64
	kinds    map[string]map[string]object
	history  []event
	changed  chan struct{}
	server   *http.Server
	// refuse tells whether a call from a machine with this address is turned away with 503.
	refuse func(remote string) bool
	calls  atomic.Int64
}

func startStore(address string) (s *store, err error) {
	s = &store{revision: 10, kinds: make(map[string]map[string]object), changed: make(chan struct{})}
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

func (s *store) record(e event) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) set(kind string, o object) object {
	s.revision++
	if s.kinds[kind] == nil {
		s.kinds[kind] = make(map[string]object)
	}
	o.Meta.Revision, o.Meta.Created = s.revision, s.revision
	if old, ok := s.kinds[kind][o.Meta.Name]; ok {
		o.Meta.Created = old.Meta.Created
	}
	s.kinds[kind][o.Meta.Name] = o
	s.record(event{kind: kind, revision: s.revision, Object: o})
	return o
}

// put writes an object for the operator. When it returns, the change is acknowledged.
func (s *store) put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(kind, object{Meta: meta{Name: name}, Spec: data})
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.del(kind, name)
}

func (s *store) del(kind, name string) {
	o, ok := s.kinds[kind][name]
	if !ok {
		return
	}
	s.revision++
	delete(s.kinds[kind], name)
	s.record(event{kind: kind, revision: s.revision, Object: o, Removed: true})
}

func (s *store) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	s.calls.Add(1)
	time.Sleep(storeLatency)
	body, _ := io.ReadAll(q.Body)
	host, _, _ := net.SplitHostPort(q.RemoteAddr)
	if s.refuse != nil && s.refuse(host) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	path := strings.Split(strings.TrimPrefix(q.URL.Path, wire.Objects), "/")
	query := q.URL.Query()
	switch {
	case q.Method == http.MethodGet && len(path) == 1 && query.Has("watch"):
		s.watch(w, q, path[0])
	case q.Method == http.MethodGet && len(path) == 1:
		s.list(w, path[0], query.Get("after"))
	case q.Method == http.MethodGet:
		s.mu.Lock()
		o, ok := s.kinds[path[0]][path[1]]
		s.mu.Unlock()
		if !ok {
			answer(w, http.StatusNotFound, map[string]any{})
			return
		}
		answer(w, http.StatusOK, o)
	default:
		status, result := s.write(q.Method, path, query.Get("revision"), body)
		answer(w, status, result)
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	items := []object{}
	for _, name := range slices.Sorted(maps.Keys(s.kinds[kind])) {
		if name > after {
			items = append(items, s.kinds[kind][name])
		}
	}
	revision := s.revision
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"items": items, "hasMore": false, wire.StoreRevision: revision})
}

func (s *store) watch(w http.ResponseWriter, q *http.Request, kind string) {
	from, err := strconv.ParseUint(q.URL.Query().Get("watch"), 10, 64)
	wait, waitErr := strconv.Atoi(q.URL.Query().Get("waitMs"))
	if err != nil || waitErr != nil {
		answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
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

func (s *store) write(method string, path []string, revision string, body []byte) (status int, result any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var o object
	if method != http.MethodDelete {
		if err := json.Unmarshal(body, &o); err != nil {
			return http.StatusBadRequest, map[string]any{}
		}
	}
	kind := path[0]
	if method == http.MethodPost {
		if old, ok := s.kinds[kind][o.Meta.Name]; ok {
			return http.StatusConflict, old
		}
		o.Meta.Revision = 0
		return http.StatusOK, s.set(kind, o)
	}
	if len(path) < 2 {
		return http.StatusBadRequest, map[string]any{}
	}
	old, ok := s.kinds[kind][path[1]]
	expected := revision
	if expected == "" && o.Meta.Revision != 0 {
		expected = strconv.FormatUint(o.Meta.Revision, 10)
	}
	switch {
	case !ok:
		return http.StatusNotFound, map[string]any{}
	case expected != "" && expected != strconv.FormatUint(old.Meta.Revision, 10):
		return http.StatusConflict, old
	case method == http.MethodDelete:
		s.del(kind, path[1])
		return http.StatusOK, map[string]any{}
	case bytes.Equal(o.Spec, old.Spec):
		return http.StatusOK, old
	}
	o.Meta.Name = path[1]
	return http.StatusOK, s.set(kind, o)
}
