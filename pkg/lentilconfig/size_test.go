package lentilconfig

import (
	"encoding/json"
	"runtime"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// Numbers of services and copies in the planned installation, the platform's limit for an
// object in bytes, and the limit for a delta that changes one copy.
const (
	fullSizeServices    = 7_000
	fullSizeCopies      = 26_000
	platformObjectLimit = 1 << 20
	maxOneCopyDeltaSize = 1 << 10
)

// TestObjectSizes checks that the head and each shard of the planned installation stay
// below a quarter of the platform's object limit, and that a delta of one copy is small.
func TestObjectSizes(t *testing.T) {
	document := sampleDocument(fullSizeServices, fullSizeCopies)
	for i := range MaxRecentNotes {
		document = document.NextVersion(AcceptedNoteDoc{NoteID: "2026-05-04-castelbuono", Digest: string(DigestOf([]byte{byte(i)})), Author: "rosalia"})
	}
	head, shards, err := Split(document)
	if err != nil {
		t.Fatal(err)
	}
	largest, total := 0, 0
	for _, shard := range shards {
		largest = max(largest, len(shard.Body()))
		total += len(shard.Body())
	}
	body, err := json.Marshal(head)
	if err != nil {
		t.Fatal(err)
	}
	full, err := json.Marshal(document)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d shards, largest %d bytes, all %d bytes; head %d bytes; full document %d bytes", len(shards), largest, total, len(body), len(full))
	if largest > platformObjectLimit/4 || len(body) > platformObjectLimit/4 {
		t.Errorf("the largest shard has %d bytes and the head has %d bytes, want at most a quarter of platformObjectLimit", largest, len(body))
	}
	delta, err := NewDelta(document, toggleDraining(document, 5))
	if err != nil {
		t.Fatal(err)
	}
	encoded, err := cbor.Marshal(delta)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("delta of one copy: %d bytes", len(encoded))
	if len(encoded) > maxOneCopyDeltaSize {
		t.Errorf("a delta of one copy has %d bytes, want at most maxOneCopyDeltaSize", len(encoded))
	}
}

func BenchmarkCheck(b *testing.B) {
	document := sampleDocument(fullSizeServices, fullSizeCopies)
	for b.Loop() {
		if err := document.Check(); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkNew(b *testing.B) {
	document := sampleDocument(fullSizeServices, fullSizeCopies)
	for b.Loop() {
		if _, err := New(document); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkSplit(b *testing.B) {
	document := sampleDocument(fullSizeServices, fullSizeCopies)
	for b.Loop() {
		if _, _, err := Split(document); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkOfferDelta(b *testing.B) {
	document := sampleDocument(fullSizeServices, fullSizeCopies)
	var store Store
	if err := store.Offer(document); err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		b.StopTimer()
		next := toggleDraining(document, 5)
		delta, err := NewDelta(document, next)
		if err != nil {
			b.Fatal(err)
		}
		document = next
		b.StartTimer()
		if err = store.OfferDelta(delta); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkStoreHeap reports the heap size of a store after 100 changes.
func BenchmarkStoreHeap(b *testing.B) {
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		store := &Store{}
		document := sampleDocument(fullSizeServices, fullSizeCopies)
		for i := range 100 {
			next := toggleDraining(document, i)
			if i == 0 {
				if err := store.Offer(next); err != nil {
					b.Fatal(err)
				}
			} else if err := store.OfferDelta(diffCanonical(document, next, store.digest, nextDigest(b, store, next))); err != nil {
				b.Fatal(err)
			}
			document = next
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "heap-bytes")
		runtime.KeepAlive(store)
	}
}

// nextDigest returns the digest of the next document without changing the store.
func nextDigest(b *testing.B, store *Store, next Document) Digest {
	b.Helper()
	delta := diffCanonical(store.configuration.document, next, "", "")
	head, _, err := splitCanonical(next, delta.changedNames(), store.currentShards(shardCount(next)))
	if err != nil {
		b.Fatal(err)
	}
	return head.Digest()
}
