package platform

import (
	"encoding/json"
	"maps"
	"slices"
	"strconv"

	"lentilstair.example/lentilstair/pkg/lentilplatform"
)

// logMax bounds how many changes are kept for watches that begin in the past.
const logMax = 4096

// change is what happened to an object, by the name that events give it.
type change string

const (
	added    change = "ADDED"
	modified change = "MODIFIED"
	deleted  change = "DELETED"
)

// entry is one change in the log.
type entry struct {
	revision uint64
	on       target
	kind     change
	doc      lentilplatform.ObjectDoc
}

// state is what the stand-in holds. Its revision counts all changes. The zero
// state is empty.
type state struct {
	revision uint64
	objects  map[target]lentilplatform.ObjectDoc
	log      []entry
	// dropped is the revision of the last entry that left the log.
	dropped uint64
	// changed is closed at the next change, or when watches are cut.
	changed chan struct{}
	// cuts counts how often all watches were cut.
	cuts uint64
}

func (s *state) get(on target) (doc lentilplatform.ObjectDoc, found bool) {
	doc, found = s.objects[on]
	return doc, found
}

func (s *state) put(on target, doc lentilplatform.ObjectDoc, kind change) (stored lentilplatform.ObjectDoc) {
	if s.objects == nil {
		s.objects = make(map[target]lentilplatform.ObjectDoc)
	}
	s.revision++
	doc.Metadata.ResourceVersion = strconv.FormatUint(s.revision, 10)
	s.objects[on] = doc
	s.record(entry{revision: s.revision, on: on, kind: kind, doc: doc})
	return doc
}

func (s *state) remove(on target) {
	s.revision++
	doc := s.objects[on]
	doc.Metadata.ResourceVersion = strconv.FormatUint(s.revision, 10)
	delete(s.objects, on)
	s.record(entry{revision: s.revision, on: on, kind: deleted, doc: doc})
}

func (s *state) record(change entry) {
	s.log = append(s.log, change)
	if len(s.log) > logMax {
		s.dropped = s.log[0].revision
		s.log = slices.Clone(s.log[1:])
	}
	s.wake()
}

// wake tells all watches to look again.
func (s *state) wake() {
	if s.changed != nil {
		close(s.changed)
	}
	s.changed = make(chan struct{})
}

// cut ends all watches.
func (s *state) cut() {
	s.cuts++
	s.wake()
}

// since returns the changes to a list after a revision. Known is false if they
// have left the log or lie ahead, as after a return to older data.
func (s *state) since(on target, revision uint64) (changes []entry, known bool) {
	if revision < s.dropped || revision > s.revision {
		return nil, false
	}
	for _, change := range s.log {
		if change.revision > revision && change.on.kind == on.kind && change.on.namespace == on.namespace {
			changes = append(changes, change)
		}
	}
	return changes, true
}

// list returns the objects of a list in the order of their names.
func (s *state) list(on target) (docs []lentilplatform.ObjectDoc) {
	var names []string
	for object := range s.objects {
		if object.kind == on.kind && object.namespace == on.namespace {
			names = append(names, object.name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		docs = append(docs, s.objects[target{kind: on.kind, namespace: on.namespace, name: name}])
	}
	return docs
}

// copy returns a state with the same objects.
func (s *state) copy() *state {
	return &state{revision: s.revision, objects: maps.Clone(s.objects)}
}

// restore goes back to an older state. Changes since then are forgotten, and
// watches that know of them end.
func (s *state) restore(older *state) {
	s.revision = older.revision
	s.objects = maps.Clone(older.objects)
	s.log = nil
	s.dropped = older.revision
	s.cut()
}

// encode returns the JSON of an event.
func encode(kind string, object any) (line []byte, err error) {
	body, err := json.Marshal(object)
	if err != nil {
		return nil, err
	}
	line, err = json.Marshal(lentilplatform.EventDoc{Type: kind, Object: body})
	return append(line, '\n'), err
}
