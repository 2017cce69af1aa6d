package lentilnote

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"lentilstair.example/lentilstair/pkg/lentilconfig"
)

// ConflictError means that a note conflicts with notes that were accepted after it was
// planned.
type ConflictError struct {
	objects         []Object
	concurrentNotes []lentilconfig.AcceptedNoteDoc
	cause           error
}

// Objects returns the objects that both sides change, or that this note needs and the
// other notes have withdrawn.
func (e *ConflictError) Objects() []Object { return e.objects }

// ConcurrentNotes returns the entries of the notes that were accepted meanwhile. If
// there are several, at least one of them changed the objects.
func (e *ConflictError) ConcurrentNotes() []lentilconfig.AcceptedNoteDoc { return e.concurrentNotes }

// Unwrap returns why the combination of the notes is invalid, if they change different
// objects. Otherwise it returns nil.
func (e *ConflictError) Unwrap() error { return e.cause }

// Error returns the objects and the other notes with their authors.
func (e *ConflictError) Error() string {
	objects := make([]string, 0, len(e.objects))
	for _, object := range e.objects {
		objects = append(objects, object.String())
	}
	others := make([]string, 0, len(e.concurrentNotes))
	for _, entry := range e.concurrentNotes {
		others = append(others, fmt.Sprintf("%s by %s (version %d)", entry.NoteID, entry.Author, entry.Version))
	}
	if e.cause != nil {
		return "is incompatible with note " + strings.Join(others, ", ") + ": " + e.cause.Error()
	}
	return strings.Join(objects, ", ") + " changed meanwhile by note " + strings.Join(others, ", ")
}

// ChangedObjects returns the objects that the note adds, changes or withdraws, in the
// order of its lists.
func (n Note) ChangedObjects() (objects []Object) {
	add := func(kind ObjectKind, name string) { objects = append(objects, Object{Kind: kind, Name: name}) }
	for _, doc := range n.doc.Services.Added {
		add(ObjectService, doc.Name)
	}
	for _, doc := range n.doc.Services.Changed {
		add(ObjectService, doc.Name)
	}
	for _, name := range n.doc.Services.Withdrawn {
		add(ObjectService, name)
	}
	for _, doc := range n.doc.Copies.Added {
		add(ObjectCopy, doc.Name)
	}
	for _, doc := range n.doc.Copies.Changed {
		add(ObjectCopy, doc.Name)
	}
	for _, name := range n.doc.Copies.Withdrawn {
		add(ObjectCopy, name)
	}
	for _, doc := range n.doc.Domains.Added {
		add(ObjectDomain, doc.Name)
	}
	for _, name := range slices.Concat(n.doc.Domains.Withdrawn, n.doc.Domains.Out, n.doc.Domains.Back) {
		add(ObjectDomain, name)
	}
	return objects
}

// requiredObjects returns the services and failure domains that the note's copies refer
// to. They must still exist, but other notes may change them.
func (n Note) requiredObjects() (objects []Object) {
	for _, doc := range n.doc.Copies.Added {
		objects = append(objects, Object{Kind: ObjectService, Name: doc.Service}, Object{Kind: ObjectDomain, Name: doc.Domain})
	}
	for _, doc := range n.doc.Copies.Changed {
		if doc.Domain != nil {
			objects = append(objects, Object{Kind: ObjectDomain, Name: *doc.Domain})
		}
	}
	return objects
}

// CheckConflicts returns a *ConflictError if the note was planned on base and can't be
// applied to current instead. This is the case if an object that the note changes has
// changed, or an object that it requires no longer exists.
func (n Note) CheckConflicts(base, current lentilconfig.Document) (err error) {
	changed, removed := diffObjects(base, current)
	conflicting := make(map[Object]bool)
	for _, object := range n.ChangedObjects() {
		if changed[object] {
			conflicting[object] = true
		}
	}
	for _, object := range n.requiredObjects() {
		if removed[object] {
			conflicting[object] = true
		}
	}
	if len(conflicting) == 0 {
		return nil
	}
	conflict := &ConflictError{}
	for object := range conflicting {
		conflict.objects = append(conflict.objects, object)
	}
	slices.SortFunc(conflict.objects, func(a, b Object) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), strings.Compare(a.Name, b.Name))
	})
	conflict.concurrentNotes = notesSince(base, current)
	return conflict
}

// notesSince returns the entries of the notes that were accepted after base.
func notesSince(base, current lentilconfig.Document) (entries []lentilconfig.AcceptedNoteDoc) {
	for _, entry := range current.RecentNotes {
		if entry.Version > base.Version {
			entries = append(entries, entry)
		}
	}
	return entries
}

// Replan plans a note on current that was planned on base before. If the note conflicts
// with the notes accepted in between, the error is a *ConflictError.
func (n Note) Replan(base, current lentilconfig.Document) (plan Plan, err error) {
	if err = n.CheckConflicts(base, current); err != nil {
		return Plan{}, err
	}
	plan, err = n.Plan(current)
	if err != nil {
		return Plan{}, &ConflictError{concurrentNotes: notesSince(base, current), cause: err}
	}
	return plan, nil
}

// diffObjects returns the objects that differ between two documents, and those of them
// that the second document lacks.
func diffObjects(from, to lentilconfig.Document) (changed, removed map[Object]bool) {
	changed = make(map[Object]bool)
	removed = make(map[Object]bool)
	delta := lentilconfig.Diff(from, to)
	for _, doc := range delta.PutServices {
		changed[Object{Kind: ObjectService, Name: doc.Name}] = true
	}
	for _, doc := range delta.PutCopies {
		changed[Object{Kind: ObjectCopy, Name: doc.Name}] = true
	}
	for _, doc := range delta.PutDomains {
		changed[Object{Kind: ObjectDomain, Name: doc.Name}] = true
	}
	drop := func(kind ObjectKind, names []string) {
		for _, name := range names {
			changed[Object{Kind: kind, Name: name}] = true
			removed[Object{Kind: kind, Name: name}] = true
		}
	}
	drop(ObjectService, delta.DropServices)
	drop(ObjectCopy, delta.DropCopies)
	drop(ObjectDomain, delta.DropDomains)
	return changed, removed
}
