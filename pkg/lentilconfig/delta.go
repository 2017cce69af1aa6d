package lentilconfig

import (
	"fmt"
	"slices"
	"strings"

	"lentilstair.example/lentilstair/pkg/lentilerror"

	"lentilstair.example/lentilstair/pkg/lentilid"
)

// DeltaDoc is the serialized difference between two documents. It applies only to the
// document with the digest FromDigest, and only if the resulting document has the
// digest ToDigest, so that a wrong delta never comes into force.
type DeltaDoc struct {
	FromVersion uint64 `cbor:"1,keyasint"`
	FromDigest  Digest `cbor:"2,keyasint"`
	ToVersion   uint64 `cbor:"3,keyasint"`
	ToDigest    Digest `cbor:"4,keyasint"`

	NoteID      string           `cbor:"5,keyasint,omitempty"`
	NextService lentilid.Service `cbor:"6,keyasint"`
	NextDomain  lentilid.Domain  `cbor:"7,keyasint"`
	// RecentNotes lists the notes that made the versions after FromVersion.
	RecentNotes []AcceptedNoteDoc `cbor:"8,keyasint,omitempty"`

	PutServices  []ServiceDoc `cbor:"9,keyasint,omitempty"`
	DropServices []string     `cbor:"10,keyasint,omitempty"`
	PutCopies    []CopyDoc    `cbor:"11,keyasint,omitempty"`
	DropCopies   []string     `cbor:"12,keyasint,omitempty"`
	PutDomains   []DomainDoc  `cbor:"13,keyasint,omitempty"`
	DropDomains  []string     `cbor:"14,keyasint,omitempty"`
}

// NewDelta returns the delta that turns one document into the other.
func NewDelta(from, to Document) (delta DeltaDoc, err error) {
	defer lentilerror.Annotate(&err, "compute delta")
	fromHead, _, err := Split(from)
	if err != nil {
		return DeltaDoc{}, err
	}
	toHead, _, err := Split(to)
	if err != nil {
		return DeltaDoc{}, err
	}
	return diffCanonical(from.Canonical(), to.Canonical(), fromHead.Digest(), toHead.Digest()), nil
}

// diffCanonical returns the delta between two canonical documents with the given digests.
func diffCanonical(from, to Document, fromDigest, toDigest Digest) DeltaDoc {
	delta := DeltaDoc{
		FromVersion: from.Version,
		FromDigest:  fromDigest,
		ToVersion:   to.Version,
		ToDigest:    toDigest,
		NoteID:      to.NoteID,
		NextService: to.NextService,
		NextDomain:  to.NextDomain,
	}
	delta.RecentNotes = notesAfter(to.RecentNotes, from.Version)
	delta.PutServices, delta.DropServices = diffEntries(from.Services, to.Services, ServiceDoc.key, ServiceDoc.Equal)
	delta.PutCopies, delta.DropCopies = diffEntries(from.Copies, to.Copies, CopyDoc.key, equal[CopyDoc])
	delta.PutDomains, delta.DropDomains = diffEntries(from.Domains, to.Domains, DomainDoc.key, equal[DomainDoc])
	return delta
}

// notesAfter returns the notes that made the versions after the given one.
func notesAfter(notes []AcceptedNoteDoc, version uint64) (later []AcceptedNoteDoc) {
	for _, note := range notes {
		if note.Version > version {
			later = append(later, note)
		}
	}
	return later
}

// Apply returns the document with the delta applied. It fails with ErrBaseMismatch if
// the delta is based on another document, and with ErrDigestMismatch if the result
// doesn't have the delta's ToDigest.
func (d Document) Apply(delta DeltaDoc) (document Document, err error) {
	defer lentilerror.Annotate(&err, "apply delta from version %d to %d", delta.FromVersion, delta.ToVersion)
	head, _, err := Split(d)
	if err != nil {
		return Document{}, err
	}
	if digest := head.Digest(); digest != delta.FromDigest {
		return Document{}, fmt.Errorf("%w: the delta is based on digest %s, the document has %s", ErrBaseMismatch, delta.FromDigest, digest)
	}
	document = d.Canonical().applyUnchecked(delta)
	head, _, err = Split(document)
	if err != nil {
		return Document{}, err
	}
	if digest := head.Digest(); digest != delta.ToDigest {
		return Document{}, fmt.Errorf("%w: the resulting document has digest %s, the delta requires %s", ErrDigestMismatch, digest, delta.ToDigest)
	}
	return document, nil
}

// applyUnchecked applies the delta to a canonical document. It compares no digests and
// doesn't validate the result.
func (d Document) applyUnchecked(delta DeltaDoc) Document {
	d.Version = delta.ToVersion
	d.NoteID = delta.NoteID
	d.NextService = delta.NextService
	d.NextDomain = delta.NextDomain
	d.RecentNotes = appendRecent(d.RecentNotes, delta.RecentNotes...)
	d.Services = mergeEntries(d.Services, delta.PutServices, delta.DropServices, ServiceDoc.key)
	d.Copies = mergeEntries(d.Copies, delta.PutCopies, delta.DropCopies, CopyDoc.key)
	d.Domains = mergeEntries(d.Domains, delta.PutDomains, delta.DropDomains, DomainDoc.key)
	return d
}

// appendRecent appends more notes and keeps the last MaxRecentNotes.
func appendRecent(recent []AcceptedNoteDoc, more ...AcceptedNoteDoc) []AcceptedNoteDoc {
	all := slices.Concat(recent, more)
	return all[max(0, len(all)-MaxRecentNotes):]
}

// NextVersion returns the document with the next version number, which the note made.
// It sets the note's version.
func (d Document) NextVersion(note AcceptedNoteDoc) Document {
	d.Version++
	note.Version = d.Version
	d.NoteID = note.NoteID
	d.RecentNotes = appendRecent(d.RecentNotes, note)
	return d
}

// joinDeltas returns one delta that has the effect of applying first and then next.
func joinDeltas(first, next DeltaDoc) DeltaDoc {
	joined := next
	joined.FromVersion = first.FromVersion
	joined.FromDigest = first.FromDigest
	joined.RecentNotes = slices.Concat(first.RecentNotes, next.RecentNotes)
	joined.PutServices, joined.DropServices = joinEntries(first.PutServices, first.DropServices, next.PutServices, next.DropServices, ServiceDoc.key)
	joined.PutCopies, joined.DropCopies = joinEntries(first.PutCopies, first.DropCopies, next.PutCopies, next.DropCopies, CopyDoc.key)
	joined.PutDomains, joined.DropDomains = joinEntries(first.PutDomains, first.DropDomains, next.PutDomains, next.DropDomains, DomainDoc.key)
	return joined
}

// joinEntries joins the changes of two deltas to one list. The later change of an
// entry replaces the earlier one.
func joinEntries[T any](firstPut []T, firstDrop []string, nextPut []T, nextDrop []string, key func(T) string) (put []T, drop []string) {
	put = mergeEntries(firstPut, nextPut, nextDrop, key)
	restored := make(map[string]bool, len(nextPut))
	for _, entry := range nextPut {
		restored[key(entry)] = true
	}
	for _, name := range firstDrop {
		if !restored[name] {
			drop = append(drop, name)
		}
	}
	drop = append(drop, nextDrop...)
	slices.Sort(drop)
	return put, slices.Compact(drop)
}

// diffEntries compares two lists that are sorted by key. It returns the entries to put
// and the keys to drop to turn the first list into the second.
func diffEntries[T any](from, to []T, key func(T) string, same func(a, b T) bool) (put []T, drop []string) {
	i := 0
	for _, entry := range to {
		for i < len(from) && key(from[i]) < key(entry) {
			drop = append(drop, key(from[i]))
			i++
		}
		if i == len(from) || key(from[i]) != key(entry) {
			put = append(put, entry)
			continue
		}
		if !same(from[i], entry) {
			put = append(put, entry)
		}
		i++
	}
	for _, entry := range from[i:] {
		drop = append(drop, key(entry))
	}
	return put, drop
}

// mergeEntries removes dropped entries from a list sorted by key, and inserts or
// replaces entries to put. It copies each run of entries between two changes at once.
func mergeEntries[T any](entries, put []T, drop []string, key func(T) string) (merged []T) {
	if len(put) == 0 && len(drop) == 0 {
		return entries
	}
	put = slices.Clone(put)
	slices.SortStableFunc(put, func(a, b T) int { return strings.Compare(key(a), key(b)) })
	changedNames := slices.Clone(drop)
	for _, entry := range put {
		changedNames = append(changedNames, key(entry))
	}
	slices.Sort(changedNames)
	merged = make([]T, 0, len(entries)+len(put))
	for _, name := range slices.Compact(changedNames) {
		position, _ := slices.BinarySearchFunc(entries, name, func(entry T, name string) int { return strings.Compare(key(entry), name) })
		merged = append(merged, entries[:position]...)
		entries = entries[position:]
		for len(entries) > 0 && key(entries[0]) == name {
			entries = entries[1:]
		}
		for len(put) > 0 && key(put[0]) == name {
			merged = append(merged, put[0])
			put = put[1:]
		}
	}
	return append(merged, entries...)
}

func equal[T comparable](a, b T) bool { return a == b }

func (d ServiceDoc) key() string { return d.Name }
func (d CopyDoc) key() string    { return d.Name }
func (d DomainDoc) key() string  { return d.Name }

// Equal reports whether all fields of both services are equal.
func (d ServiceDoc) Equal(other ServiceDoc) bool {
	return d.Name == other.Name &&
		d.Number == other.Number &&
		d.Address == other.Address &&
		d.Slots == other.Slots &&
		d.Connections == other.Connections &&
		slices.Equal(d.Rules, other.Rules)
}

// Diff returns the difference between two documents as a delta without digests. It is
// for display only and can't be applied.
func Diff(from, to Document) DeltaDoc {
	return diffCanonical(from.Canonical(), to.Canonical(), "", "")
}
