package lentilfollow

import (
	"context"
	"errors"
	"sync"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilplatform"
)

// Change is an object that is there now, or was removed.
type Change[T any] struct {
	Name string
	// Revision is that of the object's last change.
	Revision uint64
	Value    T
	Removed  bool
}

// Source reads one kind of objects. Its errors match those of lentilplatform; ErrGone says that the
// history after a revision is no longer known.
type Source[T any] struct {
	// List returns all objects and the revision at which they are so.
	List func(ctx context.Context) (all []Change[T], revision uint64, err error)
	// Watch waits for changes after a revision. It may return none.
	Watch func(ctx context.Context, from uint64) (changes []Change[T], revision uint64, err error)
}

// Sink takes what is read. Its functions are called one at a time.
type Sink[T any] struct {
	// Replace takes all objects, Changed what has changed since.
	Replace func(all []Change[T])
	Apply   func(changes []Change[T])
	// Failed and Regained tell that the store has begun and ceased to fail.
	Failed    func(err error)
	Recovered func(after time.Duration)
}

// Reader reads a source by the decisions of a Follower. Set the exported fields before Run.
type Reader[T any] struct {
	Follower Follower
	Source   Source[T]
	Sink     Sink[T]

	mu sync.Mutex
	// cancelStep ends the watch that is waiting.
	cancelStep context.CancelFunc
}

// LastChangeRevision returns the revision of the latest change that is known.
func (r *Reader[T]) LastChangeRevision() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Follower.LastChangeRevision()
}

// ObservePeerRevision tells of a change that another process knows, so that the source is read if it isn't known here.
func (r *Reader[T]) ObservePeerRevision(revision uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.Follower.ObservePeerRevision(revision) && r.cancelStep != nil {
		r.cancelStep()
	}
}

// Poll reads the source beside the watch that is waiting, which may have gone deaf. It reports
// whether the source has answered.
func (r *Reader[T]) Poll(ctx context.Context) (ok bool) {
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

// Run reads until ctx ends.
func (r *Reader[T]) Run(ctx context.Context) {
	for ctx.Err() == nil {
		r.mu.Lock()
		step, lost := r.Follower.Next(), r.Follower.OutageDuration()
		watching, interrupt := context.WithCancel(ctx)
		r.cancelStep = interrupt
		r.mu.Unlock()
		var err error
		if pause(watching, step.Pause) {
			err = r.perform(watching, step)
		}
		interrupted := watching.Err() != nil
		interrupt()
		if ctx.Err() != nil {
			return
		}
		r.mu.Lock()
		if err != nil && !interrupted {
			r.Follower.RecordFailure(errors.Is(err, lentilplatform.ErrGone))
		}
		now := r.Follower.OutageDuration()
		r.mu.Unlock()
		switch {
		case lost == 0 && now > 0:
			r.Sink.Failed(err)
		case lost > 0 && now == 0:
			r.Sink.Recovered(lost)
		}
	}
}

func (r *Reader[T]) perform(ctx context.Context, step Step) (err error) {
	if step.Verb == List {
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
	news := changes[:0]
	for _, c := range changes {
		if r.Follower.RecordChange(c.Name, c.Revision, c.Removed) {
			news = append(news, c)
		}
	}
	r.Follower.RecordWatch(revision, len(news) > 0)
	if len(news) > 0 {
		r.Sink.Apply(news)
	}
	return nil
}

// applyList takes a list while r.mu is held, and reports whether it brought something new.
func (r *Reader[T]) applyList(all []Change[T], revision uint64) (changed bool) {
	objects := make(map[string]uint64, len(all))
	for _, c := range all {
		objects[c.Name] = c.Revision
	}
	usable, changed := r.Follower.RecordList(revision, objects)
	if usable && changed {
		r.Sink.Replace(all)
	}
	return changed
}

func pause(ctx context.Context, d time.Duration) (ok bool) {
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
