package lentilconfig

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func mustDelta(from, to Document) DeltaDoc {
	delta, err := NewDelta(from, to)
	if err != nil {
		panic(err)
	}
	return delta
}

// TestStoreOffers makes one offer to a store at version 4. It checks the error, the
// version in force afterwards and the counts.
func TestStoreOffers(t *testing.T) {
	documents := versionHistory(6) // versions 2 to 7
	fork := toggleDraining(documents[2], 8)
	invalid := toggleDraining(documents[2], 1)
	invalid.Copies[0].Domain = "nowhere"
	reassigned := toggleDraining(documents[2], 1)
	reassigned.Services[0].Name = "another"
	reassigned.Copies = nil
	wrongEntry := mustDelta(documents[2], documents[3])
	wrongEntry.PutCopies[0].Draining = !wrongEntry.PutCopies[0].Draining
	tests := []struct {
		name    string
		offer   func(s *Store) error
		want    error
		version uint64
		counts  Counts
	}{
		{"newer document", func(s *Store) error { return s.Offer(documents[3]) }, nil, 5, Counts{Applied: 2}},
		{"newest document, versions skipped", func(s *Store) error { return s.Offer(documents[5]) }, nil, 7, Counts{Applied: 2}},
		{"duplicate document", func(s *Store) error { return s.Offer(documents[2]) }, nil, 4, Counts{Applied: 1, Unchanged: 1}},
		{"older document", func(s *Store) error { return s.Offer(documents[1]) }, ErrOlder, 4, Counts{Applied: 1, Older: 1}},
		{"next delta", func(s *Store) error { return s.OfferDelta(mustDelta(documents[2], documents[3])) }, nil, 5, Counts{Applied: 2}},
		{"delta over several versions", func(s *Store) error { return s.OfferDelta(mustDelta(documents[2], documents[5])) }, nil, 7, Counts{Applied: 2}},
		{"duplicate delta", func(s *Store) error { return s.OfferDelta(mustDelta(documents[1], documents[2])) }, nil, 4, Counts{Applied: 1, Unchanged: 1}},
		{"older delta", func(s *Store) error { return s.OfferDelta(mustDelta(documents[0], documents[1])) }, ErrOlder, 4, Counts{Applied: 1, Older: 1}},
		{"delta based on a newer version", func(s *Store) error { return s.OfferDelta(mustDelta(documents[3], documents[4])) }, ErrBaseMismatch, 4, Counts{Applied: 1, BaseMismatch: 1}},
		{"delta with a wrong entry", func(s *Store) error { return s.OfferDelta(wrongEntry) }, ErrDigestMismatch, 4, Counts{Applied: 1, Invalid: 1}},
		{"delta from a fork", func(s *Store) error {
			return s.OfferDelta(mustDelta(toggleDraining(documents[1], 7), fork))
		}, ErrFork, 4, Counts{Applied: 1, Forked: 1}},
		{"same version of a fork", func(s *Store) error { return s.Offer(toggleDraining(documents[1], 7)) }, ErrFork, 4, Counts{Applied: 1, Forked: 1}},
		{"newer version of a fork", func(s *Store) error {
			return s.Offer(toggleDraining(toggleDraining(documents[1], 7), 8))
		}, ErrFork, 4, Counts{Applied: 1, Forked: 1}},
		{"number reassigned to another service", func(s *Store) error { return s.Offer(reassigned) }, ErrFork, 4, Counts{Applied: 1, Forked: 1}},
		{"invalid document", func(s *Store) error { return s.Offer(invalid) }, &ValidationError{}, 4, Counts{Applied: 1, Invalid: 1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var store Store
			if err := store.Offer(documents[2]); err != nil {
				t.Fatal(err)
			}
			err := test.offer(&store)
			var validationError *ValidationError
			if errors.As(test.want, &validationError) {
				if !errors.As(err, &validationError) {
					t.Errorf("error is %v, want a ValidationError", err)
				}
			} else if !errors.Is(err, test.want) {
				t.Errorf("error is %v, want %v", err, test.want)
			}
			if store.Version() != test.version || store.Configuration().Version() != test.version {
				t.Errorf("version %d is in force, want %d", store.Version(), test.version)
			}
			if diff := cmp.Diff(test.counts, store.Counts()); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestStoreNeverReverts offers the versions of a history to a store in random order, with
// gaps and duplicates, as documents and deltas. The store must never return to an older
// version. The digest of the version in force must be that of the original, and the
// version must be at least as high as that of every offered document.
func TestStoreNeverReverts(t *testing.T) {
	documents := versionHistory(12)
	digests := make(map[uint64]Digest)
	for _, document := range documents {
		head, _, err := Split(document)
		if err != nil {
			t.Fatal(err)
		}
		digests[document.Version] = head.Digest()
	}
	rapid.Check(t, func(t *rapid.T) {
		var store Store
		newest := uint64(0)
		for range rapid.IntRange(1, 30).Draw(t, "offers") {
			to := rapid.IntRange(0, len(documents)-1).Draw(t, "to")
			before := store.Version()
			if rapid.Bool().Draw(t, "whole") {
				newest = max(newest, documents[to].Version)
				_ = store.Offer(documents[to])
			} else {
				from := rapid.IntRange(0, to).Draw(t, "from")
				_ = store.OfferDelta(mustDelta(documents[from], documents[to]))
			}
			if store.Version() < before || store.Version() < newest {
				t.Fatalf("version %d is in force, after version %d and an offer of document version %d", store.Version(), before, newest)
			}
			if store.Digest() != digests[store.Version()] {
				t.Fatalf("version %d has another digest than the original", store.Version())
			}
		}
	})
}

// TestPeerCatchesUpWithOneDelta updates a lagging store by several versions with one
// encoded delta.
func TestPeerCatchesUpWithOneDelta(t *testing.T) {
	documents := versionHistory(9)
	var ahead, behind Store
	for _, document := range documents {
		if err := ahead.Offer(document); err != nil {
			t.Fatal(err)
		}
	}
	if err := behind.Offer(documents[3]); err != nil {
		t.Fatal(err)
	}
	delta, found := ahead.Delta(behind.Version(), behind.Digest())
	if !found {
		t.Fatal("no delta")
	}
	body, err := cbor.Marshal(delta)
	if err != nil {
		t.Fatal(err)
	}
	var received DeltaDoc
	if err = cbor.Unmarshal(body, &received); err != nil {
		t.Fatal(err)
	}
	if err = behind.OfferDelta(received); err != nil {
		t.Fatal(err)
	}
	if behind.Digest() != ahead.Digest() {
		t.Errorf("digest %s, want %s", behind.Digest(), ahead.Digest())
	}
}

// TestAssemblyFetchesOnlyChangedShards checks that an assembly for the next version lacks
// only the shard that changed, and rejects bodies with a wrong digest.
func TestAssemblyFetchesOnlyChangedShards(t *testing.T) {
	document := sampleDocument(100, 3000)
	var store Store
	if err := store.Offer(document); err != nil {
		t.Fatal(err)
	}
	next := toggleDraining(document, 17)
	head, shards, err := Split(next)
	if err != nil {
		t.Fatal(err)
	}
	assembly, err := store.NewAssembly(head)
	if err != nil {
		t.Fatal(err)
	}
	if missing := assembly.Missing(); len(missing) != 1 || len(shards) < 4 {
		t.Fatalf("%d of %d shards are missing, want 1", len(missing), len(shards))
	}
	if _, err = assembly.Document(); !errors.Is(err, ErrIncomplete) {
		t.Errorf("error is %v, want %v", err, ErrIncomplete)
	}
	for _, shard := range shards {
		if err = assembly.Add(shard.Name(), append([]byte(" "), shard.Body()...)); !errors.Is(err, ErrDigestMismatch) {
			t.Errorf("error is %v, want %v", err, ErrDigestMismatch)
		}
		if err = assembly.Add(shard.Name(), shard.Body()); err != nil {
			t.Fatal(err)
		}
	}
	got, err := assembly.Document()
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(next, got, cmp.Comparer(sameString)); diff != "" {
		t.Error(diff)
	}
}

// sameString compares addresses, which have unexported fields, by their text.
func sameString(a, b fmt.Stringer) bool { return a.String() == b.String() }

// TestJoinedDeltaMatchesEdits applies the joined delta of several random edits to the first
// document. The result must equal the last document.
func TestJoinedDeltaMatchesEdits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var store Store
		document := sampleDocument(60, 600)
		first := document
		if err := store.Offer(document); err != nil {
			t.Fatal(err)
		}
		for range rapid.IntRange(1, 8).Draw(t, "steps") {
			document = editRandomEntry(t, document)
			if err := store.OfferDelta(mustDelta(currentDocument(&store), document)); err != nil {
				t.Fatal(err)
			}
		}
		head, _, err := Split(first)
		if err != nil {
			t.Fatal(err)
		}
		joined, found := store.Delta(first.Version, head.Digest())
		if !found {
			t.Fatal("no delta")
		}
		got, err := first.Apply(joined)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(document, got, cmp.Comparer(sameString)); diff != "" {
			t.Fatal(diff)
		}
	})
}

func currentDocument(store *Store) Document { return store.Configuration().Document() }

// editRandomEntry returns the next version with one service changed, or with one copy
// added, replaced or removed.
func editRandomEntry(t *rapid.T, document Document) Document {
	next := document.Canonical().NextVersion(AcceptedNoteDoc{NoteID: "edit", Digest: "0"})
	if rapid.Bool().Draw(t, "service") {
		next.Services[rapid.IntRange(0, 5).Draw(t, "index")].Slots++
		return next
	}
	name := fmt.Sprintf("service-00000-%d", rapid.IntRange(1, 5).Draw(t, "copy"))
	kept := next.Copies[:0]
	found := false
	for _, doc := range next.Copies {
		if doc.Name == name {
			found = true
			continue
		}
		kept = append(kept, doc)
	}
	next.Copies = kept
	if !found || rapid.Bool().Draw(t, "keep") {
		next.Copies = append(next.Copies, CopyDoc{
			Name: name, Service: "service-00000", Domain: "domain-01", Draining: rapid.Bool().Draw(t, "draining"),
		})
	}
	return next.Canonical()
}

func FuzzShard(f *testing.F) {
	_, shards, err := Split(sampleDocument(2, 4))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(shards[0].Body())
	f.Add([]byte(`{"services":[{"name":"a","address":"x"}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		name := DigestOf(body)
		assembly := NewAssembly(HeadDoc{Version: 1, Shards: []Digest{name}})
		if assembly.Add(name, body) != nil {
			return
		}
		document, err := assembly.Document()
		if err != nil {
			t.Fatal(err)
		}
		var store Store
		if store.Offer(document) == nil && store.Version() != 1 {
			t.Error("the store accepted the offer, but the version is not in force")
		}
	})
}

func FuzzHead(f *testing.F) {
	head, _, err := Split(sampleDocument(2, 4))
	if err != nil {
		f.Fatal(err)
	}
	body, err := json.Marshal(head)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(body)
	f.Fuzz(func(t *testing.T, body []byte) {
		head, err := ParseHead(body)
		if err != nil {
			return
		}
		encoded, err := json.Marshal(head)
		if err != nil {
			t.Fatal(err)
		}
		if second, err := ParseHead(encoded); err != nil || second.Digest() != head.Digest() {
			t.Errorf("the head changed when it was encoded and parsed again: %v", err)
		}
	})
}
