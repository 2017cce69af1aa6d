// Package lentilfollow keeps a local view of one kind of objects in a store up to date. It lists the
// objects, and then watches for changes after the revision of the list.
//
// A Follower decides on the next call to the store. Its position never goes back: it rejects a list that is
// older than the position already known. If the store has dropped the history that a watch needs, the
// next call is a list. If the store has returned from an older copy, which begins a new era, the follower lists it,
// and once more after lentilera.SettleTime, when what the store has lost has been written again. While changes follow
// each other quickly, it pauses between watches, which reduces the cost of a hundred changes to a few calls.
//
// The package is designed for a few changes per hour with bursts of ten per second, and for a store that is
// unavailable for minutes while every process of the system tries to read it.
package lentilfollow

import (
	"maps"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilbudget"
	"lentilstair.example/lentilstair/pkg/lentilclock"
	"lentilstair.example/lentilstair/pkg/lentilera"
)

const (
	// DefaultBatchPause is the pause between watches while changes follow each other quickly. It delays a
	// change by up to this time, which must be well below the time within which a change must be in force.
	DefaultBatchPause = 700 * time.Millisecond
	// batchWindow is the time between two changes below which the follower pauses before the next watch.
	batchWindow = 2 * time.Second
	// retryBase and retryMax bound the pauses after failures. They are long enough to avoid useless calls to
	// a store that is down, and short enough to read it again within a second or two.
	retryBase = 400 * time.Millisecond
	retryMax  = 1500 * time.Millisecond
	// firstRetryBase and firstRetryMax bound the pauses until the first list. They are shorter because the
	// process can't work without it.
	firstRetryBase = 150 * time.Millisecond
	firstRetryMax  = 400 * time.Millisecond
)

// StepKind is the kind of call to the store.
type StepKind uint8

// Kinds of calls.
const (
	// List reads all objects.
	List StepKind = iota
	// Watch waits for changes after Step.FromRevision.
	Watch
)

// Step is the next call to the store, to be made after a pause.
type Step struct {
	Kind  StepKind
	Pause time.Duration
	From  lentilera.Position
	// Limit ends a watch, since a list is due then; zero is no limit.
	Limit time.Duration
}

// Follower decides on the next call to the store. The zero Follower begins with a list. It is not safe for
// concurrent use.
type Follower struct {
	// Clock provides the time; nil means the system clock.
	Clock lentilclock.Clock
	// BatchPause replaces DefaultBatchPause if it isn't zero.
	BatchPause time.Duration
	// Backoff computes the pauses after failures. The follower sets its bounds.
	Backoff lentilbudget.Backoff

	// position is the point up to which changes are known, and reported the latest one that another process has
	// reported and that has led to a list.
	position, reported lentilera.Position
	// settledAt is when the store must be listed again after its return from an older copy; zero if it needn't.
	settledAt time.Time
	// objectRevisions holds the revision of each object. It is nil until the first list or change.
	objectRevisions map[string]uint64
	// lastChange is the revision of the latest known change in the era of position.
	lastChange uint64
	// watching is set if the next call is a watch.
	watching bool
	// failures counts consecutive failures; failedAt is the time of the first.
	failures  int
	failedAt  time.Time
	changedAt time.Time
	// batching is set if the next watch must wait for the batch pause.
	batching bool
}

func (f *Follower) now() time.Time { return lentilclock.OrSystem(f.Clock).Now() }

// Position returns the point up to which changes are known.
func (f *Follower) Position() lentilera.Position { return f.position }

// Next returns the next step.
func (f *Follower) Next() (step Step) {
	if f.watching {
		step = Step{Kind: Watch, From: f.position}
	}
	if f.watching && !f.settledAt.IsZero() {
		if step.Limit = f.settledAt.Sub(f.now()); step.Limit <= 0 {
			step = Step{Kind: List}
		}
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

// durationOr returns fallback if value is zero.
func durationOr(value, fallback time.Duration) time.Duration {
	if value == 0 {
		return fallback
	}
	return value
}

// LastChange returns the position of the latest known change. Processes exchange it. A process
// that learns of one later than its own Position has missed a change.
func (f *Follower) LastChange() lentilera.Position {
	return lentilera.Position{Era: f.position.Era, Revision: f.lastChange}
}

// RecordList records a list: the store's position and the revision of each object. It reports whether the list
// is usable, and whether it may differ from the objects known before. A list that is older than the known position
// isn't usable and counts as a failure.
func (f *Follower) RecordList(position lentilera.Position, revisions map[string]uint64) (usable, changed bool) {
	if position.Compare(f.position) < 0 {
		f.RecordFailure(false)
		return false, false
	}
	f.resetFailures()
	now := f.now()
	first := f.objectRevisions == nil
	returned := !first && position.Era > f.position.Era
	settled := !f.settledAt.IsZero() && !now.Before(f.settledAt)
	// Equal revisions of different eras may belong to different contents.
	changed = first || returned || settled || !maps.Equal(f.objectRevisions, revisions)
	switch {
	case returned:
		f.lastChange, f.settledAt = 0, now.Add(lentilera.SettleTime)
	case settled:
		f.settledAt = time.Time{}
	}
	if changed && !first {
		// A list doesn't contain the revision of a removal, so the revision of the list is used for it.
		f.lastChange = max(f.lastChange, position.Revision)
	}
	for _, r := range revisions {
		f.lastChange = max(f.lastChange, r)
	}
	f.objectRevisions = maps.Clone(revisions)
	if f.objectRevisions == nil {
		f.objectRevisions = make(map[string]uint64)
	}
	f.position, f.watching, f.batching = position, true, false
	return true, changed
}

// RecordChange records a change from a watch. It reports whether the change is new, rather than a repeated or
// outdated one.
func (f *Follower) RecordChange(name string, revision uint64, removed bool) (isNew bool) {
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

// Continues reports whether a watch's answer from the given position continues what is known. An answer of another
// era doesn't: it lacks the changes that the new era has up to the position from which the watch began. The next step
// is then a list.
func (f *Follower) Continues(position lentilera.Position) bool {
	if position.Era != f.position.Era {
		f.watching = false
		return false
	}
	return true
}

// RecordWatch records the result of a watch: the revision that it has reached, and whether it brought new changes.
func (f *Follower) RecordWatch(revision uint64, changed bool) {
	f.resetFailures()
	f.position.Revision = max(f.position.Revision, revision)
	now := f.now()
	f.batching = changed && now.Sub(f.changedAt) < batchWindow
	if changed {
		f.changedAt = now
	}
}

// ObservePeer records the position of a change that another process knows, or of an answer of the store to another
// call. If it is later than the follower's position, the next step is a list. It reports whether this call changed the
// next step from a watch to a list. A position that has led to a list before doesn't lead to another one.
func (f *Follower) ObservePeer(position lentilera.Position) (missed bool) {
	if position.Compare(f.position) <= 0 || position.Compare(f.reported) <= 0 || !f.watching {
		return false
	}
	f.watching, f.reported = false, position
	return true
}

// RecordFailure records a failed call. historyGone is set if the store no longer has the changes after the
// follower's revision; the next step is then a list, and the failure doesn't count towards an
// outage.
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

// OutageDuration returns the time since the first of the consecutive failures, or zero if there is none.
func (f *Follower) OutageDuration() time.Duration {
	if f.failures == 0 {
		return 0
	}
	return max(f.now().Sub(f.failedAt), 1)
}
