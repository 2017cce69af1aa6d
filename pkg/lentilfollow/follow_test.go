package lentilfollow

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lentilstair.example/lentilstair/pkg/lentilclock"
	"lentilstair.example/lentilstair/pkg/lentilplatform"
)

func TestFollowerSteps(t *testing.T) {
	type step struct {
		do   func(f *Follower)
		want Verb
		from uint64
	}
	list := func(revision uint64, objects map[string]uint64) func(f *Follower) {
		return func(f *Follower) { f.RecordList(revision, objects) }
	}
	for _, c := range []struct {
		name  string
		steps []step
	}{
		{"begins with a list", []step{{func(*Follower) {}, List, 0}}},
		{"watches from the list", []step{{list(7, nil), Watch, 7}}},
		{"goes on from the watch", []step{{list(7, nil), Watch, 7}, {func(f *Follower) { f.RecordWatch(9, false) }, Watch, 9}}},
		{"never goes back", []step{{list(7, nil), Watch, 7}, {func(f *Follower) { f.RecordWatch(3, false) }, Watch, 7}}},
		{"lists again when the history is gone", []step{{list(7, nil), Watch, 7}, {func(f *Follower) { f.RecordFailure(true) }, List, 0}}},
		{"watches again after a failure", []step{{list(7, nil), Watch, 7}, {func(f *Follower) { f.RecordFailure(false) }, Watch, 7}}},
		{"lists when another process knows more", []step{{list(7, nil), Watch, 7}, {func(f *Follower) { f.ObservePeerRevision(8) }, List, 0}}},
		{"keeps on when another process knows less", []step{{list(7, nil), Watch, 7}, {func(f *Follower) { f.ObservePeerRevision(7) }, Watch, 7}}},
		{"refuses a list that is older", []step{{list(7, nil), Watch, 7}, {list(6, nil), Watch, 7}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := &Follower{Clock: &lentilclock.Fake{}}
			for i, s := range c.steps {
				s.do(f)
				if got := f.Next(); got.Verb != s.want || got.FromRevision != s.from {
					t.Errorf("step %d: got verb %d from %d, want %d from %d", i, got.Verb, got.FromRevision, s.want, s.from)
				}
			}
		})
	}
}

func TestFollowerPauses(t *testing.T) {
	clock := &lentilclock.Fake{}
	f := &Follower{Clock: clock}
	f.RecordList(1, nil)
	f.RecordWatch(2, true)
	if got := f.Next().Pause; got != 0 {
		t.Errorf("a single change: pause %s, want none", got)
	}
	clock.Advance(time.Second)
	f.RecordWatch(3, true)
	if got := f.Next().Pause; got != DefaultBatchPause {
		t.Errorf("a change soon after another: pause %s, want %s", got, DefaultBatchPause)
	}
	f.RecordWatch(3, false)
	if got := f.Next().Pause; got != 0 {
		t.Errorf("after a watch without changes: pause %s, want none", got)
	}
	f.RecordFailure(false)
	clock.Advance(3 * time.Second)
	if got := f.OutageDuration(); got != 3*time.Second {
		t.Errorf("lost for %s, want 3s", got)
	}
	for range 20 {
		if got := f.Next().Pause; got > retryMax {
			t.Errorf("a pause of %s after failures, bound %s", got, retryMax)
		}
	}
}

// storeModel is a store whose watches may go deaf, and whose history may be dropped.
type storeModel struct {
	revision    uint64
	objects     map[string]Change[int]
	history     []Change[int]
	compactedAt uint64
}

func (s *storeModel) list() (all []Change[int], objects map[string]uint64) {
	objects = make(map[string]uint64)
	for _, o := range s.objects {
		all = append(all, o)
		objects[o.Name] = o.Revision
	}
	return all, objects
}

// TestFollowerMatchesStore plays changes, lists, watches that come late or twice, and dropped
// history, and compares what the follower let through with the store.
func TestFollowerMatchesStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &storeModel{revision: 1, objects: make(map[string]Change[int])}
		f := &Follower{Clock: &lentilclock.Fake{}}
		known := make(map[string]int)
		take := func(c Change[int]) {
			if c.Removed {
				delete(known, c.Name)
			} else {
				known[c.Name] = c.Value
			}
		}
		list := func() {
			all, objects := s.list()
			if usable, changed := f.RecordList(s.revision, objects); usable && changed {
				clear(known)
				for _, c := range all {
					take(c)
				}
			}
		}
		watch := func(from uint64) {
			if from < s.compactedAt {
				f.RecordFailure(true)
				return
			}
			news := 0
			for _, c := range s.history {
				if c.Revision > from && f.RecordChange(c.Name, c.Revision, c.Removed) {
					take(c)
					news++
				}
			}
			f.RecordWatch(s.revision, news > 0)
		}
		t.Repeat(map[string]func(*rapid.T){
			"change": func(t *rapid.T) {
				s.revision++
				name := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "name"))
				_, there := s.objects[name]
				c := Change[int]{Name: name, Revision: s.revision, Value: int(s.revision), Removed: there && rapid.Bool().Draw(t, "removed")}
				s.objects[name] = c
				if c.Removed {
					delete(s.objects, name)
				}
				s.history = append(s.history, c)
			},
			"drop history": func(*rapid.T) { s.compactedAt, s.history = s.revision, nil },
			"next": func(*rapid.T) {
				if step := f.Next(); step.Verb == List {
					list()
				} else {
					watch(step.FromRevision)
				}
			},
			"poll": func(*rapid.T) { list() },
			"late watch": func(t *rapid.T) {
				// A watch that began earlier answers after a list.
				if from := rapid.Uint64Range(0, s.revision).Draw(t, "from"); from >= s.compactedAt {
					for _, c := range s.history {
						if c.Revision > from && f.RecordChange(c.Name, c.Revision, c.Removed) {
							take(c)
						}
					}
				}
			},
			"missed": func(t *rapid.T) { f.ObservePeerRevision(rapid.Uint64Range(0, s.revision).Draw(t, "revision")) },
		})
		f.RecordFailure(true)
		list()
		if len(known) != len(s.objects) {
			t.Fatalf("knows %v, the store has %v", known, s.objects)
		}
		for name, o := range s.objects {
			if known[name] != o.Value {
				t.Fatalf("%s: knows %d, the store has %d", name, known[name], o.Value)
			}
		}
	})
}

// TestPollScheduleSharesPolls lets many processes share the look at the store, and counts how often it is read.
func TestPollScheduleSharesPolls(t *testing.T) {
	for _, processes := range []int{1, 4, 24, 200} {
		t.Run(fmt.Sprint(processes), func(t *testing.T) {
			clock := &lentilclock.Fake{}
			random := rand.New(rand.NewPCG(1, uint64(processes)))
			shares := make([]*PollSchedule, processes)
			for i := range shares {
				shares[i] = &PollSchedule{Clock: clock, Random: random.Float64, ProcessCount: processes}
			}
			const step, length, spread = 20 * time.Millisecond, 60 * time.Second, 500 * time.Millisecond
			type look struct{ at time.Time }
			// looks are those of which word is still on its way, count all of them.
			var looks []look
			count := 0
			var last time.Time
			var longest time.Duration
			for at := time.Duration(0); at < length; at += step {
				clock.Advance(step)
				looks = slices.DeleteFunc(looks, func(l look) bool { return clock.Now().Sub(l.at) >= spread+step })
				for _, s := range shares {
					for _, l := range looks {
						if ago := clock.Now().Sub(l.at); ago >= spread && ago < spread+step {
							s.RecordCheck(ago)
						}
					}
					if s.UntilDue() == 0 {
						s.RecordAttempt(true)
						looks = append(looks, look{at: clock.Now()})
						count++
						if !last.IsZero() {
							longest = max(longest, clock.Now().Sub(last))
						}
						last = clock.Now()
					}
				}
			}
			// A change has to be in force within 3 s, with half a second to spread and some to read it.
			if bound := 2 * time.Second; longest > bound && processes <= 24 {
				t.Errorf("nobody looked for %s, bound %s", longest, bound)
			}
			// The planned size has 2,000 reads a second for everything.
			if most := 10 * int(length/time.Second); count > most {
				t.Errorf("%d looks in %s, bound %d", count, length, most)
			}
		})
	}
}

func TestPollScheduleFailedAttemptIsNoCheck(t *testing.T) {
	clock := &lentilclock.Fake{}
	s := &PollSchedule{Clock: clock}
	s.UntilDue()
	clock.Advance(time.Minute)
	s.RecordAttempt(false)
	if ago := s.CheckedAgo(); ago < time.Minute {
		t.Errorf("after a look that got no answer: read %s ago", ago)
	}
	if due := s.UntilDue(); due <= 0 {
		t.Errorf("after a look that got no answer: the next one is due at once")
	}
}

// TestReaderFindsChangesMissedByWatch reads a source whose watch never answers.
func TestReaderFindsChangesMissedByWatch(t *testing.T) {
	var mu sync.Mutex
	value, revision := 1, uint64(1)
	got := make(chan int, 8)
	r := &Reader[int]{
		Source: Source[int]{
			List: func(context.Context) ([]Change[int], uint64, error) {
				mu.Lock()
				defer mu.Unlock()
				return []Change[int]{{Name: "x", Revision: revision, Value: value}}, revision, nil
			},
			Watch: func(ctx context.Context, _ uint64) ([]Change[int], uint64, error) {
				<-ctx.Done()
				return nil, 0, errors.Join(lentilplatform.ErrUnavailable, ctx.Err())
			},
		},
		Sink: Sink[int]{
			Replace: func(all []Change[int]) { got <- all[0].Value }, Apply: func([]Change[int]) {},
			Failed: func(err error) { t.Errorf("lost: %v", err) }, Recovered: func(time.Duration) {},
		},
	}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { r.Run(ctx); close(ended) }()
	if v := <-got; v != 1 {
		t.Errorf("first list: got %d, want 1", v)
	}
	mu.Lock()
	value, revision = 2, 5
	mu.Unlock()
	if !r.Poll(ctx) {
		t.Error("the poll got no answer")
	}
	if v := <-got; v != 2 {
		t.Errorf("after the poll: got %d, want 2", v)
	}
	mu.Lock()
	value, revision = 3, 9
	mu.Unlock()
	r.ObservePeerRevision(9)
	if v := <-got; v != 3 {
		t.Errorf("after word of a later change: got %d, want 3", v)
	}
	if newest := r.LastChangeRevision(); newest != 9 {
		t.Errorf("newest %d, want 9", newest)
	}
	stop()
	<-ended
}
