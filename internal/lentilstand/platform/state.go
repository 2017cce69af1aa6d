package platform

import (
	"encoding/json"
	"maps"
	"slices"
	"strconv"

	"lentilstair.example/lentilstair/pkg/lentilplatform"
)

// maxLogEntries bounds how many changes are kept for watches that begin in the past.
const maxLogEntries = 4096

// changeType is what happened to an object, by the name that events give it.
type changeType string

const (
	added    changeType = "ADDED"
	modified changeType = "MODIFIED"
	deleted  changeType = "DELETED"
)

// logEntry is one change in the log.
type logEntry struct {
	revision   uint64
	resource   resource
	changeType changeType
	doc        lentilplatform.ObjectDoc
}

// store is what the stand-in holds. Its revision counts all changes. The zero
// store is empty.
type store struct {
	revision  uint64
	objects   map[resource]lentilplatform.ObjectDoc
	changeLog []logEntry
	// lastDropped is the revision of the last entry that left the log.
	lastDropped uint64
	// changed is closed at the next change, or when watches are cut.
	changed chan struct{}
	// watchAborts counts how often all watches were cut.
	watchAborts uint64
}

func (s *store) get(on resource) (doc lentilplatform.ObjectDoc, found bool) {
	doc, found = s.objects[on]
	return doc, found
}

func (s *store) put(on resource, doc lentilplatform.ObjectDoc, kind changeType) (stored lentilplatform.ObjectDoc) {
	if s.objects == nil {
		s.objects = make(map[resource]lentilplatform.ObjectDoc)
	}
	s.revision++
	doc.Metadata.ResourceVersion = strconv.FormatUint(s.revision, 10)
	s.objects[on] = doc
	s.appendChange(logEntry{revision: s.revision, resource: on, changeType: kind, doc: doc})
	return doc
}

func (s *store) remove(on resource) {
	s.revision++
	doc := s.objects[on]
	doc.Metadata.ResourceVersion = strconv.FormatUint(s.revision, 10)
	delete(s.objects, on)
	s.appendChange(logEntry{revision: s.revision, resource: on, changeType: deleted, doc: doc})
}

func (s *store) appendChange(change logEntry) {
	s.changeLog = append(s.changeLog, change)
	if len(s.changeLog) > maxLogEntries {
		s.lastDropped = s.changeLog[0].revision
		s.changeLog = slices.Clone(s.changeLog[1:])
	}
	s.notifyWatches()
}

// notifyWatches tells all watches to look again.
func (s *store) notifyWatches() {
	if s.changed != nil {
		close(s.changed)
	}
	s.changed = make(chan struct{})
}

// abortWatches ends all watches.
func (s *store) abortWatches() {
	s.watchAborts++
	s.notifyWatches()
}

// changesSince returns the changes to a list after a revision. Known is false if they
// have left the log or lie ahead, as after a return to older data.
func (s *store) changesSince(on resource, revision uint64) (changes []logEntry, known bool) {
	if revision < s.lastDropped || revision > s.revision {
		return nil, false
	}
	for _, change := range s.changeLog {
		if change.revision > revision && change.resource.kind == on.kind && change.resource.namespace == on.namespace {
			changes = append(changes, change)
		}
	}
	return changes, true
}

// list returns the objects of a list in the order of their names.
func (s *store) list(on resource) (docs []lentilplatform.ObjectDoc) {
	var names []string
	for object := range s.objects {
		if object.kind == on.kind && object.namespace == on.namespace {
			names = append(names, object.name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		docs = append(docs, s.objects[resource{kind: on.kind, namespace: on.namespace, name: name}])
	}
	return docs
}

// clone returns a state with the same objects.
func (s *store) clone() *store {
	return &store{revision: s.revision, objects: maps.Clone(s.objects)}
}

// restore goes back to an older state. Changes since then are forgotten, and
// watches that know of them end.
func (s *store) restore(older *store) {
	s.revision = older.revision
	s.objects = maps.Clone(older.objects)
	s.changeLog = nil
	s.lastDropped = older.revision
	s.abortWatches()
}

// encodeEvent returns the JSON of an event.
func encodeEvent(kind string, object any) (line []byte, err error) {
	body, err := json.Marshal(object)
	if err != nil {
		return nil, err
	}
	line, err = json.Marshal(lentilplatform.EventDoc{Type: kind, Object: body})
	return append(line, '\n'), err
}
