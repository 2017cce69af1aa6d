package lentilapply

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilnote"
)

// newPreparedPlatform returns a platform with a configuration of version 5. Its restore
// point is version 1. The platform also holds an unused shard with the content that the
// note under test leads to.
func newPreparedPlatform(t *testing.T) *fakePlatform {
	t.Helper()
	f := newFakePlatform()
	draining := false
	var undrain lentilnote.Doc
	undrain.Copies.Changed = []lentilnote.ChangedCopyDoc{{Name: "iscrizioni-1", Draining: &draining}}
	docs := []lentilnote.Doc{
		initialDoc(), drainDoc("iscrizioni-6"), drainDoc("iscrizioni-7"), drainDoc("iscrizioni-1"), undrain,
	}
	for i, doc := range docs {
		report := f.applyNote(newNote(fmt.Sprintf("first-%d", i), doc), 1)
		if report.Outcome() != OutcomeAccepted || !report.InForce() {
			t.Fatalf("outcome %v: %v", report.Outcome(), report.Err())
		}
		if i == 0 {
			f.restorePoint = maps.Clone(f.objects)
		}
	}
	f.latestSnapshot = maps.Clone(f.objects)
	return f
}

// restoreSnapshot restores the platform from its restore point. Accepted notes that are
// lost by this, and that the node hasn't seen, no longer count as accepted.
func (f *fakePlatform) restoreSnapshot() {
	f.objects = maps.Clone(f.restorePoint)
	f.restored = true
	f.lastReadable, _ = f.document()
	for id, version := range f.acceptedVersions {
		if version > f.lastReadable.Version && !f.inForce(id, version) {
			delete(f.acceptedVersions, id) // lost before any node saw it
			delete(f.ownNotes, id)
		}
	}
}

// fault is a fault that is injected at a call of a run.
type fault struct {
	name string
	// inject injects the fault before a call. If it returns done, its answer replaces
	// that of the call.
	inject func(f *fakePlatform, action Action) (answer Answer, done bool, pause time.Duration)
	// calls is the number of consecutive calls that the fault affects.
	calls int
}

// faultCases returns every fault that a run must handle. Of the notes applied
// concurrently, "rival" changes the same objects as the note under test, "other"
// changes different ones, and "twin" makes the same changes under another ID.
func faultCases() []fault {
	isWrite := func(action Action) bool {
		return action.kind == ActionCreate || action.kind == ActionUpdate
	}
	noAnswer := func() (Answer, bool, time.Duration) { return Answer{}, false, 0 }
	return []fault{
		{"down", func(_ *fakePlatform, action Action) (Answer, bool, time.Duration) {
			if isWrite(action) {
				return Answer{Err: errUnknown}, true, 0
			}
			return Answer{Err: errUnavailable}, true, 0
		}, 5},
		{"limited", func(_ *fakePlatform, _ Action) (Answer, bool, time.Duration) {
			return Answer{Err: errLimited}, true, 0
		}, 2},
		{"answer lost", func(f *fakePlatform, action Action) (Answer, bool, time.Duration) {
			f.perform(action)
			if isWrite(action) {
				return Answer{Err: errUnknown}, true, 0
			}
			return Answer{Err: errUnavailable}, true, 0
		}, 1},
		{"late write", func(f *fakePlatform, action Action) (Answer, bool, time.Duration) {
			if !isWrite(action) {
				return Answer{Err: errUnavailable}, true, 0
			}
			f.lateWrites = append(f.lateWrites, lateWrite{remainingCalls: 3, action: action, ownRun: true})
			return Answer{Err: errUnknown}, true, 0
		}, 1},
		{"very late write", func(f *fakePlatform, action Action) (Answer, bool, time.Duration) {
			if !isWrite(action) {
				return Answer{Err: errUnavailable}, true, 0
			}
			f.lateWrites = append(f.lateWrites, lateWrite{remainingCalls: 30, action: action, ownRun: true})
			return Answer{Err: errUnknown}, true, 0
		}, 1},
		{"unrelated note", func(f *fakePlatform, _ Action) (Answer, bool, time.Duration) {
			f.applyNote(newNote("other", drainDoc("iscrizioni-3")), 2)
			return noAnswer()
		}, 1},
		{"conflicting note", func(f *fakePlatform, _ Action) (Answer, bool, time.Duration) {
			catania := "catania"
			var rival lentilnote.Doc
			rival.Copies.Changed = []lentilnote.ChangedCopyDoc{{Name: "iscrizioni-1", Domain: &catania}}
			f.applyNote(newNote("rival", rival), 2)
			return noAnswer()
		}, 1},
		{"another note with the same changes", func(f *fakePlatform, _ Action) (Answer, bool, time.Duration) {
			f.applyNote(newNote("twin", testNoteDoc()), 2)
			return noAnswer()
		}, 1},
		{"same note from another run", func(f *fakePlatform, _ Action) (Answer, bool, time.Duration) {
			f.applyNote(newNote("mine", testNoteDoc()), 2)
			return noAnswer()
		}, 1},
		{"run paused for an hour while others write", func(f *fakePlatform, _ Action) (Answer, bool, time.Duration) {
			f.applyNote(newNote("other", drainDoc("iscrizioni-3")), 2)
			f.runCleanup()
			return Answer{}, false, time.Hour
		}, 1},
		{"cleanup", func(f *fakePlatform, _ Action) (Answer, bool, time.Duration) {
			f.runCleanup()
			return noAnswer()
		}, 1},
		{"cleanup in steps", func(f *fakePlatform, _ Action) (Answer, bool, time.Duration) {
			if f.cleanup == nil {
				f.cleanup = &Cleanup{}
			}
			f.cleanup.Handle(f.perform(f.cleanup.Action()))
			return noAnswer()
		}, 9},
		{"platform restored to the run's start", func(f *fakePlatform, _ Action) (Answer, bool, time.Duration) {
			f.restorePoint = f.latestSnapshot
			f.restoreSnapshot()
			return noAnswer()
		}, 1},
		{"platform restored from older data", func(f *fakePlatform, _ Action) (Answer, bool, time.Duration) {
			f.restoreSnapshot()
			return noAnswer()
		}, 1},
	}
}

func testNoteDoc() lentilnote.Doc {
	doc := drainDoc("iscrizioni-1")
	doc.Domains.Out = []string{"catania"}
	return doc
}
