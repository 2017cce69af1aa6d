package lentilfollow

import (
	"context"
	"errors"
	"sync"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilera"
	"lentilstair.example/lentilstair/pkg/lentilplatform"
)

// Change is the current state of an object, or its removal.
type Change[T any] struct {
	Name string
	// Revision is the revision of the object's last change.
	Revision uint64
	Value    T
	Removed  bool
}

// Source reads one kind of objects from the store. Its errors match those of lentilplatform; ErrGone means that
// the store no longer has the history after a revision.
type Source[T any] struct {
	// List returns all objects and the position of the store at which they were read.
	List func(ctx context.Context) (all []Change[T], position lentilera.Position, err error)
	// Watch waits for changes after a revision. It returns the position up to which it has watched, and may
	// return no changes.
	Watch func(ctx context.Context, from uint64) (changes []Change[T], position lentilera.Position, err error)
}

// Sink receives the objects that a Reader reads. Replace and Apply are never called concurrently, nor are
// Failed and Recovered.
type Sink[T any] struct {
	// Replace receives all objects, Apply the changes since the last call of either.
	Replace func(all []Change[T])
	Apply   func(changes []Change[T])
	// Failed is called when the store begins to fail, or answers with a list older than the known position.
	// Recovered is called when the store works again, with the duration of the
	// outage.
	Failed    func(err error)
	Recovered func(outage time.Duration)
}

// Reader reads a source as its Follower decides, and passes the objects to a sink. Set the exported fields
// before Run.
type Reader[T any] struct {
	Follower Follower
	Source   Source[T]
	Sink     Sink[T]
	// DeferWatch returns how long to wait before it is asked again whether to watch the source; with zero the
	// reader watches. A reader that doesn't watch reads the source when Poll is called or when
	// ObservePeer shows that it has missed a change. Nil means that the reader always watches.
	DeferWatch func() time.Duration
	// Watched is called after a watch has brought changes, or a list a new era of the store. It may be nil.
	Watched func()

	mu sync.Mutex
	// outageMu serializes the calls of Sink.Failed and Sink.Recovered.
	outageMu sync.Mutex
	// cancelStep ends the current step, such as a waiting watch.
	cancelStep context.CancelFunc
}

// LastChange returns the position of the latest known change.
func (r *Reader[T]) LastChange() lentilera.Position {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Follower.LastChange()
}

// ObservePeer records the position of a change that another process knows. If this reader has missed
// the change, it ends the current step and lists the source.
func (r *Reader[T]) ObservePeer(position lentilera.Position) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.Follower.ObservePeer(position) && r.cancelStep != nil {
		r.cancelStep()
	}
}

// Poll lists the source while a watch waits, as the watch may be disconnected without an error. If the list
// brings changes, Poll ends the watch. It reports whether the source has answered.
func (r *Reader[T]) Poll(ctx context.Context) (answered bool) {
	all, position, err := r.Source.List(ctx)
	r.trackOutage(func() error {
		switch {
		case ctx.Err() != nil:
		case err != nil && r.DeferWatch != nil:
			r.Follower.RecordFailure(false)
		case err == nil:
			changed, listErr := r.applyList(all, position)
			if changed && r.cancelStep != nil {
				r.cancelStep()
			}
			return listErr
		}
		return err
	})
	return err == nil
}

// trackOutage calls record with the lock held, and then reports the begin or the end of an outage to the sink.
func (r *Reader[T]) trackOutage(record func() error) {
	r.outageMu.Lock()
	defer r.outageMu.Unlock()
	r.mu.Lock()
	before := r.Follower.OutageDuration()
	err := record()
	after := r.Follower.OutageDuration()
	r.mu.Unlock()
	switch {
	case before == 0 && after > 0:
		r.Sink.Failed(err)
	case before > 0 && after == 0:
		r.Sink.Recovered(before)
	}
}

// Run reads the source until ctx is done.
func (r *Reader[T]) Run(ctx context.Context) {
	for ctx.Err() == nil {
		r.mu.Lock()
		step := r.Follower.Next()
		stepCtx, cancel := context.WithCancel(ctx)
		r.cancelStep = cancel
		r.mu.Unlock()
		if pause(stepCtx, step.Pause) {
			r.perform(stepCtx, step)
		}
		cancel()
	}
}

// perform makes the call of a step and passes new objects or changes to the sink.
func (r *Reader[T]) perform(ctx context.Context, step Step) {
	if step.Kind == List {
		all, position, err := r.Source.List(ctx)
		changed := false
		r.recordStep(ctx, err, func() error {
			before := r.Follower.Position()
			applied, err := r.applyList(all, position)
			changed = applied && before.Era != position.Era && before != lentilera.Position{}
			return err
		})
		if changed && r.Watched != nil {
			r.Watched()
		}
		return
	}
	if step.Limit > 0 {
		limited, cancel := context.WithTimeout(ctx, step.Limit)
		defer cancel()
		ctx = limited
	}
	if r.DeferWatch != nil {
		if wait := r.DeferWatch(); wait > 0 {
			pause(ctx, wait)
			return
		}
	}
	changes, position, err := r.Source.Watch(ctx, step.From.Revision)
	changed := false
	r.recordStep(ctx, err, func() error {
		if r.Follower.Continues(position) {
			changed = r.applyChanges(changes, position.Revision)
		}
		return nil
	})
	if changed && r.Watched != nil {
		r.Watched()
	}
}

// recordStep records the result of a step's call, unless it was canceled, and applies it if the call succeeded.
func (r *Reader[T]) recordStep(ctx context.Context, err error, apply func() error) {
	r.trackOutage(func() error {
		switch {
		case err == nil:
			return apply()
		case ctx.Err() == nil:
			r.Follower.RecordFailure(errors.Is(err, lentilplatform.ErrGone))
		}
		return err
	})
}

// applyChanges records the changes of a watch and passes those that are new to the sink. It reports whether there
// are any. The caller holds r.mu.
func (r *Reader[T]) applyChanges(changes []Change[T], revision uint64) (changed bool) {
	newChanges := changes[:0]
	for _, c := range changes {
		if r.Follower.RecordChange(c.Name, c.Revision, c.Removed) {
			newChanges = append(newChanges, c)
		}
	}
	r.Follower.RecordWatch(revision, len(newChanges) > 0)
	if len(newChanges) > 0 {
		r.Sink.Apply(newChanges)
	}
	return len(newChanges) > 0
}

// errOlderList is the reason for a failure if the store has answered, but with an older state than before.
var errOlderList = errors.New("the store has answered with a list older than the known position")

// applyList records a list and passes it to the sink if it differs from the objects known before. It reports
// whether it does. The caller holds r.mu.
func (r *Reader[T]) applyList(all []Change[T], position lentilera.Position) (changed bool, err error) {
	revisions := make(map[string]uint64, len(all))
	for _, c := range all {
		revisions[c.Name] = c.Revision
	}
	usable, changed := r.Follower.RecordList(position, revisions)
	if !usable {
		return false, errOlderList
	}
	if changed {
		r.Sink.Replace(all)
	}
	return changed, nil
}

// pause waits for d. It reports false if ctx is done before.
func pause(ctx context.Context, d time.Duration) (completed bool) {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
