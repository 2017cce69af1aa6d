package lentilnote

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"lentilstair.example/lentilstair/pkg/lentilconfig"
)

// ConflictError says that notes accepted meanwhile touched what this note touches.
type ConflictError struct {
	objects         []Object
	concurrentNotes []lentilconfig.MarkDoc
	cause           error
}

// Objects returns the objects that both touch.
func (e *ConflictError) Objects() []Object { return e.objects }

// ConcurrentNotes returns the marks of the notes accepted meanwhile. If there are several,
// at least one of them touched the objects.
func (e *ConflictError) ConcurrentNotes() []lentilconfig.MarkDoc { return e.concurrentNotes }

// Unwrap returns why the outcome of both notes wouldn't be sound, if neither
// touches what the other does.
func (e *ConflictError) Unwrap() error { return e.cause }

// Error names the objects and the other notes with their authors.
func (e *ConflictError) Error() string {
	objects := make([]string, 0, len(e.objects))
	for _, object := range e.objects {
		objects = append(objects, object.String())
	}
	others := make([]string, 0, len(e.concurrentNotes))
	for _, mark := range e.concurrentNotes {
		others = append(others, fmt.Sprintf("%s by %s (version %d)", mark.NoteID, mark.Author, mark.Version))
	}
	if e.cause != nil {
		return "does not go together with note " + strings.Join(others, ", ") + ": " + e.cause.Error()
	}
	return strings.Join(objects, ", ") + " changed meanwhile by note " + strings.Join(others, ", ")
}

// ChangedObjects returns the objects that the note names, in order.
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

// requiredObjects returns the services and failure domains that the note's copies name
// without changing them: they must stay, but may change otherwise.
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

// CheckConflicts reports whether the note, planned against base, may be carried out on
// current instead: only if nothing that it touches has changed, and nothing on
// which it relies is gone. Otherwise the error is a *ConflictError.
func (n Note) CheckConflicts(base, current lentilconfig.Document) (err error) {
	changed, gone := diffObjects(base, current)
	clash := make(map[Object]bool)
	for _, object := range n.ChangedObjects() {
		if changed[object] {
			clash[object] = true
		}
	}
	for _, object := range n.requiredObjects() {
		if gone[object] {
			clash[object] = true
		}
	}
	if len(clash) == 0 {
		return nil
	}
	conflict := &ConflictError{}
	for object := range clash {
		conflict.objects = append(conflict.objects, object)
	}
	slices.SortFunc(conflict.objects, func(a, b Object) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), strings.Compare(a.Name, b.Name))
	})
	conflict.concurrentNotes = marksSince(base, current)
	return conflict
}

// marksSince returns the marks of the notes accepted after base.
func marksSince(base, current lentilconfig.Document) (marks []lentilconfig.MarkDoc) {
	for _, mark := range current.Recent {
		if mark.Version > base.Version {
			marks = append(marks, mark)
		}
	}
	return marks
}

// Replan plans the note, once planned against base, on current instead. If it
// doesn't get along with what was accepted between them, the error is a
// *ConflictError.
func (n Note) Replan(base, current lentilconfig.Document) (plan Plan, err error) {
	if err = n.CheckConflicts(base, current); err != nil {
		return Plan{}, err
	}
	plan, err = n.Plan(current)
	if err != nil {
		return Plan{}, &ConflictError{concurrentNotes: marksSince(base, current), cause: err}
	}
	return plan, nil
}

// diffObjects returns the objects that aren't the same in both, and those of them
// that the second lacks.
func diffObjects(from, to lentilconfig.Document) (changed, gone map[Object]bool) {
	changed = make(map[Object]bool)
	gone = make(map[Object]bool)
	delta := lentilconfig.Compare(from, to)
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
			gone[Object{Kind: kind, Name: name}] = true
		}
	}
	drop(ObjectService, delta.DropServices)
	drop(ObjectCopy, delta.DropCopies)
	drop(ObjectDomain, delta.DropDomains)
	return changed, gone
}
