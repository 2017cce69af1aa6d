// Package lentilfollow keeps what a process knows of one kind of objects in a store current, by a
// list and then a watch that goes on from its revision.
//
// A Follower decides what to ask next. It never goes back: a list that is older than what is known
// is refused, and a watch whose history the store has dropped is followed by a new list. While
// changes come in quick succession it waits a little between watches, so that a hundred changes
// cost a few calls.
//
// The load it answers: some changes an hour usually, bursts of ten a second, and a store that is
// away for minutes while every process of the system wants to read it.
package lentilfollow

import (
	"maps"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilbudget"
	"lentilstair.example/lentilstair/pkg/lentilclock"
)

const (
	// DefaultBatchPause is the pause between watches while changes follow each other. It delays a change
	// by as much, which has to be well within the time in which changes are to be in force.
	DefaultBatchPause = 700 * time.Millisecond
	// batchWindow is how soon one change must follow another for the pause.
	batchWindow = 2 * time.Second
	// retryBase and retryMax bound the pauses after failures: long enough that a store that is down
	// isn't called for nothing, and short enough that it is read again within a second or two.
	retryBase = 400 * time.Millisecond
	retryMax  = 1500 * time.Millisecond
	// firstRetryBase and startMax bound them while nothing is known: the process can't work before.
	firstRetryBase = 150 * time.Millisecond
	firstRetryMax  = 400 * time.Millisecond
)

// Verb is what to ask of the store.
type Verb uint8

// The verbs.
const (
	// List reads everything.
	List Verb = iota
	// Watch waits for changes after the revision From.
	Watch
)

// Step is what to do next: ask after a pause.
type Step struct {
	Verb         Verb
	Pause        time.Duration
	FromRevision uint64
}

// Follower decides what to ask. The zero Follower begins with a list. It is not safe for concurrent use.
type Follower struct {
	// Clock tells the time; nil is the machine's clock.
	Clock lentilclock.Clock
	// BatchPause replaces DefaultSettle if it isn't zero.
	BatchPause time.Duration
	// Backoff gives the pauses after failures; its bounds are set by the follower.
	Backoff lentilbudget.Backoff

	revision uint64
	// objectRevisions has the revision of each object, newest that of the latest change.
	objectRevisions map[string]uint64
	lastChange      uint64
	watching        bool
	failures        int
	failedAt        time.Time
	changedAt       time.Time
	batching        bool
}

func (f *Follower) now() time.Time { return lentilclock.OrSystem(f.Clock).Now() }

// Revision returns the revision up to which changes are known.
func (f *Follower) Revision() uint64 { return f.revision }

// Next returns what to do next.
func (f *Follower) Next() (step Step) {
	if f.watching {
		step = Step{Verb: Watch, FromRevision: f.revision}
	}
	switch {
	case f.failures > 0:
		f.Backoff.Base, f.Backoff.Max = retryBase, retryMax
		if f.objectRevisions == nil {
			f.Backoff.Base, f.Backoff.Max = firstRetryBase, firstRetryMax
		}
		step.Pause = f.Backoff.Next()
	case f.batching:
		step.Pause = durationOr(f.BatchPause, DefaultBatchPause)
	}
	return step
}

func durationOr(value, fallback time.Duration) time.Duration {
	if value == 0 {
		return fallback
	}
	return value
}

// LastChangeRevision returns the revision of the latest change that is known. Processes tell it each other, and
// one that hears of a later one than Revision has missed something.
func (f *Follower) LastChangeRevision() uint64 { return f.lastChange }

// RecordList takes a list: the store's revision and that of each object. It reports whether the content
// may be used, and whether it is new. It may not be used if the store has answered with something older
// than what is known.
func (f *Follower) RecordList(revision uint64, objects map[string]uint64) (usable, changed bool) {
	if revision < f.revision {
		f.RecordFailure(false)
		return false, false
	}
	f.resetFailures()
	first := f.objectRevisions == nil
	changed = first || !maps.Equal(f.objectRevisions, objects)
	if changed && !first {
		// What was removed leaves no revision of its own.
		f.lastChange = max(f.lastChange, revision)
	}
	for _, r := range objects {
		f.lastChange = max(f.lastChange, r)
	}
	f.objectRevisions = maps.Clone(objects)
	if f.objectRevisions == nil {
		f.objectRevisions = make(map[string]uint64)
	}
	f.revision, f.watching, f.batching = revision, true, false
	return true, changed
}

// RecordChange takes one change of a watch, and reports whether it is news: not one from before what
// is known already.
func (f *Follower) RecordChange(name string, revision uint64, removed bool) (news bool) {
	if f.objectRevisions == nil {
		f.objectRevisions = make(map[string]uint64)
	}
	known, ok := f.objectRevisions[name]
	if ok && revision < known || ok && revision == known && !removed {
		return false
	}
	if removed {
		delete(f.objectRevisions, name)
	} else {
		f.objectRevisions[name] = revision
	}
	f.lastChange = max(f.lastChange, revision)
	return ok || !removed
}

// RecordWatch takes the revision that a watch has come to and whether it brought changes.
func (f *Follower) RecordWatch(revision uint64, changed bool) {
	f.resetFailures()
	f.revision = max(f.revision, revision)
	now := f.now()
	f.batching = changed && now.Sub(f.changedAt) < batchWindow
	if changed {
		f.changedAt = now
	}
}

// ObservePeerRevision tells of a change that another process knows. The next step is a list unless it is known here too.
func (f *Follower) ObservePeerRevision(revision uint64) (missed bool) {
	if revision <= f.revision || !f.watching {
		return false
	}
	f.watching = false
	return true
}

// RecordFailure takes a failure. historyGone says that the store no longer knows the changes after the revision.
func (f *Follower) RecordFailure(historyGone bool) {
	if historyGone {
		f.watching = false
		return
	}
	if f.failures == 0 {
		f.failedAt = f.now()
	}
	f.failures++
}

func (f *Follower) resetFailures() {
	f.failures = 0
	f.Backoff.Reset()
}

// OutageDuration returns for how long the store has not answered; zero means that it does.
func (f *Follower) OutageDuration() time.Duration {
	if f.failures == 0 {
		return 0
	}
	return max(f.now().Sub(f.failedAt), 1)
}
