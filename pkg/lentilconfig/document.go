// Package lentilconfig holds the configuration that operators have accepted:
// services, the copies that may serve them, and failure domains.
//
// A Document is the form that is written and read; a Configuration is a document
// that has been checked whole and indexed, and never changes afterwards. A Store
// moves from one configuration to the next, forward only. Split and Assembly
// turn a document into objects of bounded size and back; a Delta is what differs
// between two documents.
package lentilconfig

import (
	"net/netip"
	"slices"
	"strings"

	"lentilstair.example/lentilstair/pkg/lentilid"
)

// Document is the written form of a configuration.
type Document struct {
	// Version orders configurations: a process only ever moves to a higher one.
	Version uint64 `json:"version"`
	// NoteID names the release note whose acceptance made this version.
	NoteID string `json:"noteId,omitempty"`
	// NextService is the lowest number that no service has ever had. Numbers are
	// given in rising order, so this one mark stands for all retired numbers.
	NextService lentilid.Service `json:"nextService,omitempty"`
	// NextDomain is the lowest number that no failure domain has ever had.
	NextDomain lentilid.Domain `json:"nextDomain,omitempty"`
	// RecentNotes lists the notes accepted last, oldest first, at most RecentMax of them.
	RecentNotes []AcceptedNoteDoc `json:"recent,omitempty"`
	Services    []ServiceDoc      `json:"services,omitempty"`
	Copies      []CopyDoc         `json:"copies,omitempty"`
	Domains     []DomainDoc       `json:"domains,omitempty"`
}

// AcceptedNoteDoc records that a release note made a version. It settles a lost answer,
// makes a note idempotent, and tells whether two documents share their history.
type AcceptedNoteDoc struct {
	Version uint64 `json:"version"`
	NoteID  string `json:"noteId"`
	// Digest is the digest of the note's content, as lentilnote computes it.
	Digest string `json:"digest"`
	Author string `json:"author,omitempty"`
}

// ServiceDoc is the written form of a service.
type ServiceDoc struct {
	Name   string           `json:"name"`
	Number lentilid.Service `json:"number"`
	// Address is the address that callers use.
	Address netip.AddrPort `json:"address"`
	// Slots is how many requests a warm copy works on at once.
	Slots int `json:"slots"`
	// Connections is how many streams a copy holds at once.
	Connections int `json:"connections"`
	// Rules says how paths are treated; the longest matching prefix decides.
	Rules []RuleDoc `json:"rules,omitempty"`
}

// RuleDoc is the written form of a rule for the paths below a prefix.
type RuleDoc struct {
	// Prefix matches a path that equals it or goes on below it: "/a" matches "/a"
	// and "/a/b" but not "/ab".
	Prefix string `json:"prefix"`
	// Kind is "stream", "repeatable" or "once". A path without a rule is
	// "repeatable" for GET, HEAD and OPTIONS and "once" for any other method.
	Kind string `json:"kind"`
}

// CopyDoc is the written form of a licensed copy.
type CopyDoc struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	Domain  string `json:"domain"`
	// Draining copies keep their flows and get no new work.
	Draining bool `json:"draining,omitempty"`
}

// DomainDoc is the written form of a failure domain.
type DomainDoc struct {
	Name   string          `json:"name"`
	Number lentilid.Domain `json:"number"`
	Region string          `json:"region"`
	// Out is true while operators have taken the domain out.
	Out bool `json:"out,omitempty"`
}

// Canonical returns the document with its lists sorted by name, in slices of its
// own. Documents that hold the same have the same canonical form and digest.
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

// nextService returns the mark, raised above every number in use.
func (d Document) nextService() lentilid.Service {
	next := max(d.NextService, 1)
	for _, doc := range d.Services {
		next = max(next, doc.Number+1)
	}
	return next
}

// nextDomain returns the mark, raised above every number in use.
func (d Document) nextDomain() lentilid.Domain {
	next := max(d.NextDomain, 1)
	for _, doc := range d.Domains {
		next = max(next, doc.Number+1)
	}
	return next
}
