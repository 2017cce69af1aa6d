package lentilpacket

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"lentilstair.example/lentilstair/internal/lentilevent"
	"lentilstair.example/lentilstair/pkg/lentilflow"
)

// TestLostEntryIsPublishedAgain guards against an agent that runs on without an entry, so that balancers that start later hold
// its flows for ended.
func TestLostEntryIsPublishedAgain(t *testing.T) {
	self := Peer{Node: lentilflow.Node{Name: "agent-1", Address: lentilflow.NewEndpoint([4]byte{10, 0, 0, 1}, 7080)}, RunID: 2}
	earlier, next := self, self
	earlier.RunID = 1
	next.Node.Address = lentilflow.NewEndpoint([4]byte{10, 0, 0, 2}, 7080)
	next.RunID = 3
	type entry struct {
		peer  Peer
		found bool
		err   error
	}
	for _, c := range []struct {
		name string
		// found has the entries that are found, one for each call.
		found     []entry
		published int
		after     time.Duration
	}{
		{"the entry is there", []entry{{self, true, nil}}, 0, confirmDelay},
		{"the entry is missing", []entry{{}, {self, true, nil}}, 1, 2 * confirmDelay},
		{"it is removed once more", []entry{{}, {}, {self, true, nil}}, 2, 3 * confirmDelay},
		{"an earlier run's entry is there", []entry{{earlier, true, nil}, {self, true, nil}}, 1, 2 * confirmDelay},
		{"the next process of the name has an entry", []entry{{next, true, nil}}, 0, confirmDelay},
		{"the store fails", []entry{{err: errors.New("unavailable")}, {}, {self, true, nil}}, 1, 2 * confirmDelay},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				published := make(map[uint64]bool)
				own := Directory{
					Publish: func(_ context.Context, p Peer) error {
						published[p.Publication] = true
						return nil
					},
					Find: func(context.Context, string) (Peer, bool, error) {
						e := c.found[0]
						c.found = c.found[1:]
						return e.peer, e.found, e.err
					},
				}
				start := time.Now()
				confirmEntry(t.Context(), lentilevent.Logger{}, own, self)
				took := time.Since(start)
				if len(c.found) > 0 || len(published) != c.published || took < c.after || took > c.after+maxRetryDelay {
					t.Errorf("%d publications after %s, %d entries not read; want %d after %s", len(published), took, len(c.found), c.published, c.after)
				}
			})
		})
	}
}
