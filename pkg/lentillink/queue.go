package lentillink

import (
	"bytes"
	"container/heap"
	"container/list"
	"slices"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilflow"
)

// quantum is what a caller or a flow may send in a round of deficit round robin: one packet of full size with headers.
const quantum = packetBytes + headerBytes

// entry is a queued datagram.
type entry struct {
	Datagram
	since time.Time
}

// duplicates reports whether d is the same packet as the queued one, to the same destination. Packets without data
// count only if they are identical: later ones acknowledge more, or close the flow.
func (e entry) duplicates(d Datagram) bool {
	if e.Sequence != d.Sequence || e.Length != d.Length || len(e.Bytes) != len(d.Bytes) || e.To != d.To {
		return false
	}
	return d.Length > 0 || d.Class == Opening || bytes.Equal(e.Bytes, d.Bytes)
}

// turns is the place of a queue in a ring and in a heap, and its size.
type turns struct {
	element *list.Element
	index   int
	bytes   int
	// credit is the number of bytes that the queue may send before the turn of the next one.
	credit int
}

func (t *turns) place() *turns { return t }

// flowQueue holds the datagrams of a flow in the order of arrival. It is never empty.
type flowQueue struct {
	turns
	key     lentilflow.Key
	caller  *callerQueue
	entries []entry
}

func (f *flowQueue) headCost() int { return f.entries[0].cost() }

// callerQueue holds the flows of a caller that have datagrams queued. It is never empty.
type callerQueue struct {
	turns
	address [4]byte
	flows   ring[*flowQueue]
}

func (c *callerQueue) headCost() int { return c.flows.current().headCost() }

// ringNode is a queue that takes turns with others.
type ringNode interface {
	// headCost returns the size of the datagram that the queue sends next.
	headCost() int
	place() *turns
}

// ring is a deficit round robin (Shreedhar and Varghese, 1995) that also knows its longest queue. The zero ring is
// empty. Every operation takes at most logarithmic time, since floods of small datagrams may fill it with thousands
// of queues.
type ring[N ringNode] struct {
	order  list.List
	longer longestFirst[N]
}

func (r *ring[N]) empty() bool { return len(r.longer) == 0 }

// add adds a queue at the end of the current round.
func (r *ring[N]) add(n N) {
	n.place().credit = quantum
	n.place().element = r.order.PushBack(n)
	heap.Push(&r.longer, n)
}

func (r *ring[N]) remove(n N) {
	r.order.Remove(n.place().element)
	heap.Remove(&r.longer, n.place().index)
}

// grow changes the size of a queue.
func (r *ring[N]) grow(n N, bytes int) {
	n.place().bytes += bytes
	heap.Fix(&r.longer, n.place().index)
}

// longest returns the queue with most bytes. The ring must not be empty.
func (r *ring[N]) longest() N { return r.longer[0] }

// current returns the queue that sends next. The ring must not be empty.
func (r *ring[N]) current() N {
	for {
		front := r.order.Front()
		n := front.Value.(N)
		if n.headCost() <= n.place().credit {
			return n
		}
		n.place().credit += quantum
		r.order.MoveToBack(front)
	}
}

// longestFirst is a heap of queues by size.
type longestFirst[N ringNode] []N

func (h longestFirst[N]) Len() int           { return len(h) }
func (h longestFirst[N]) Less(i, j int) bool { return h[i].place().bytes > h[j].place().bytes }

func (h longestFirst[N]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place().index, h[j].place().index = i, j
}

// Push implements heap.Interface.
func (h *longestFirst[N]) Push(x any) {
	n := x.(N)
	n.place().index = len(*h)
	*h = append(*h, n)
}

// Pop implements heap.Interface.
func (h *longestFirst[N]) Pop() any {
	last := len(*h) - 1
	n := (*h)[last]
	clear((*h)[last:])
	*h = (*h)[:last]
	return n
}

// classQueue holds the datagrams of a class. The zero classQueue is empty.
type classQueue struct {
	callers   ring[*callerQueue]
	byAddress map[[4]byte]*callerQueue
	flows     map[lentilflow.Key]*flowQueue
	bytes     int
}

func (q *classQueue) empty() bool { return len(q.flows) == 0 }

// holds reports whether a duplicate of d is queued.
func (q *classQueue) holds(d Datagram) bool {
	f := q.flows[d.Flow]
	return f != nil && slices.ContainsFunc(f.entries, func(e entry) bool { return e.duplicates(d) })
}

func (q *classQueue) push(e entry) {
	f := q.flows[e.Flow]
	if f == nil {
		if q.flows == nil {
			q.byAddress, q.flows = make(map[[4]byte]*callerQueue), make(map[lentilflow.Key]*flowQueue)
		}
		c := q.byAddress[e.Caller]
		if c == nil {
			c = &callerQueue{address: e.Caller}
		}
		f = &flowQueue{key: e.Flow, caller: c}
		f.entries = append(f.entries, e)
		q.flows[e.Flow] = f
		c.flows.add(f)
		if q.byAddress[e.Caller] == nil {
			q.byAddress[e.Caller] = c
			q.callers.add(c)
		}
	} else {
		f.entries = append(f.entries, e)
	}
	q.addBytes(f, e.cost())
}

func (q *classQueue) addBytes(f *flowQueue, bytes int) {
	f.caller.flows.grow(f, bytes)
	q.callers.grow(f.caller, bytes)
	q.bytes += bytes
}

// current returns the flow that sends next. The queue must not be empty.
func (q *classQueue) current() *flowQueue { return q.callers.current().flows.current() }

// remove removes the datagram with the given index from a flow.
func (q *classQueue) remove(f *flowQueue, index int) (e entry) {
	e = f.entries[index]
	q.addBytes(f, -e.cost())
	f.entries = slices.Delete(f.entries, index, index+1)
	if len(f.entries) > 0 {
		return e
	}
	c := f.caller
	delete(q.flows, f.key)
	c.flows.remove(f)
	if c.flows.empty() {
		delete(q.byAddress, c.address)
		q.callers.remove(c)
	}
	return e
}

// longest returns the flow with most bytes of the caller with most bytes. The queue must not be empty. By flows alone, a
// caller with 100 flows would keep its datagrams, and others, whose flows are longer, would lose theirs.
func (q *classQueue) longest() *flowQueue { return q.callers.longest().flows.longest() }
