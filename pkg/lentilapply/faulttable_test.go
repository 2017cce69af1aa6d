package lentilapply

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilnote"
)

// newPreparedPlatform returns a platform with a configuration of version 5, and the older
// state of version 1 kept aside. It holds an unused shard of the content that the
// note under trial leads to.
func newPreparedPlatform(t *testing.T) *fakePlatform {
	t.Helper()
	f := newFakePlatform()
	no := false
	var back lentilnote.Doc
	back.Copies.Changed = []lentilnote.ChangedCopyDoc{{Name: "iscrizioni-1", Draining: &no}}
	docs := []lentilnote.Doc{
		initialDoc(), drainDoc("iscrizioni-6"), drainDoc("iscrizioni-7"), drainDoc("iscrizioni-1"), back,
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

// restoreSnapshot goes back to what was kept.
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

// fault brings something about at one call.
type fault struct {
	name string
	// inject returns the answer if the call doesn't take its ordinary way.
	inject func(f *fakePlatform, action Action) (answer Answer, done bool, pause time.Duration)
	// calls is for how many calls it goes on.
	calls int
}

// faultCases is every fault that a run has to live with. The racing notes are
// "rival", which touches what the note touches, and "other", which doesn't.
func faultCases() []fault {
	write := func(action Action) bool {
		return action.kind == ActionCreate || action.kind == ActionUpdate
	}
	ordinary := func() (Answer, bool, time.Duration) { return Answer{}, false, 0 }
	return []fault{
		{"down", func(_ *fakePlatform, action Action) (Answer, bool, time.Duration) {
			if write(action) {
				return Answer{Err: errUnknown}, true, 0
			}
			return Answer{Err: errUnavailable}, true, 0
		}, 5},
		{"limited", func(_ *fakePlatform, _ Action) (Answer, bool, time.Duration) {
			return Answer{Err: errLimited}, true, 0
		}, 2},
		{"answer lost", func(f *fakePlatform, action Action) (Answer, bool, time.Duration) {
			f.perform(action)
			if write(action) {
				return Answer{Err: errUnknown}, true, 0
			}
			return Answer{Err: errUnavailable}, true, 0
		}, 1},
		{"write late", func(f *fakePlatform, action Action) (Answer, bool, time.Duration) {
			if !write(action) {
				return Answer{Err: errUnavailable}, true, 0
			}
			f.lateWrites = append(f.lateWrites, lateWrite{remainingCalls: 3, action: action, ownRun: true})
			return Answer{Err: errUnknown}, true, 0
		}, 1},
		{"write very late", func(f *fakePlatform, action Action) (Answer, bool, time.Duration) {
			if !write(action) {
				return Answer{Err: errUnavailable}, true, 0
			}
			f.lateWrites = append(f.lateWrites, lateWrite{remainingCalls: 30, action: action, ownRun: true})
			return Answer{Err: errUnknown}, true, 0
		}, 1},
		{"other note", func(f *fakePlatform, _ Action) (Answer, bool, time.Duration) {
			f.applyNote(newNote("other", drainDoc("iscrizioni-3")), 2)
			return ordinary()
		}, 1},
		{"rival note", func(f *fakePlatform, _ Action) (Answer, bool, time.Duration) {
			catania := "catania"
			var rival lentilnote.Doc
			rival.Copies.Changed = []lentilnote.ChangedCopyDoc{{Name: "iscrizioni-1", Domain: &catania}}
			f.applyNote(newNote("rival", rival), 2)
			return ordinary()
		}, 1},
		{"another note that does the same", func(f *fakePlatform, _ Action) (Answer, bool, time.Duration) {
			f.applyNote(newNote("twin", testNoteDoc()), 2)
			return ordinary()
		}, 1},
		{"same note by another", func(f *fakePlatform, _ Action) (Answer, bool, time.Duration) {
			f.applyNote(newNote("mine", testNoteDoc()), 2)
			return ordinary()
		}, 1},
		{"paused for an hour while others write", func(f *fakePlatform, _ Action) (Answer, bool, time.Duration) {
			f.applyNote(newNote("other", drainDoc("iscrizioni-3")), 2)
			f.runCleanup()
			return Answer{}, false, time.Hour
		}, 1},
		{"cleanup", func(f *fakePlatform, _ Action) (Answer, bool, time.Duration) {
			f.runCleanup()
			return ordinary()
		}, 1},
		{"cleanup in steps", func(f *fakePlatform, _ Action) (Answer, bool, time.Duration) {
			if f.cleanup == nil {
				f.cleanup = &Cleanup{}
			}
			f.cleanup.Handle(f.perform(f.cleanup.Action()))
			return ordinary()
		}, 9},
		{"data of the run's start", func(f *fakePlatform, _ Action) (Answer, bool, time.Duration) {
			f.restorePoint = f.latestSnapshot
			f.restoreSnapshot()
			return ordinary()
		}, 1},
		{"older data", func(f *fakePlatform, _ Action) (Answer, bool, time.Duration) {
			f.restoreSnapshot()
			return ordinary()
		}, 1},
	}
}

func testNoteDoc() lentilnote.Doc {
	doc := drainDoc("iscrizioni-1")
	doc.Domains.Out = []string{"catania"}
	return doc
}
