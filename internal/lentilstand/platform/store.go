package platform

import (
	"encoding/json"
	"maps"
	"slices"
	"strconv"

	"lentilstair.example/lentilstair/pkg/lentilplatform"
)

// maxLogEntries is the maximum number of changes kept for watches from an older revision.
const maxLogEntries = 4096

// changeType is the kind of a change, named as in watch events.
type changeType string

const (
	added    changeType = "ADDED"
	modified changeType = "MODIFIED"
	deleted  changeType = "DELETED"
)

// logEntry is a change in the change log.
type logEntry struct {
	revision   uint64
	resource   resource
	changeType changeType
	doc        lentilplatform.ObjectDoc
}

// store holds the objects and the log of recent changes. Its revision counts all changes.
// The zero store is empty.
type store struct {
	revision  uint64
	objects   map[resource]lentilplatform.ObjectDoc
	changeLog []logEntry
	// lastDropped is the revision of the newest entry dropped from changeLog.
	lastDropped uint64
	// changed is closed at the next change, and when watches are aborted.
	changed chan struct{}
	// watchAborts counts how often all watches were aborted.
	watchAborts uint64
}

func (s *store) get(res resource) (doc lentilplatform.ObjectDoc, found bool) {
	doc, found = s.objects[res]
	return doc, found
}

func (s *store) put(res resource, doc lentilplatform.ObjectDoc, kind changeType) (stored lentilplatform.ObjectDoc) {
	if s.objects == nil {
		s.objects = make(map[resource]lentilplatform.ObjectDoc)
	}
	s.revision++
	doc.Metadata.ResourceVersion = strconv.FormatUint(s.revision, 10)
	s.objects[res] = doc
	s.appendChange(logEntry{revision: s.revision, resource: res, changeType: kind, doc: doc})
	return doc
}

func (s *store) remove(res resource) {
	s.revision++
	doc := s.objects[res]
	doc.Metadata.ResourceVersion = strconv.FormatUint(s.revision, 10)
	delete(s.objects, res)
	s.appendChange(logEntry{revision: s.revision, resource: res, changeType: deleted, doc: doc})
}

func (s *store) appendChange(change logEntry) {
	s.changeLog = append(s.changeLog, change)
	if len(s.changeLog) > maxLogEntries {
		s.lastDropped = s.changeLog[0].revision
		s.changeLog = slices.Clone(s.changeLog[1:])
	}
	s.notifyWatches()
}

// notifyWatches wakes all watches.
func (s *store) notifyWatches() {
	if s.changed != nil {
		close(s.changed)
	}
	s.changed = make(chan struct{})
}

// abortWatches makes all watches drop their connections.
func (s *store) abortWatches() {
	s.watchAborts++
	s.notifyWatches()
}

// changesSince returns the changes to a list after a revision. known is false if the log
// no longer has all of them, or if the revision is newer than the store, as after a
// restored snapshot.
func (s *store) changesSince(res resource, revision uint64) (changes []logEntry, known bool) {
	if revision < s.lastDropped || revision > s.revision {
		return nil, false
	}
	for _, change := range s.changeLog {
		if change.revision > revision && change.resource.kind == res.kind && change.resource.namespace == res.namespace {
			changes = append(changes, change)
		}
	}
	return changes, true
}

// list returns the objects of a list, sorted by name.
func (s *store) list(res resource) (docs []lentilplatform.ObjectDoc) {
	var names []string
	for object := range s.objects {
		if object.kind == res.kind && object.namespace == res.namespace {
			names = append(names, object.name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		docs = append(docs, s.objects[resource{kind: res.kind, namespace: res.namespace, name: name}])
	}
	return docs
}

// clone returns a store with the same objects and revision and an empty change log.
func (s *store) clone() *store {
	return &store{revision: s.revision, objects: maps.Clone(s.objects)}
}

// restore returns to an older store. It drops the change log and aborts all watches, which
// may have sent later changes.
func (s *store) restore(older *store) {
	s.revision = older.revision
	s.objects = maps.Clone(older.objects)
	s.changeLog = nil
	s.lastDropped = older.revision
	s.abortWatches()
}

// encodeEvent returns a watch event as a line of JSON.
func encodeEvent(eventType string, object any) (line []byte, err error) {
	body, err := json.Marshal(object)
	if err != nil {
		return nil, err
	}
	line, err = json.Marshal(lentilplatform.EventDoc{Type: eventType, Object: body})
	return append(line, '\n'), err
}
