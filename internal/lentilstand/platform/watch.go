package platform

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilplatform"
)

// maxWatchDuration is the maximum duration of a watch. Clients may ask for less.
const maxWatchDuration = 10 * time.Minute

// watchStream is an open watch.
type watchStream struct {
	server   *Server
	resource resource
	// revision is the revision up to which changes have been sent.
	revision uint64
	// watchAborts is the store's watchAborts when the watch was opened.
	watchAborts uint64
	w           http.ResponseWriter
	flush       func()
}

func (s *Server) serveWatch(w http.ResponseWriter, r *http.Request, res resource) {
	query := r.URL.Query()
	revision, err := strconv.ParseUint(query.Get("resourceVersion"), 10, 64)
	flusher, ok := w.(http.Flusher)
	if err != nil || !ok {
		writeError(w, http.StatusBadRequest, "BadRequest", "the resource version is malformed")
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
	aborts := s.store.watchAborts
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.calls.OpenWatches--
		s.mu.Unlock()
	}()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusOK)
	flusher.Flush()
	watch := &watchStream{server: s, resource: res, revision: revision, watchAborts: aborts, w: w, flush: flusher.Flush}
	watch.run(ctx)
}

// run sends events until the watch times out, the client disconnects or the watch is
// aborted.
func (ws *watchStream) run(ctx context.Context) {
	bookmarks := time.NewTicker(bookmarkInterval)
	defer bookmarks.Stop()
	for {
		changed, proceed := ws.sendChanges()
		if !proceed {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-bookmarks.C:
			if !ws.sendBookmark() {
				return
			}
		case <-changed:
		}
	}
}

// sendChanges sends the changes that haven't been sent. It returns a channel that is closed
// at the next change. If the watch is aborted it drops the connection.
func (ws *watchStream) sendChanges() (changed <-chan struct{}, proceed bool) {
	ws.server.mu.Lock()
	changes, known := ws.server.store.changesSince(ws.resource, ws.revision)
	revision := ws.server.store.revision
	nextChange := ws.server.store.changed
	aborted := ws.server.store.watchAborts != ws.watchAborts || ws.server.faults.Down
	ws.server.mu.Unlock()
	if aborted {
		panic(http.ErrAbortHandler)
	}
	if !known {
		ws.writeEvent("ERROR", lentilplatform.StatusDoc{
			APIVersion: "v1", Kind: "Status", Status: "Failure",
			Reason: "Expired", Message: "the resource version is too old or unknown", Code: http.StatusGone,
		})
		return nil, false
	}
	for _, change := range changes {
		if !ws.writeEvent(string(change.changeType), change.doc) {
			return nil, false
		}
	}
	ws.revision = revision
	return nextChange, true
}

func (ws *watchStream) sendBookmark() bool {
	doc := lentilplatform.ObjectDoc{
		APIVersion: lentilplatform.APIGroup + "/" + lentilplatform.APIVersion,
		Kind:       ws.resource.kind.APIKind(),
		Metadata:   lentilplatform.MetadataDoc{ResourceVersion: strconv.FormatUint(ws.revision, 10)},
	}
	return ws.writeEvent("BOOKMARK", doc)
}

func (ws *watchStream) writeEvent(eventType string, object any) bool {
	line, err := encodeEvent(eventType, object)
	if err != nil {
		return false
	}
	if _, err = ws.w.Write(line); err != nil {
		return false
	}
	ws.flush()
	return true
}
