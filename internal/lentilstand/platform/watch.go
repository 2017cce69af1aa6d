package platform

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilplatform"
)

// watchMax bounds a watch unless the call asks for less.
const watchMax = 10 * time.Minute

// stream is one watch.
type stream struct {
	server   *Server
	on       target
	revision uint64
	cuts     uint64
	w        http.ResponseWriter
	flush    func()
}

func (s *Server) serveWatch(w http.ResponseWriter, r *http.Request, on target) {
	query := r.URL.Query()
	revision, err := strconv.ParseUint(query.Get("resourceVersion"), 10, 64)
	flusher, ok := w.(http.Flusher)
	if err != nil || !ok {
		refuse(w, http.StatusBadRequest, "BadRequest", "the resource version can't be read")
		return
	}
	timeout := watchMax
	if seconds, err := strconv.Atoi(query.Get("timeoutSeconds")); err == nil && seconds > 0 {
		timeout = min(timeout, time.Duration(seconds)*time.Second)
	}
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	defer cancel()
	s.mu.Lock()
	s.calls.Watches++
	s.calls.Waiting++
	if s.state.changed == nil {
		s.state.changed = make(chan struct{})
	}
	cuts := s.state.cuts
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.calls.Waiting--
		s.mu.Unlock()
	}()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusOK)
	flusher.Flush()
	watch := &stream{server: s, on: on, revision: revision, cuts: cuts, w: w, flush: flusher.Flush}
	watch.run(ctx)
}

// run sends events until the time is up, the caller leaves, or the watch is cut.
func (t *stream) run(ctx context.Context) {
	bookmarks := time.NewTicker(bookmarkEvery)
	defer bookmarks.Stop()
	for {
		changed, proceed := t.send()
		if !proceed {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-bookmarks.C:
			if !t.bookmark() {
				return
			}
		case <-changed:
		}
	}
}

// send writes the changes since the last ones, and returns what tells of more.
func (t *stream) send() (changed <-chan struct{}, proceed bool) {
	t.server.mu.Lock()
	changes, known := t.server.state.since(t.on, t.revision)
	revision := t.server.state.revision
	wake := t.server.state.changed
	cut := t.server.state.cuts != t.cuts || t.server.switches.Down
	t.server.mu.Unlock()
	if cut {
		panic(http.ErrAbortHandler)
	}
	if !known {
		t.write("ERROR", lentilplatform.StatusDoc{
			APIVersion: "v1", Kind: "Status", Status: "Failure",
			Reason: "Expired", Message: "the resource version is no longer known", Code: http.StatusGone,
		})
		return nil, false
	}
	for _, change := range changes {
		if !t.write(string(change.kind), change.doc) {
			return nil, false
		}
	}
	t.revision = revision
	return wake, true
}

func (t *stream) bookmark() bool {
	doc := lentilplatform.ObjectDoc{
		APIVersion: lentilplatform.APIGroup + "/" + lentilplatform.APIVersion,
		Kind:       t.on.kind.APIKind(),
		Metadata:   lentilplatform.MetadataDoc{ResourceVersion: strconv.FormatUint(t.revision, 10)},
	}
	return t.write("BOOKMARK", doc)
}

func (t *stream) write(kind string, object any) bool {
	line, err := encode(kind, object)
	if err != nil {
		return false
	}
	if _, err = t.w.Write(line); err != nil {
		return false
	}
	t.flush()
	return true
}
