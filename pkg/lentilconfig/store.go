package lentilconfig

import (
	"errors"
	"fmt"

	"lentilstair.example/lentilstair/pkg/lentilerror"
)

// Errors of a Store and of the parts from which a document is put together.
var (
	// ErrOlder says that what was offered is older than what is held.
	ErrOlder = errors.New("older than the configuration in force")
	// ErrBaseMismatch says that a delta starts at another document than the one held. Ask
	// for a delta from the version held, or for the head and its shards.
	ErrBaseMismatch = errors.New("delta starts at another configuration")
	// ErrFork says that what was offered has another history than what is held, as
	// when the platform came back with older data and a note was accepted on it.
	ErrFork = errors.New("configuration of another history")
	// ErrDigestMismatch says that a body or an outcome isn't what its digest says.
	ErrDigestMismatch = errors.New("digest does not match")
	// ErrIncomplete says that shards are missing.
	ErrIncomplete = errors.New("configuration is incomplete")
)

// Counts says how often offers were taken or refused.
type Counts struct {
	Applied      uint64 // moved to a newer configuration
	Unchanged    uint64 // already held
	Older        uint64 // refused with ErrOlder
	Forked       uint64 // refused with ErrFork
	BaseMismatch uint64 // refused with ErrGap
	Invalid      uint64 // refused for faults or a wrong digest
}

// maxHistoryDeltas bounds how many deltas a store keeps for peers that lag.
const maxHistoryDeltas = MaxRecentNotes

// maxHistoryEntries bounds the entries within those deltas.
const maxHistoryEntries = 20_000

// Store holds the configuration in force. It moves forward only, and to a
// configuration as a whole or not at all. The zero Store holds version 0. One
// goroutine uses a Store; the configurations that it returns may be shared.
type Store struct {
	configuration Configuration
	head          HeadDoc
	digest        Digest
	shards        map[Digest][]byte
	history       []DeltaDoc
	counts        Counts
}

// Configuration returns what is in force.
func (s *Store) Configuration() Configuration { return s.configuration }

// Version returns the version in force.
func (s *Store) Version() uint64 { return s.configuration.Version() }

// Digest returns the digest of the configuration in force, or "" at version 0.
func (s *Store) Digest() Digest { return s.digest }

// Head returns the head of the configuration in force, for a peer that pulls.
func (s *Store) Head() HeadDoc { return s.head }

// Shard returns the body of a shard of the configuration in force.
func (s *Store) Shard(name Digest) (body []byte, found bool) {
	body, found = s.shards[name]
	return body, found
}

// Counts returns how often offers were taken or refused.
func (s *Store) Counts() Counts { return s.counts }

// Delta returns one delta from the version that a peer holds to the version in
// force, if the store still knows the steps between them.
func (s *Store) Delta(from uint64, digest Digest) (delta DeltaDoc, found bool) {
	for i, step := range s.history {
		if step.FromVersion != from || step.FromDigest != digest {
			continue
		}
		delta = step
		for _, next := range s.history[i+1:] {
			delta = joinDeltas(delta, next)
		}
		return delta, true
	}
	return DeltaDoc{}, false
}

// NewAssembly returns an assembly for the head in which the shards already held are
// in place, so that only the changed ones have to be fetched.
func (s *Store) NewAssembly(head HeadDoc) (assembly *Assembly, err error) {
	assembly = NewAssembly(head)
	wanted := make(map[Digest]bool)
	for _, name := range assembly.Missing() {
		_, wanted[name] = s.shards[name]
	}
	kept := make([]bool, len(s.head.Shards))
	for i, name := range s.head.Shards {
		kept[i] = wanted[name]
	}
	// The entries held are what the shards say, so nothing has to be read again.
	for i, part := range partition(s.configuration.document, kept) {
		if kept[i] {
			assembly.shards[s.head.Shards[i]] = part
		}
	}
	return assembly, nil
}

// Offer puts a whole document into force if it is newer than what is held.
// Offering what is held already does nothing. Otherwise the error is ErrOlder,
// ErrFork or a *FaultError, and the store stays as it was.
func (s *Store) Offer(document Document) (err error) {
	defer func() { s.countRejection(err) }()
	if document.Version < s.Version() {
		return fmt.Errorf("%w: version %d is offered, %d is held", ErrOlder, document.Version, s.Version())
	}
	document = document.Canonical()
	change := diffCanonical(s.configuration.document, document, s.digest, "")
	head, shards, err := splitCanonical(document, change.changedNames(), s.currentShards(shardCount(document)))
	if err != nil {
		return err
	}
	change.ToDigest = head.Digest()
	return s.activate(document, head, shards, change)
}

// OfferDelta puts the outcome of a delta into force. Besides the errors of Offer
// there are ErrGap, if the delta starts elsewhere, and ErrDigest, if it doesn't
// lead where it says.
func (s *Store) OfferDelta(delta DeltaDoc) (err error) {
	defer func() { s.countRejection(err) }()
	if delta.ToVersion < s.Version() {
		return fmt.Errorf("%w: version %d is offered, %d is held", ErrOlder, delta.ToVersion, s.Version())
	}
	if delta.ToVersion == s.Version() {
		return s.checkSameVersion(delta.ToDigest)
	}
	if delta.FromVersion != s.Version() {
		return fmt.Errorf("%w: it starts at version %d, %d is held", ErrBaseMismatch, delta.FromVersion, s.Version())
	}
	if delta.FromDigest != s.digest {
		return fmt.Errorf("%w: version %d is %s here, not %s", ErrFork, s.Version(), s.digest, delta.FromDigest)
	}
	document := s.configuration.document.applyUnchecked(delta)
	head, shards, err := splitCanonical(document, delta.changedNames(), s.currentShards(shardCount(document)))
	if err != nil {
		return err
	}
	if digest := head.Digest(); digest != delta.ToDigest {
		return fmt.Errorf("%w: the delta leads to %s, not to %s", ErrDigestMismatch, digest, delta.ToDigest)
	}
	return s.activate(document, head, shards, s.configuration.normalizeDelta(document, delta))
}

func (s *Store) checkSameVersion(digest Digest) error {
	if digest != s.digest {
		return fmt.Errorf("%w: version %d is %s here, not %s", ErrFork, s.Version(), s.digest, digest)
	}
	s.counts.Unchanged++
	return nil
}

// currentShards returns what gives the shards in force, if they are as many as wanted.
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

// activate puts a canonical document of the version held or a newer one into force.
// The change is what turns the document held into it.
func (s *Store) activate(document Document, head HeadDoc, shards []Shard, change DeltaDoc) (err error) {
	if document.Version == s.Version() {
		return s.checkSameVersion(change.ToDigest)
	}
	if err = s.checkHistory(document.RecentNotes, change.PutServices); err != nil {
		return err
	}
	configuration, ok := s.configuration.buildIncrementally(document, change)
	if !ok {
		configuration, err = New(document)
	}
	if err != nil {
		lentilerror.Annotate(&err, "check version %d", document.Version)
		return err
	}
	s.appendHistory(change)
	s.configuration = configuration
	s.head = head
	s.digest = change.ToDigest
	s.shards = make(map[Digest][]byte, len(shards))
	for _, shard := range shards {
		s.shards[shard.name] = shard.body
	}
	s.counts.Applied++
	return nil
}

// checkHistory reports ErrFork if a document with the marks and the changed services
// doesn't come from what is held. Its recent marks tell, as far as they reach
// back; beyond them the version decides. A service number that moved to another
// name is a fork however old.
func (s *Store) checkHistory(recent []AcceptedNoteDoc, changed []ServiceDoc) error {
	held := s.lastNote()
	for _, mark := range recent {
		if mark.Version == held.Version && mark != held && held.NoteID != "" {
			return fmt.Errorf("%w: version %d was made by note %q here, by %q there", ErrFork, held.Version, held.NoteID, mark.NoteID)
		}
	}
	for _, doc := range changed {
		old := s.configuration.services[doc.Number]
		if old != nil && old.Name() != doc.Name {
			return fmt.Errorf("%w: number %d is of service %q here, of %q there", ErrFork, doc.Number, old.Name(), doc.Name)
		}
	}
	return nil
}

// lastNote returns the lastNote of the version held, or the zero lastNote.
func (s *Store) lastNote() AcceptedNoteDoc {
	recent := s.configuration.document.RecentNotes
	if len(recent) == 0 {
		return AcceptedNoteDoc{}
	}
	return recent[len(recent)-1]
}

// appendHistory keeps the step to the new configuration for peers that lag.
func (s *Store) appendHistory(step DeltaDoc) {
	if s.digest == "" {
		return
	}
	s.history = append(s.history, step)
	entries := 0
	for i := len(s.history) - 1; i >= 0; i-- {
		entries += s.history[i].entryCount()
		if len(s.history)-i > maxHistoryDeltas || entries > maxHistoryEntries {
			s.history = append([]DeltaDoc(nil), s.history[i+1:]...)
			return
		}
	}
}

// entryCount counts what a delta holds.
func (d DeltaDoc) entryCount() int {
	return len(d.PutServices) + len(d.DropServices) +
		len(d.PutCopies) + len(d.DropCopies) +
		len(d.PutDomains) + len(d.DropDomains) + len(d.RecentNotes)
}

// changedNames names the services and copies that a delta changes.
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

// countRejection records the outcome of an offer that was refused.
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
