// Package lentilfollow keeps a local view of one kind of objects in a store up to date. It lists the
// objects, and then watches for changes after the revision of the list.
//
// A Follower decides on the next call to the store. Its revision never decreases: it rejects a list that is
// older than the revision already known. If the store has dropped the history that a watch needs, the
// next call is a list. While changes follow each other quickly, it pauses between watches, which
// reduces the cost of a hundred changes to a few calls.
//
// The package is designed for a few changes per hour with bursts of ten per second, and for a store that is
// unavailable for minutes while every process of the system tries to read it.
package lentilfollow

import (
	"maps"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilbudget"
	"lentilstair.example/lentilstair/pkg/lentilclock"
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
	Kind         StepKind
	Pause        time.Duration
	FromRevision uint64
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

	// revision is the revision up to which changes are known.
	revision uint64
	// objectRevisions holds the revision of each object. It is nil until the first list or change.
	objectRevisions map[string]uint64
	// lastChange is the revision of the latest known change.
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

// Revision returns the revision up to which changes are known.
func (f *Follower) Revision() uint64 { return f.revision }

// Next returns the next step.
func (f *Follower) Next() (step Step) {
	if f.watching {
		step = Step{Kind: Watch, FromRevision: f.revision}
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

// LastChangeRevision returns the revision of the latest known change. Processes exchange this revision. A process
// that learns of one later than its own Revision has missed a change.
func (f *Follower) LastChangeRevision() uint64 { return f.lastChange }

// RecordList records a list: the store's revision and the revision of each object. It reports whether the list
// is usable, and whether it differs from the objects known before. A list that is older than the known revision
// isn't usable and counts as a failure.
func (f *Follower) RecordList(revision uint64, revisions map[string]uint64) (usable, changed bool) {
	if revision < f.revision {
		f.RecordFailure(false)
		return false, false
	}
	f.resetFailures()
	first := f.objectRevisions == nil
	changed = first || !maps.Equal(f.objectRevisions, revisions)
	if changed && !first {
		// A list doesn't contain the revision of a removal, so the revision of the list is used for it.
		f.lastChange = max(f.lastChange, revision)
	}
	for _, r := range revisions {
		f.lastChange = max(f.lastChange, r)
	}
	f.objectRevisions = maps.Clone(revisions)
	if f.objectRevisions == nil {
		f.objectRevisions = make(map[string]uint64)
	}
	f.revision, f.watching, f.batching = revision, true, false
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

// RecordWatch records the result of a watch: the revision that it has reached, and whether it brought new changes.
func (f *Follower) RecordWatch(revision uint64, changed bool) {
	f.resetFailures()
	f.revision = max(f.revision, revision)
	now := f.now()
	f.batching = changed && now.Sub(f.changedAt) < batchWindow
	if changed {
		f.changedAt = now
	}
}

// ObservePeerRevision records the revision of a change that another process knows. If it is later than the
// follower's revision, the next step is a list. It reports whether this call changed the next step from a
// watch to a list.
func (f *Follower) ObservePeerRevision(revision uint64) (missed bool) {
	if revision <= f.revision || !f.watching {
		return false
	}
	f.watching = false
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
