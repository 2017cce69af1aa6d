package lentilfollow

import (
	"context"
	"errors"
	"sync"
	"time"

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
	// List returns all objects and the revision of the store at which they were read.
	List func(ctx context.Context) (all []Change[T], revision uint64, err error)
	// Watch waits for changes after a revision. It returns the revision up to which it has watched, and may
	// return no changes.
	Watch func(ctx context.Context, from uint64) (changes []Change[T], revision uint64, err error)
}

// Sink receives the objects that a Reader reads. Replace and Apply are never called concurrently, nor are
// Failed and Recovered.
type Sink[T any] struct {
	// Replace receives all objects, Apply the changes since the last call of either.
	Replace func(all []Change[T])
	Apply   func(changes []Change[T])
	// Failed is called when the store begins to fail. Its error is nil if the store has answered, but with a list
	// older than the known revision. Recovered is called when the store works again, with the duration of the
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

	mu sync.Mutex
	// cancelStep ends the current step, such as a waiting watch.
	cancelStep context.CancelFunc
}

// LastChangeRevision returns the revision of the latest known change.
func (r *Reader[T]) LastChangeRevision() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Follower.LastChangeRevision()
}

// ObservePeerRevision records the revision of a change that another process knows. If this reader has missed
// the change, it ends the current step and lists the source.
func (r *Reader[T]) ObservePeerRevision(revision uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.Follower.ObservePeerRevision(revision) && r.cancelStep != nil {
		r.cancelStep()
	}
}

// Poll lists the source while a watch waits, as the watch may be disconnected without an error. If the list
// brings changes, Poll ends the watch. It reports whether the source has answered.
func (r *Reader[T]) Poll(ctx context.Context) (answered bool) {
	all, revision, err := r.Source.List(ctx)
	if err != nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.applyList(all, revision) && r.cancelStep != nil {
		r.cancelStep()
	}
	return true
}

// Run reads the source until ctx is done.
func (r *Reader[T]) Run(ctx context.Context) {
	for ctx.Err() == nil {
		r.mu.Lock()
		step, outageBefore := r.Follower.Next(), r.Follower.OutageDuration()
		stepCtx, cancel := context.WithCancel(ctx)
		r.cancelStep = cancel
		r.mu.Unlock()
		var err error
		if pause(stepCtx, step.Pause) {
			err = r.perform(stepCtx, step)
		}
		canceled := stepCtx.Err() != nil
		cancel()
		if ctx.Err() != nil {
			return
		}
		r.mu.Lock()
		if err != nil && !canceled {
			r.Follower.RecordFailure(errors.Is(err, lentilplatform.ErrGone))
		}
		outageAfter := r.Follower.OutageDuration()
		r.mu.Unlock()
		switch {
		case outageBefore == 0 && outageAfter > 0:
			r.Sink.Failed(err)
		case outageBefore > 0 && outageAfter == 0:
			r.Sink.Recovered(outageBefore)
		}
	}
}

// perform makes the call of a step and passes new objects or changes to the sink.
func (r *Reader[T]) perform(ctx context.Context, step Step) (err error) {
	if step.Kind == List {
		all, revision, err := r.Source.List(ctx)
		if err != nil {
			return err
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		r.applyList(all, revision)
		return nil
	}
	changes, revision, err := r.Source.Watch(ctx, step.FromRevision)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
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
	return nil
}

// applyList records a list and passes it to the sink if it differs from the objects known before. It reports
// whether it does. The caller holds r.mu.
func (r *Reader[T]) applyList(all []Change[T], revision uint64) (changed bool) {
	revisions := make(map[string]uint64, len(all))
	for _, c := range all {
		revisions[c.Name] = c.Revision
	}
	usable, changed := r.Follower.RecordList(revision, revisions)
	if usable && changed {
		r.Sink.Replace(all)
	}
	return changed
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
