package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

type meta struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
}

// MarshalJSON adds the fields that the stand-in doesn't use.
func (m meta) MarshalJSON() ([]byte, error) {
	return json.Marshal(map[string]any{
		"name": m.Name, "revision": m.Revision, "created": m.Created, wire["held"]: []string{}, "deleting": false,
	})
}

type object struct {
	Meta   meta            `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type event struct {
	kind    string
	rev     uint64
	Object  object `json:"object"`
	Removed bool   `json:"removed"`
}

// store is the platform's metadata store.
type store struct {
	site    *site
	mu      sync.Mutex
	rev     uint64
	objects map[string]map[string]object
	history []event
	changed chan struct{}
	// lose reports whether a write gets no answer and is done late, and how late.
	lose   func(method, kind, name string) (lost bool, late time.Duration)
	server *http.Server
}

func startStore(s *site, addr string) (*store, error) {
	st := &store{site: s, rev: 10, objects: map[string]map[string]object{}, changed: make(chan struct{})}
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, err
	}
	st.server = &http.Server{Handler: st}
	go func() { _ = st.server.Serve(l) }()
	return st, nil
}

func (st *store) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	body, err := io.ReadAll(io.LimitReader(q.Body, 2<<20))
	if err != nil {
		return
	}
	time.Sleep(4 * time.Millisecond)
	kind, name, named := strings.Cut(strings.TrimPrefix(q.URL.Path, wire["objects"]), "/")
	if q.Method != http.MethodGet {
		var o object
		_ = json.Unmarshal(body, &o)
		what := name
		if !named {
			what = o.Meta.Name
		}
		if st.lose != nil {
			if lost, late := st.lose(q.Method, kind, what); lost {
				st.site.note("store: %s %s/%s gets no answer, done %v later", q.Method, kind, what, late)
				time.AfterFunc(late, func() {
					code, _ := st.write(q.Method, kind, name, named, o)
					st.site.note("store: late %s %s/%s -> %d", q.Method, kind, what, code)
				})
				<-q.Context().Done()
				return
			}
		}
		code, answer := st.write(q.Method, kind, name, named, o)
		if kind != "config" && !(strings.Contains(kind, "ledger") && q.Method == http.MethodPut) {
			st.site.note("store: %s %s/%s -> %d", q.Method, kind, what, code)
		}
		reply(w, code, answer)
		return
	}
	switch {
	case named:
		st.mu.Lock()
		o, ok := st.objects[kind][name]
		st.mu.Unlock()
		if !ok {
			reply(w, 404, nil)
			return
		}
		reply(w, 200, o)
	case q.URL.Query().Has("watch"):
		st.watch(w, q, kind)
	default:
		st.mu.Lock()
		items := []object{}
		names := []string{}
		for n := range st.objects[kind] {
			names = append(names, n)
		}
		sort.Strings(names)
		for _, n := range names {
			if n > q.URL.Query().Get("after") {
				items = append(items, st.objects[kind][n])
			}
		}
		rev := st.rev
		st.mu.Unlock()
		reply(w, 200, map[string]any{"items": items, "hasMore": false, wire["at"]: rev})
	}
}

func (st *store) watch(w http.ResponseWriter, q *http.Request, kind string) {
	from, _ := strconv.ParseUint(q.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(q.URL.Query().Get("waitMs"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		st.mu.Lock()
		events := []event{}
		for _, e := range st.history {
			if e.kind == kind && e.rev > from {
				events = append(events, e)
			}
		}
		rev, changed := st.rev, st.changed
		st.mu.Unlock()
		if len(events) > 0 {
			reply(w, 200, map[string]any{"events": events, wire["at"]: rev})
			return
		}
		select {
		case <-changed:
		case <-end:
			reply(w, 200, map[string]any{"events": events, wire["at"]: rev})
			return
		case <-q.Context().Done():
			return
		}
	}
}

func (st *store) write(method, kind, name string, named bool, o object) (int, any) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.objects[kind] == nil {
		st.objects[kind] = map[string]object{}
	}
	switch {
	case method == http.MethodPost && !named:
		if old, ok := st.objects[kind][o.Meta.Name]; ok {
			return 409, old
		}
		return 200, st.put(kind, o)
	case !named:
		return 400, nil
	}
	old, ok := st.objects[kind][name]
	switch {
	case !ok:
		return 404, nil
	case method == http.MethodDelete:
		st.rev++
		delete(st.objects[kind], name)
		st.history = append(st.history, event{kind: kind, rev: st.rev, Object: old, Removed: true})
		st.wake()
		return 200, nil
	case o.Meta.Revision != 0 && o.Meta.Revision != old.Meta.Revision:
		return 409, old
	case string(o.Spec) == string(old.Spec):
		return 200, old
	}
	o.Meta.Name = name
	return 200, st.put(kind, o)
}

func (st *store) put(kind string, o object) object {
	if st.objects[kind] == nil {
		st.objects[kind] = map[string]object{}
	}
	st.rev++
	o.Meta.Revision = st.rev
	o.Meta.Created = st.rev
	if old, ok := st.objects[kind][o.Meta.Name]; ok {
		o.Meta.Created = old.Meta.Created
	}
	st.objects[kind][o.Meta.Name] = o
	st.history = append(st.history, event{kind: kind, rev: st.rev, Object: o})
	st.wake()
	return o
}

func (st *store) wake() {
	close(st.changed)
	st.changed = make(chan struct{})
}

// operator writes an object for the operator.
func (st *store) operator(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	check(err)
	st.mu.Lock()
	defer st.mu.Unlock()
	st.put(kind, object{Meta: meta{Name: name}, Spec: data})
}

func reply(w http.ResponseWriter, code int, answer any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(answer)
}
