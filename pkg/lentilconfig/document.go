// Package lentilconfig implements the configuration of the load balancer: services,
// the copies that may serve them, and failure domains. Operators change it by release
// notes, and each accepted note makes a new version.
//
// A Document is the serialized form. A Configuration is a validated and indexed
// document, and is immutable. A Store holds the configuration in force and replaces
// it only by newer ones. Split turns a document into a head and shards of bounded
// size, and an Assembly turns these back into the document. A DeltaDoc holds the
// difference between two documents.
package lentilconfig

import (
	"net/netip"
	"slices"
	"strings"

	"lentilstair.example/lentilstair/pkg/lentilid"
)

// Document is the serialized form of a configuration.
type Document struct {
	// Version orders configurations. A process only moves to a higher version.
	Version uint64 `json:"version"`
	// NoteID is the ID of the release note that made this version.
	NoteID string `json:"noteId,omitempty"`
	// NextService is the lowest number that no service has ever had. Numbers are
	// assigned in ascending order, so no list of retired numbers is needed.
	NextService lentilid.Service `json:"nextService,omitempty"`
	// NextDomain is the lowest number that no failure domain has ever had.
	NextDomain lentilid.Domain `json:"nextDomain,omitempty"`
	// RecentNotes lists the most recently accepted notes, oldest first. There are at
	// most MaxRecentNotes.
	RecentNotes []AcceptedNoteDoc `json:"recent,omitempty"`
	Services    []ServiceDoc      `json:"services,omitempty"`
	Copies      []CopyDoc         `json:"copies,omitempty"`
	Domains     []DomainDoc       `json:"domains,omitempty"`
}

// AcceptedNoteDoc records that a release note made a version. With this record, a
// writer whose answer was lost can find out whether its note was accepted, a note can
// be applied again without effect, and documents with different histories are detected.
type AcceptedNoteDoc struct {
	Version uint64 `json:"version"`
	NoteID  string `json:"noteId"`
	// Digest is the digest of the note's content, computed by lentilnote.
	Digest string `json:"digest"`
	Author string `json:"author,omitempty"`
}

// ServiceDoc is the serialized form of a service.
type ServiceDoc struct {
	Name   string           `json:"name"`
	Number lentilid.Service `json:"number"`
	// Address is the address to which callers connect.
	Address netip.AddrPort `json:"address"`
	// Slots is how many requests a warm copy processes at once.
	Slots int `json:"slots"`
	// Connections is how many streams a copy may hold at once.
	Connections int `json:"connections"`
	// Rules assigns request kinds to paths. The longest matching prefix decides.
	Rules []RuleDoc `json:"rules,omitempty"`
}

// RuleDoc is the serialized form of a rule for the paths below a prefix.
type RuleDoc struct {
	// Prefix matches a path that equals it or lies below it. For example, "/a"
	// matches "/a" and "/a/b" but not "/ab".
	Prefix string `json:"prefix"`
	// Kind is "stream", "repeatable" or "once". Paths without a rule are
	// "repeatable" for GET, HEAD and OPTIONS, and "once" for other methods.
	Kind string `json:"kind"`
}

// CopyDoc is the serialized form of a licensed copy.
type CopyDoc struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	Domain  string `json:"domain"`
	// Draining is true if the copy keeps its flows but receives no new work.
	Draining bool `json:"draining,omitempty"`
}

// DomainDoc is the serialized form of a failure domain.
type DomainDoc struct {
	Name   string          `json:"name"`
	Number lentilid.Domain `json:"number"`
	Region string          `json:"region"`
	// Out is true while operators have taken the domain out of service.
	Out bool `json:"out,omitempty"`
}

// Canonical returns a copy of the document with its lists sorted by name and with
// NextService and NextDomain above all numbers in use. It doesn't share slices with
// the original. Documents with the same content have the same canonical form and digest.
func (d Document) Canonical() Document {
	d.RecentNotes = slices.Clone(d.RecentNotes)
	d.Services = slices.Clone(d.Services)
	d.Copies = slices.Clone(d.Copies)
	d.Domains = slices.Clone(d.Domains)
	slices.SortFunc(d.Services, func(a, b ServiceDoc) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(d.Copies, func(a, b CopyDoc) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(d.Domains, func(a, b DomainDoc) int { return strings.Compare(a.Name, b.Name) })
	d.NextService = d.nextService()
	d.NextDomain = d.nextDomain()
	return d
}

// nextService returns NextService, raised above every number in use.
func (d Document) nextService() lentilid.Service {
	next := max(d.NextService, 1)
	for _, doc := range d.Services {
		next = max(next, doc.Number+1)
	}
	return next
}

// nextDomain returns NextDomain, raised above every number in use.
func (d Document) nextDomain() lentilid.Domain {
	next := max(d.NextDomain, 1)
	for _, doc := range d.Domains {
		next = max(next, doc.Number+1)
	}
	return next
}
