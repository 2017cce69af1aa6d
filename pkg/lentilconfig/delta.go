package lentilconfig

import (
	"fmt"
	"slices"
	"strings"

	"lentilstair.example/lentilstair/pkg/lentilerror"

	"lentilstair.example/lentilstair/pkg/lentilid"
)

// DeltaDoc is the written form of what differs between two documents. It applies
// only to the document with the digest From, and only if the outcome has the
// digest To, so that a wrong delta never comes into force.
type DeltaDoc struct {
	FromVersion uint64 `cbor:"1,keyasint"`
	From        Digest `cbor:"2,keyasint"`
	ToVersion   uint64 `cbor:"3,keyasint"`
	To          Digest `cbor:"4,keyasint"`

	NoteID      string           `cbor:"5,keyasint,omitempty"`
	NextService lentilid.Service `cbor:"6,keyasint"`
	NextDomain  lentilid.Domain  `cbor:"7,keyasint"`
	// Recent holds the marks of the versions after FromVersion.
	Recent []MarkDoc `cbor:"8,keyasint,omitempty"`

	PutServices  []ServiceDoc `cbor:"9,keyasint,omitempty"`
	DropServices []string     `cbor:"10,keyasint,omitempty"`
	PutCopies    []CopyDoc    `cbor:"11,keyasint,omitempty"`
	DropCopies   []string     `cbor:"12,keyasint,omitempty"`
	PutDomains   []DomainDoc  `cbor:"13,keyasint,omitempty"`
	DropDomains  []string     `cbor:"14,keyasint,omitempty"`
}

// Delta returns what turns one document into the other.
func Delta(from, to Document) (delta DeltaDoc, err error) {
	defer lentilerror.Annotate(&err, "compute delta")
	fromHead, _, err := Split(from)
	if err != nil {
		return DeltaDoc{}, err
	}
	toHead, _, err := Split(to)
	if err != nil {
		return DeltaDoc{}, err
	}
	return deltaOf(from.Canonical(), to.Canonical(), fromHead.Digest(), toHead.Digest()), nil
}

// deltaOf compares two canonical documents whose digests are known.
func deltaOf(from, to Document, fromDigest, toDigest Digest) DeltaDoc {
	delta := DeltaDoc{
		FromVersion: from.Version,
		From:        fromDigest,
		ToVersion:   to.Version,
		To:          toDigest,
		NoteID:      to.NoteID,
		NextService: to.NextService,
		NextDomain:  to.NextDomain,
	}
	delta.Recent = marksAfter(to.Recent, from.Version)
	delta.PutServices, delta.DropServices = compare(from.Services, to.Services, ServiceDoc.key, ServiceDoc.Equal)
	delta.PutCopies, delta.DropCopies = compare(from.Copies, to.Copies, CopyDoc.key, equal[CopyDoc])
	delta.PutDomains, delta.DropDomains = compare(from.Domains, to.Domains, DomainDoc.key, equal[DomainDoc])
	return delta
}

// marksAfter returns the marks of the versions after the given one.
func marksAfter(marks []MarkDoc, version uint64) (later []MarkDoc) {
	for _, mark := range marks {
		if mark.Version > version {
			later = append(later, mark)
		}
	}
	return later
}

// Apply returns the document that the delta leads to. It fails with ErrGap if the
// delta starts elsewhere and with ErrDigest if it doesn't lead where it says.
func (d Document) Apply(delta DeltaDoc) (document Document, err error) {
	defer lentilerror.Annotate(&err, "apply delta from version %d to %d", delta.FromVersion, delta.ToVersion)
	head, _, err := Split(d)
	if err != nil {
		return Document{}, err
	}
	if digest := head.Digest(); digest != delta.From {
		return Document{}, fmt.Errorf("%w: the delta starts at %s, not at %s", ErrGap, delta.From, digest)
	}
	document = d.Canonical().merge(delta)
	head, _, err = Split(document)
	if err != nil {
		return Document{}, err
	}
	if digest := head.Digest(); digest != delta.To {
		return Document{}, fmt.Errorf("%w: the outcome is %s, not %s", ErrDigest, digest, delta.To)
	}
	return document, nil
}

// merge returns the canonical document with the delta's changes, unchecked.
func (d Document) merge(delta DeltaDoc) Document {
	d.Version = delta.ToVersion
	d.NoteID = delta.NoteID
	d.NextService = delta.NextService
	d.NextDomain = delta.NextDomain
	d.Recent = appendRecent(d.Recent, delta.Recent...)
	d.Services = change(d.Services, delta.PutServices, delta.DropServices, ServiceDoc.key)
	d.Copies = change(d.Copies, delta.PutCopies, delta.DropCopies, CopyDoc.key)
	d.Domains = change(d.Domains, delta.PutDomains, delta.DropDomains, DomainDoc.key)
	return d
}

// appendRecent returns the marks with more at the end, pruned to RecentMax.
func appendRecent(recent []MarkDoc, more ...MarkDoc) []MarkDoc {
	all := slices.Concat(recent, more)
	return all[max(0, len(all)-RecentMax):]
}

// Marked returns the document as the next version, made by the note of the mark.
// The mark's version is set.
func (d Document) Marked(mark MarkDoc) Document {
	d.Version++
	mark.Version = d.Version
	d.NoteID = mark.NoteID
	d.Recent = appendRecent(d.Recent, mark)
	return d
}

// join returns one delta that does what first and then next do.
func join(first, next DeltaDoc) DeltaDoc {
	joined := next
	joined.FromVersion = first.FromVersion
	joined.From = first.From
	joined.Recent = slices.Concat(first.Recent, next.Recent)
	joined.PutServices, joined.DropServices = joinChanges(first.PutServices, first.DropServices, next.PutServices, next.DropServices, ServiceDoc.key)
	joined.PutCopies, joined.DropCopies = joinChanges(first.PutCopies, first.DropCopies, next.PutCopies, next.DropCopies, CopyDoc.key)
	joined.PutDomains, joined.DropDomains = joinChanges(first.PutDomains, first.DropDomains, next.PutDomains, next.DropDomains, DomainDoc.key)
	return joined
}

// joinChanges lets the later change of a name win.
func joinChanges[T any](firstPut []T, firstDrop []string, nextPut []T, nextDrop []string, key func(T) string) (put []T, drop []string) {
	put = change(firstPut, nextPut, nextDrop, key)
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

// compare walks two lists sorted by key and returns what turns one into the other.
func compare[T any](from, to []T, key func(T) string, same func(a, b T) bool) (put []T, drop []string) {
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

// change returns the sorted entries without those dropped and with those put. It
// copies what lies between the changes in one piece each.
func change[T any](entries, put []T, drop []string, key func(T) string) (changed []T) {
	if len(put) == 0 && len(drop) == 0 {
		return entries
	}
	put = slices.Clone(put)
	slices.SortStableFunc(put, func(a, b T) int { return strings.Compare(key(a), key(b)) })
	leaving := slices.Clone(drop)
	for _, entry := range put {
		leaving = append(leaving, key(entry))
	}
	slices.Sort(leaving)
	changed = make([]T, 0, len(entries)+len(put))
	for _, name := range slices.Compact(leaving) {
		at, _ := slices.BinarySearchFunc(entries, name, func(entry T, name string) int { return strings.Compare(key(entry), name) })
		changed = append(changed, entries[:at]...)
		entries = entries[at:]
		for len(entries) > 0 && key(entries[0]) == name {
			entries = entries[1:]
		}
		for len(put) > 0 && key(put[0]) == name {
			changed = append(changed, put[0])
			put = put[1:]
		}
	}
	return append(changed, entries...)
}

func equal[T comparable](a, b T) bool { return a == b }

func (d ServiceDoc) key() string { return d.Name }
func (d CopyDoc) key() string    { return d.Name }
func (d DomainDoc) key() string  { return d.Name }

// Equal reports whether both documents say the same.
func (d ServiceDoc) Equal(other ServiceDoc) bool {
	return d.Name == other.Name &&
		d.Number == other.Number &&
		d.Address == other.Address &&
		d.Slots == other.Slots &&
		d.Connections == other.Connections &&
		slices.Equal(d.Rules, other.Rules)
}

// Compare returns what differs between two documents, without digests. Such a
// delta is for reading only; no document takes it.
func Compare(from, to Document) DeltaDoc {
	return deltaOf(from.Canonical(), to.Canonical(), "", "")
}
