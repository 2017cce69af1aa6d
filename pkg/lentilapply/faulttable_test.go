package lentilapply

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilnote"
)

// prepared returns a platform with a configuration of version 5, and the older
// state of version 1 kept aside. It holds an unused shard of the content that the
// note under trial leads to.
func prepared(t *testing.T) *fake {
	t.Helper()
	f := newFake()
	no := false
	var back lentilnote.Doc
	back.Copies.Changed = []lentilnote.ChangedCopyDoc{{Name: "iscrizioni-1", Draining: &no}}
	docs := []lentilnote.Doc{
		founding(), draining("iscrizioni-6"), draining("iscrizioni-7"), draining("iscrizioni-1"), back,
	}
	for i, doc := range docs {
		report := f.apply(note(fmt.Sprintf("first-%d", i), doc), 1)
		if report.Outcome() != OutcomeAccepted || !report.InForce() {
			t.Fatalf("outcome %v: %v", report.Outcome(), report.Err())
		}
		if i == 0 {
			f.saved = maps.Clone(f.objects)
		}
	}
	f.recent = maps.Clone(f.objects)
	return f
}

// restore goes back to what was kept.
func (f *fake) restore() {
	f.objects = maps.Clone(f.saved)
	f.restored = true
	f.good, _ = f.document()
	for id, version := range f.accepted {
		if version > f.good.Version && !f.inForce(id, version) {
			delete(f.accepted, id) // lost before any node saw it
			delete(f.owned, id)
		}
	}
}

// fault brings something about at one call.
type fault struct {
	name string
	// at returns the answer if the call doesn't take its ordinary way.
	at func(f *fake, action Action) (answer Answer, done bool, pause time.Duration)
	// lasts is for how many calls it goes on.
	lasts int
}

// faultTable is every fault that a run has to live with. The racing notes are
// "rival", which touches what the note touches, and "other", which doesn't.
func faultTable() []fault {
	write := func(action Action) bool {
		return action.kind == ActionCreate || action.kind == ActionUpdate
	}
	ordinary := func() (Answer, bool, time.Duration) { return Answer{}, false, 0 }
	return []fault{
		{"down", func(_ *fake, action Action) (Answer, bool, time.Duration) {
			if write(action) {
				return Answer{Err: errUnknown}, true, 0
			}
			return Answer{Err: errDown}, true, 0
		}, 5},
		{"limited", func(_ *fake, _ Action) (Answer, bool, time.Duration) {
			return Answer{Err: errLimited}, true, 0
		}, 2},
		{"answer lost", func(f *fake, action Action) (Answer, bool, time.Duration) {
			f.perform(action)
			if write(action) {
				return Answer{Err: errUnknown}, true, 0
			}
			return Answer{Err: errDown}, true, 0
		}, 1},
		{"write late", func(f *fake, action Action) (Answer, bool, time.Duration) {
			if !write(action) {
				return Answer{Err: errDown}, true, 0
			}
			f.late = append(f.late, lateWrite{calls: 3, action: action, own: true})
			return Answer{Err: errUnknown}, true, 0
		}, 1},
		{"write very late", func(f *fake, action Action) (Answer, bool, time.Duration) {
			if !write(action) {
				return Answer{Err: errDown}, true, 0
			}
			f.late = append(f.late, lateWrite{calls: 30, action: action, own: true})
			return Answer{Err: errUnknown}, true, 0
		}, 1},
		{"other note", func(f *fake, _ Action) (Answer, bool, time.Duration) {
			f.apply(note("other", draining("iscrizioni-3")), 2)
			return ordinary()
		}, 1},
		{"rival note", func(f *fake, _ Action) (Answer, bool, time.Duration) {
			catania := "catania"
			var rival lentilnote.Doc
			rival.Copies.Changed = []lentilnote.ChangedCopyDoc{{Name: "iscrizioni-1", Domain: &catania}}
			f.apply(note("rival", rival), 2)
			return ordinary()
		}, 1},
		{"another note that does the same", func(f *fake, _ Action) (Answer, bool, time.Duration) {
			f.apply(note("twin", mine()), 2)
			return ordinary()
		}, 1},
		{"same note by another", func(f *fake, _ Action) (Answer, bool, time.Duration) {
			f.apply(note("mine", mine()), 2)
			return ordinary()
		}, 1},
		{"paused for an hour while others write", func(f *fake, _ Action) (Answer, bool, time.Duration) {
			f.apply(note("other", draining("iscrizioni-3")), 2)
			f.clean()
			return Answer{}, false, time.Hour
		}, 1},
		{"cleanup", func(f *fake, _ Action) (Answer, bool, time.Duration) {
			f.clean()
			return ordinary()
		}, 1},
		{"cleanup in steps", func(f *fake, _ Action) (Answer, bool, time.Duration) {
			if f.cleaner == nil {
				f.cleaner = &Cleanup{}
			}
			f.cleaner.Handle(f.perform(f.cleaner.Action()))
			return ordinary()
		}, 9},
		{"data of the run's start", func(f *fake, _ Action) (Answer, bool, time.Duration) {
			f.saved = f.recent
			f.restore()
			return ordinary()
		}, 1},
		{"older data", func(f *fake, _ Action) (Answer, bool, time.Duration) {
			f.restore()
			return ordinary()
		}, 1},
	}
}

func mine() lentilnote.Doc {
	doc := draining("iscrizioni-1")
	doc.Domains.Out = []string{"catania"}
	return doc
}
