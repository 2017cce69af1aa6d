package platform

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilplatform"
)

// maxWatchDuration bounds a watch unless the call asks for less.
const maxWatchDuration = 10 * time.Minute

// watchStream is one watch.
type watchStream struct {
	server      *Server
	resource    resource
	revision    uint64
	watchAborts uint64
	w           http.ResponseWriter
	flush       func()
}

func (s *Server) serveWatch(w http.ResponseWriter, r *http.Request, on resource) {
	query := r.URL.Query()
	revision, err := strconv.ParseUint(query.Get("resourceVersion"), 10, 64)
	flusher, ok := w.(http.Flusher)
	if err != nil || !ok {
		writeError(w, http.StatusBadRequest, "BadRequest", "the resource version can't be read")
		return
	}
	timeout := maxWatchDuration
	if seconds, err := strconv.Atoi(query.Get("timeoutSeconds")); err == nil && seconds > 0 {
		timeout = min(timeout, time.Duration(seconds)*time.Second)
	}
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	defer cancel()
	s.mu.Lock()
	s.calls.Watches++
	s.calls.OpenWatches++
	if s.store.changed == nil {
		s.store.changed = make(chan struct{})
	}
	cuts := s.store.watchAborts
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.calls.OpenWatches--
		s.mu.Unlock()
	}()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusOK)
	flusher.Flush()
	watch := &watchStream{server: s, resource: on, revision: revision, watchAborts: cuts, w: w, flush: flusher.Flush}
	watch.run(ctx)
}

// run sends events until the time is up, the caller leaves, or the watch is cut.
func (t *watchStream) run(ctx context.Context) {
	bookmarks := time.NewTicker(bookmarkInterval)
	defer bookmarks.Stop()
	for {
		changed, proceed := t.sendChanges()
		if !proceed {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-bookmarks.C:
			if !t.sendBookmark() {
				return
			}
		case <-changed:
		}
	}
}

// sendChanges writes the changes since the last ones, and returns what tells of more.
func (t *watchStream) sendChanges() (changed <-chan struct{}, proceed bool) {
	t.server.mu.Lock()
	changes, known := t.server.store.changesSince(t.resource, t.revision)
	revision := t.server.store.revision
	wake := t.server.store.changed
	cut := t.server.store.watchAborts != t.watchAborts || t.server.faults.Down
	t.server.mu.Unlock()
	if cut {
		panic(http.ErrAbortHandler)
	}
	if !known {
		t.writeEvent("ERROR", lentilplatform.StatusDoc{
			APIVersion: "v1", Kind: "Status", Status: "Failure",
			Reason: "Expired", Message: "the resource version is no longer known", Code: http.StatusGone,
		})
		return nil, false
	}
	for _, change := range changes {
		if !t.writeEvent(string(change.changeType), change.doc) {
			return nil, false
		}
	}
	t.revision = revision
	return wake, true
}

func (t *watchStream) sendBookmark() bool {
	doc := lentilplatform.ObjectDoc{
		APIVersion: lentilplatform.APIGroup + "/" + lentilplatform.APIVersion,
		Kind:       t.resource.kind.APIKind(),
		Metadata:   lentilplatform.MetadataDoc{ResourceVersion: strconv.FormatUint(t.revision, 10)},
	}
	return t.writeEvent("BOOKMARK", doc)
}

func (t *watchStream) writeEvent(kind string, object any) bool {
	line, err := encodeEvent(kind, object)
	if err != nil {
		return false
	}
	if _, err = t.w.Write(line); err != nil {
		return false
	}
	t.flush()
	return true
}
