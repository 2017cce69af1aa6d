package lentilconfig

import (
	"errors"
	"fmt"

	"lentilstair.example/lentilstair/pkg/lentilerror"
)

// Errors of a Store, an Assembly, and the functions that decode and apply documents.
var (
	// ErrOlder means that the offered version is lower than the version in force.
	ErrOlder = errors.New("older than the configuration in force")
	// ErrBaseMismatch means that a delta is based on another document than the current
	// one. The caller needs a delta from the current version, or the head and shards.
	ErrBaseMismatch = errors.New("delta is based on another configuration")
	// ErrFork means that the offered configuration doesn't share the history of the one
	// in force. This happens when the platform is restored with older data and a note is
	// accepted on top of that data.
	ErrFork = errors.New("configuration has a different history")
	// ErrDigestMismatch means that a body or a resulting document doesn't have the
	// expected digest.
	ErrDigestMismatch = errors.New("digest does not match")
	// ErrIncomplete means that shards are missing.
	ErrIncomplete = errors.New("configuration is incomplete")
)

// Counts counts offers to a Store by result.
type Counts struct {
	Applied      uint64 // a newer configuration came into force
	Unchanged    uint64 // already in force
	Older        uint64 // rejected with ErrOlder
	Forked       uint64 // rejected with ErrFork
	BaseMismatch uint64 // rejected with ErrBaseMismatch
	Invalid      uint64 // rejected as invalid or for a wrong digest
}

// maxHistoryDeltas is the maximum number of deltas that a store keeps for lagging peers.
const maxHistoryDeltas = MaxRecentNotes

// maxHistoryEntries is the maximum total number of entries in those deltas.
const maxHistoryEntries = 20_000

// Store holds the configuration in force. It moves only to newer versions, and applies
// an offered configuration completely or not at all. The zero Store holds version 0.
//
// A Store must be used by one goroutine only. The configurations that it returns may be
// shared.
type Store struct {
	configuration Configuration
	head          HeadDoc
	digest        Digest
	shards        map[Digest][]byte
	history       []DeltaDoc
	counts        Counts
}

// Configuration returns the configuration in force.
func (s *Store) Configuration() Configuration { return s.configuration }

// Version returns the version in force.
func (s *Store) Version() uint64 { return s.configuration.Version() }

// Digest returns the digest of the configuration in force, or "" at version 0.
func (s *Store) Digest() Digest { return s.digest }

// Head returns the head of the configuration in force, for peers that fetch it.
func (s *Store) Head() HeadDoc { return s.head }

// Shard returns the body of a shard of the configuration in force.
func (s *Store) Shard(name Digest) (body []byte, found bool) {
	body, found = s.shards[name]
	return body, found
}

// Counts returns the number of offers by result.
func (s *Store) Counts() Counts { return s.counts }

// Delta returns one delta from a peer's version and digest to the version in force. It
// reports false if the store no longer has all deltas between the two versions.
func (s *Store) Delta(fromVersion uint64, fromDigest Digest) (delta DeltaDoc, found bool) {
	for i, first := range s.history {
		if first.FromVersion != fromVersion || first.FromDigest != fromDigest {
			continue
		}
		delta = first
		for _, next := range s.history[i+1:] {
			delta = joinDeltas(delta, next)
		}
		return delta, true
	}
	return DeltaDoc{}, false
}

// NewAssembly returns an assembly for the head that already contains the shards that
// are also in force, so that only changed shards have to be fetched.
func (s *Store) NewAssembly(head HeadDoc) (assembly *Assembly, err error) {
	assembly = NewAssembly(head)
	available := make(map[Digest]bool)
	for _, name := range assembly.Missing() {
		_, available[name] = s.shards[name]
	}
	reused := make([]bool, len(s.head.Shards))
	for i, name := range s.head.Shards {
		reused[i] = available[name]
	}
	// The document in force has the same entries, so the shards needn't be decoded again.
	for i, part := range partition(s.configuration.document, reused) {
		if reused[i] {
			assembly.shards[s.head.Shards[i]] = part
		}
	}
	return assembly, nil
}

// Offer puts a full document into force if it is newer than the current one. Offering
// the current document again only counts it as unchanged. Otherwise Offer fails with
// ErrOlder, ErrFork or a *ValidationError, and the store stays as it was.
func (s *Store) Offer(document Document) (err error) {
	defer func() { s.countRejection(err) }()
	if document.Version < s.Version() {
		return fmt.Errorf("%w: offered version %d, version %d is in force", ErrOlder, document.Version, s.Version())
	}
	document = document.Canonical()
	delta := diffCanonical(s.configuration.document, document, s.digest, "")
	head, shards, err := splitCanonical(document, delta.changedNames(), s.currentShards(shardCount(document)))
	if err != nil {
		return err
	}
	delta.ToDigest = head.Digest()
	return s.activate(document, head, shards, delta)
}

// OfferDelta applies a delta and puts the resulting document into force. Besides the
// errors of Offer, it fails with ErrBaseMismatch if the delta is based on another
// version, and with ErrDigestMismatch if the result doesn't have the delta's ToDigest.
func (s *Store) OfferDelta(delta DeltaDoc) (err error) {
	defer func() { s.countRejection(err) }()
	if delta.ToVersion < s.Version() {
		return fmt.Errorf("%w: offered version %d, version %d is in force", ErrOlder, delta.ToVersion, s.Version())
	}
	if delta.ToVersion == s.Version() {
		return s.checkSameVersion(delta.ToDigest)
	}
	if delta.FromVersion != s.Version() {
		return fmt.Errorf("%w: it is based on version %d, version %d is in force", ErrBaseMismatch, delta.FromVersion, s.Version())
	}
	if delta.FromDigest != s.digest {
		return fmt.Errorf("%w: version %d has digest %s here, the delta is based on digest %s", ErrFork, s.Version(), s.digest, delta.FromDigest)
	}
	document := s.configuration.document.applyUnchecked(delta)
	head, shards, err := splitCanonical(document, delta.changedNames(), s.currentShards(shardCount(document)))
	if err != nil {
		return err
	}
	if digest := head.Digest(); digest != delta.ToDigest {
		return fmt.Errorf("%w: the resulting document has digest %s, the delta requires %s", ErrDigestMismatch, digest, delta.ToDigest)
	}
	return s.activate(document, head, shards, s.configuration.normalizeDelta(document, delta))
}

// checkSameVersion accepts an offer of the version in force as unchanged if it has the
// same digest, and returns ErrFork otherwise.
func (s *Store) checkSameVersion(digest Digest) error {
	if digest != s.digest {
		return fmt.Errorf("%w: version %d has digest %s here, the offered one has %s", ErrFork, s.Version(), s.digest, digest)
	}
	s.counts.Unchanged++
	return nil
}

// currentShards returns a function that returns a shard in force by its index. The
// function finds no shards if their number isn't count, since entries are then
// distributed differently.
func (s *Store) currentShards(count int) func(index int) (Shard, bool) {
	return func(index int) (shard Shard, found bool) {
		if len(s.head.Shards) != count {
			return Shard{}, false
		}
		name := s.head.Shards[index]
		body, found := s.shards[name]
		return Shard{name: name, body: body}, found
	}
}

// activate puts a canonical document into force. Its version must not be lower than
// the current one. The delta is the difference from the current document.
func (s *Store) activate(document Document, head HeadDoc, shards []Shard, delta DeltaDoc) (err error) {
	if document.Version == s.Version() {
		return s.checkSameVersion(delta.ToDigest)
	}
	if err = s.checkHistory(document.RecentNotes, delta.PutServices); err != nil {
		return err
	}
	configuration, ok := s.configuration.buildIncrementally(document, delta)
	if !ok {
		configuration, err = New(document)
	}
	if err != nil {
		lentilerror.Annotate(&err, "check version %d", document.Version)
		return err
	}
	s.appendHistory(delta)
	s.configuration = configuration
	s.head = head
	s.digest = delta.ToDigest
	s.shards = make(map[Digest][]byte, len(shards))
	for _, shard := range shards {
		s.shards[shard.name] = shard.body
	}
	s.counts.Applied++
	return nil
}

// checkHistory returns ErrFork if an offered document doesn't descend from the one in
// force. The offered recent notes show this if they reach back to the current version.
// If they don't, any higher version is accepted. A service number that now belongs to
// another name is always a fork.
func (s *Store) checkHistory(recent []AcceptedNoteDoc, changed []ServiceDoc) error {
	last := s.lastNote()
	for _, note := range recent {
		if note.Version == last.Version && note != last && last.NoteID != "" {
			return fmt.Errorf("%w: version %d was made by note %q here, by note %q in the offered one", ErrFork, last.Version, last.NoteID, note.NoteID)
		}
	}
	for _, doc := range changed {
		current := s.configuration.services[doc.Number]
		if current != nil && current.Name() != doc.Name {
			return fmt.Errorf("%w: number %d belongs to service %q here, to %q in the offered one", ErrFork, doc.Number, current.Name(), doc.Name)
		}
	}
	return nil
}

// lastNote returns the last accepted note, or the zero value if there is none.
func (s *Store) lastNote() AcceptedNoteDoc {
	recent := s.configuration.document.RecentNotes
	if len(recent) == 0 {
		return AcceptedNoteDoc{}
	}
	return recent[len(recent)-1]
}

// appendHistory stores the delta to the new configuration for lagging peers. It removes
// the oldest deltas beyond maxHistoryDeltas and maxHistoryEntries.
func (s *Store) appendHistory(delta DeltaDoc) {
	if s.digest == "" {
		return
	}
	s.history = append(s.history, delta)
	entries := 0
	for i := len(s.history) - 1; i >= 0; i-- {
		entries += s.history[i].entryCount()
		if len(s.history)-i > maxHistoryDeltas || entries > maxHistoryEntries {
			s.history = append([]DeltaDoc(nil), s.history[i+1:]...)
			return
		}
	}
}

// entryCount returns the number of entries in all lists of the delta.
func (d DeltaDoc) entryCount() int {
	return len(d.PutServices) + len(d.DropServices) +
		len(d.PutCopies) + len(d.DropCopies) +
		len(d.PutDomains) + len(d.DropDomains) + len(d.RecentNotes)
}

// changedNames returns the names of the services and copies that the delta changes.
func (d DeltaDoc) changedNames() (names []string) {
	for _, doc := range d.PutServices {
		names = append(names, doc.Name)
	}
	for _, doc := range d.PutCopies {
		names = append(names, doc.Name)
	}
	names = append(names, d.DropServices...)
	return append(names, d.DropCopies...)
}

// countRejection counts a rejected offer by its error. It does nothing if err is nil.
func (s *Store) countRejection(err error) {
	switch {
	case err == nil:
	case errors.Is(err, ErrOlder):
		s.counts.Older++
	case errors.Is(err, ErrFork):
		s.counts.Forked++
	case errors.Is(err, ErrBaseMismatch):
		s.counts.BaseMismatch++
	default:
		s.counts.Invalid++
	}
}
