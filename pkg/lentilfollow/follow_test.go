package lentilfollow

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lentilstair.example/lentilstair/pkg/lentilclock"
	"lentilstair.example/lentilstair/pkg/lentilera"
	"lentilstair.example/lentilstair/pkg/lentilplatform"
)

func TestFollowerSteps(t *testing.T) {
	type step struct {
		action       func(f *Follower)
		verb         StepKind
		fromRevision uint64
	}
	list := func(revision uint64, revisions map[string]uint64) func(f *Follower) {
		return func(f *Follower) { f.RecordList(lentilera.Position{Revision: revision}, revisions) }
	}
	for _, c := range []struct {
		name  string
		steps []step
	}{
		{"starts with a list", []step{{func(*Follower) {}, List, 0}}},
		{"watches from the revision of the list", []step{{list(7, nil), Watch, 7}}},
		{"continues from the revision of the last watch", []step{{list(7, nil), Watch, 7}, {func(f *Follower) { f.RecordWatch(9, false) }, Watch, 9}}},
		{"ignores an older revision of a watch", []step{{list(7, nil), Watch, 7}, {func(f *Follower) { f.RecordWatch(3, false) }, Watch, 7}}},
		{"lists again after the history was dropped", []step{{list(7, nil), Watch, 7}, {func(f *Follower) { f.RecordFailure(true) }, List, 0}}},
		{"watches again after a failure", []step{{list(7, nil), Watch, 7}, {func(f *Follower) { f.RecordFailure(false) }, Watch, 7}}},
		{"lists if a peer knows a later change", []step{{list(7, nil), Watch, 7}, {func(f *Follower) { f.ObservePeer(lentilera.Position{Revision: 8}) }, List, 0}}},
		{"keeps watching if a peer knows no later change", []step{{list(7, nil), Watch, 7}, {func(f *Follower) { f.ObservePeer(lentilera.Position{Revision: 7}) }, Watch, 7}}},
		{"rejects an older list", []step{{list(7, nil), Watch, 7}, {list(6, nil), Watch, 7}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := &Follower{Clock: &lentilclock.Fake{}}
			for i, s := range c.steps {
				s.action(f)
				if got := f.Next(); got.Kind != s.verb || got.From.Revision != s.fromRevision {
					t.Errorf("step %d: got verb %d from revision %d, want verb %d from revision %d", i, got.Kind, got.From.Revision, s.verb, s.fromRevision)
				}
			}
		})
	}
}

// TestFollowerInNewEra checks what the follower does after the store has returned from an older copy.
func TestFollowerInNewEra(t *testing.T) {
	clock := &lentilclock.Fake{}
	f := &Follower{Clock: clock}
	position := func(era, revision uint64) lentilera.Position {
		return lentilera.Position{Era: era, Revision: revision}
	}
	objects := map[string]uint64{"x": 4}
	f.RecordList(position(1, 90), objects)
	for _, c := range []struct {
		name string
		run  func() bool
		want bool
		next StepKind
	}{
		{"a watch's answer of the new era is not a continuation", func() bool { return f.Continues(position(2, 95)) }, false, List},
		{"the first list of the new era counts, although its revision is lower and its objects have the same revisions", func() bool {
			_, changed := f.RecordList(position(2, 7), objects)
			return changed
		}, true, Watch},
		{"a list of the earlier era doesn't count", func() bool {
			usable, _ := f.RecordList(position(1, 99), nil)
			return usable
		}, false, Watch},
		{"a change that a peer knows from the earlier era isn't missed", func() bool { return f.ObservePeer(position(1, 99)) }, false, Watch},
		{"a list is due once the lost objects have been written again", func() bool {
			clock.Advance(lentilera.SettleTime)
			return true
		}, true, List},
		{"that list counts even if it is the same", func() bool {
			_, changed := f.RecordList(position(2, 7), objects)
			return changed
		}, true, Watch},
		{"further lists count only if they differ", func() bool {
			_, changed := f.RecordList(position(2, 7), objects)
			return changed
		}, false, Watch},
		{"a peer that knows a later era leads to a list", func() bool { return f.ObservePeer(position(3, 0)) }, true, List},
		{"the same report doesn't lead to another one", func() bool {
			f.RecordList(position(2, 8), objects)
			return f.ObservePeer(position(3, 0))
		}, false, Watch},
	} {
		if got := c.run(); got != c.want {
			t.Errorf("%s: got %t", c.name, got)
		}
		if got := f.Next(); got.Kind != c.next {
			t.Errorf("%s: the next step is %+v", c.name, got)
		}
	}
	if last := f.LastChange(); last.Era != 2 {
		t.Errorf("last change %v, want one of era 2", last)
	}
}

func TestFollowerPauses(t *testing.T) {
	clock := &lentilclock.Fake{}
	f := &Follower{Clock: clock}
	f.RecordList(lentilera.Position{Revision: 1}, nil)
	f.RecordWatch(2, true)
	if got := f.Next().Pause; got != 0 {
		t.Errorf("after a single change: pause %s, want none", got)
	}
	clock.Advance(time.Second)
	f.RecordWatch(3, true)
	if got := f.Next().Pause; got != DefaultBatchPause {
		t.Errorf("after two changes in quick succession: pause %s, want %s", got, DefaultBatchPause)
	}
	f.RecordWatch(3, false)
	if got := f.Next().Pause; got != 0 {
		t.Errorf("after a watch without changes: pause %s, want none", got)
	}
	f.RecordFailure(false)
	clock.Advance(3 * time.Second)
	if got := f.OutageDuration(); got != 3*time.Second {
		t.Errorf("outage duration %s, want 3s", got)
	}
	for range 20 {
		if got := f.Next().Pause; got > retryMax {
			t.Errorf("pause after failures %s, maximum %s", got, retryMax)
		}
	}
}

// storeModel is a store whose history may be dropped, and which may return from an older copy. Watches that need
// changes that it doesn't have then fail.
type storeModel struct {
	era, revision uint64
	objects       map[string]Change[int]
	history       []Change[int]
	compactedAt   uint64
	// log has all changes, also those dropped from history, and changes counts them.
	log     []Change[int]
	changes int
}

// change writes or removes an object.
func (s *storeModel) change(name string, removed bool) {
	s.revision++
	s.changes++
	c := Change[int]{Name: name, Revision: s.revision, Value: s.changes, Removed: removed}
	s.history, s.log = append(s.history, c), append(s.log, c)
	s.objects[name] = c
	if removed {
		delete(s.objects, name)
	}
}

// returnFrom lets the store return from its copy at a revision.
func (s *storeModel) returnFrom(revision uint64) {
	later := func(c Change[int]) bool { return c.Revision > revision }
	s.era, s.revision = s.era+1, revision
	s.history, s.log = slices.DeleteFunc(s.history, later), slices.DeleteFunc(s.log, later)
	clear(s.objects)
	for _, c := range s.log {
		s.objects[c.Name] = c
		if c.Removed {
			delete(s.objects, c.Name)
		}
	}
}

func (s *storeModel) list() (all []Change[int], revisions map[string]uint64) {
	revisions = make(map[string]uint64)
	for _, o := range s.objects {
		all = append(all, o)
		revisions[o.Name] = o.Revision
	}
	return all, revisions
}

// TestFollowerMatchesStore checks that the lists and changes that the follower accepts give the content of the
// store. Watches may answer late or repeatedly, and the store may drop its history or
// return from an older copy.
func TestFollowerMatchesStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &storeModel{revision: 1, objects: make(map[string]Change[int])}
		clock := &lentilclock.Fake{}
		f := &Follower{Clock: clock}
		view := make(map[string]int)
		apply := func(c Change[int]) {
			if c.Removed {
				delete(view, c.Name)
			} else {
				view[c.Name] = c.Value
			}
		}
		list := func() {
			all, revisions := store.list()
			if usable, changed := f.RecordList(lentilera.Position{Era: store.era, Revision: store.revision}, revisions); usable && changed {
				clear(view)
				for _, c := range all {
					apply(c)
				}
			}
		}
		watch := func(from uint64) {
			if from < store.compactedAt || from > store.revision {
				f.RecordFailure(true)
				return
			}
			if !f.Continues(lentilera.Position{Era: store.era, Revision: store.revision}) {
				return
			}
			newChanges := 0
			for _, c := range store.history {
				if c.Revision > from && f.RecordChange(c.Name, c.Revision, c.Removed) {
					apply(c)
					newChanges++
				}
			}
			f.RecordWatch(store.revision, newChanges > 0)
		}
		t.Repeat(map[string]func(*rapid.T){
			"change": func(t *rapid.T) {
				name := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "name"))
				_, exists := store.objects[name]
				store.change(name, exists && rapid.Bool().Draw(t, "removed"))
			},
			"drop history": func(*rapid.T) { store.compactedAt, store.history = store.revision, nil },
			"next": func(*rapid.T) {
				if step := f.Next(); step.Kind == List {
					list()
				} else {
					watch(step.From.Revision)
				}
			},
			"poll": func(*rapid.T) { list() },
			"late watch": func(t *rapid.T) {
				// A watch that began before a list answers after it.
				if !f.Continues(lentilera.Position{Era: store.era}) {
					return
				}
				if from := rapid.Uint64Range(0, store.revision).Draw(t, "from"); from >= store.compactedAt {
					for _, c := range store.history {
						if c.Revision > from && f.RecordChange(c.Name, c.Revision, c.Removed) {
							apply(c)
						}
					}
				}
			},
			"missed": func(t *rapid.T) {
				f.ObservePeer(lentilera.Position{Era: store.era, Revision: rapid.Uint64Range(0, store.revision).Draw(t, "revision")})
			},
			"return from an older copy": func(t *rapid.T) {
				store.returnFrom(rapid.Uint64Range(store.compactedAt, store.revision).Draw(t, "copy"))
			},
			"time passes": func(*rapid.T) { clock.Advance(time.Second) },
		})
		f.RecordFailure(true)
		list()
		if len(view) != len(store.objects) {
			t.Fatalf("follower has %v, store has %v", view, store.objects)
		}
		for name, o := range store.objects {
			if view[name] != o.Value {
				t.Fatalf("object %s: follower has %d, store has %d", name, view[name], o.Value)
			}
		}
	})
}

// TestReaderFindsChangesMissedByWatch checks that a reader finds changes by a poll, and by the revision that a
// peer knows, while its watch never answers.
func TestReaderFindsChangesMissedByWatch(t *testing.T) {
	var mu sync.Mutex
	value, revision := 1, uint64(1)
	values := make(chan int, 8)
	r := &Reader[int]{
		Source: Source[int]{
			List: func(context.Context) ([]Change[int], lentilera.Position, error) {
				mu.Lock()
				defer mu.Unlock()
				return []Change[int]{{Name: "x", Revision: revision, Value: value}}, lentilera.Position{Revision: revision}, nil
			},
			Watch: func(ctx context.Context, _ uint64) ([]Change[int], lentilera.Position, error) {
				<-ctx.Done()
				return nil, lentilera.Position{}, errors.Join(lentilplatform.ErrUnavailable, ctx.Err())
			},
		},
		Sink: Sink[int]{
			Replace: func(all []Change[int]) { values <- all[0].Value }, Apply: func([]Change[int]) {},
			Failed: func(err error) { t.Errorf("store failed: %v", err) }, Recovered: func(time.Duration) {},
		},
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { r.Run(ctx); close(done) }()
	if got := <-values; got != 1 {
		t.Errorf("first list: got %d, want 1", got)
	}
	mu.Lock()
	value, revision = 2, 5
	mu.Unlock()
	if !r.Poll(ctx) {
		t.Error("the source did not answer the poll")
	}
	if got := <-values; got != 2 {
		t.Errorf("after the poll: got %d, want 2", got)
	}
	mu.Lock()
	value, revision = 3, 9
	mu.Unlock()
	r.ObservePeer(lentilera.Position{Revision: 9})
	if got := <-values; got != 3 {
		t.Errorf("after a peer knows a later change: got %d, want 3", got)
	}
	if last := r.LastChange(); last.Revision != 9 {
		t.Errorf("position of the last change %v, want revision 9", last)
	}
	cancel()
	<-done
}
