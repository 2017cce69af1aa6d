package lentilfollow

import (
	"context"
	"errors"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilclock"
	"lentilstair.example/lentilstair/pkg/lentilera"
)

// countingSource is a source whose calls are counted. Its watches wait until their context ends or a change comes.
type countingSource struct {
	lists, watches atomic.Int64
	revision       atomic.Uint64
	down           atomic.Bool
	changes        chan struct{}
}

var errDown = errors.New("the store is down")

func (c *countingSource) source() Source[int] {
	object := func() []Change[int] {
		r := c.revision.Load()
		return []Change[int]{{Name: "main", Revision: r, Value: int(r)}}
	}
	return Source[int]{
		List: func(context.Context) ([]Change[int], lentilera.Position, error) {
			c.lists.Add(1)
			if c.down.Load() {
				return nil, lentilera.Position{}, errDown
			}
			return object(), lentilera.Position{Revision: c.revision.Load()}, nil
		},
		Watch: func(ctx context.Context, _ uint64) ([]Change[int], lentilera.Position, error) {
			c.watches.Add(1)
			select {
			case <-ctx.Done():
				return nil, lentilera.Position{}, ctx.Err()
			case <-c.changes:
				return object(), lentilera.Position{Revision: c.revision.Load()}, nil
			}
		},
	}
}

// TestReaderWithoutWatch checks that a reader that doesn't watch makes no call while nothing changes, lists once when
// a peer knows a change, and watches when it is to.
func TestReaderWithoutWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &countingSource{changes: make(chan struct{})}
		source.revision.Store(5)
		var value atomic.Int64
		var watch atomic.Bool
		watched := 0
		apply := func(changes []Change[int]) { value.Store(int64(changes[0].Value)) }
		r := &Reader[int]{
			Source: source.source(),
			Sink:   Sink[int]{Replace: apply, Apply: apply, Failed: func(error) {}, Recovered: func(time.Duration) {}},
			DeferWatch: func() time.Duration {
				if watch.Load() {
					return 0
				}
				return 10 * time.Second
			},
			Watched: func() { watched++ },
		}
		ctx, cancel := context.WithCancel(t.Context())
		go r.Run(ctx)
		time.Sleep(35 * time.Second)
		if source.lists.Load() != 1 || source.watches.Load() != 0 || value.Load() != 5 {
			t.Errorf("%d lists and %d watches while nothing changed, value %d", source.lists.Load(), source.watches.Load(), value.Load())
		}
		source.revision.Store(7)
		r.ObservePeer(lentilera.Position{Revision: 7})
		synctest.Wait()
		if source.lists.Load() != 2 || value.Load() != 7 {
			t.Errorf("%d lists after a peer's change, value %d", source.lists.Load(), value.Load())
		}
		watch.Store(true)
		time.Sleep(10 * time.Second)
		source.revision.Store(9)
		source.changes <- struct{}{}
		synctest.Wait()
		if source.watches.Load() != 2 || value.Load() != 9 || watched != 1 {
			t.Errorf("%d watches, value %d, %d changes watched", source.watches.Load(), value.Load(), watched)
		}
		cancel()
		synctest.Wait()
	})
}

// TestPollReportsOutage checks that a reader that only polls reports the begin and the end of an outage, once each,
// and that an older list than before counts as one.
func TestPollReportsOutage(t *testing.T) {
	source := &countingSource{}
	source.revision.Store(1)
	clock := &lentilclock.Fake{}
	var events []string
	r := &Reader[int]{
		Follower: Follower{Clock: clock},
		Source:   source.source(),
		Sink: Sink[int]{
			Replace: func([]Change[int]) {}, Apply: func([]Change[int]) {},
			Failed:    func(err error) { events = append(events, err.Error()) },
			Recovered: func(outage time.Duration) { events = append(events, outage.String()) },
		},
		DeferWatch: func() time.Duration { return time.Hour },
	}
	for step, down := range []bool{false, true, true, false, false, false, false} {
		source.down.Store(down)
		source.revision.Store([]uint64{3, 3, 3, 3, 3, 2, 3}[step])
		if answered := r.Poll(t.Context()); answered == down {
			t.Errorf("answered %t while the store is down: %t", answered, down)
		}
		clock.Advance(time.Second)
	}
	if got, want := strings.Join(events, "; "), "the store is down; 2s; "+errOlderList.Error()+"; 1s"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}
