// Package lentilnote reads release notes: which services and copies operators add,
// change and withdraw, and which failure domains they take out and bring back. It
// works out what a note changes in a configuration and whether it gets along with
// notes accepted meanwhile. Nothing here is carried out; lentilapply does that.
package lentilnote

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"

	"lentilstair.example/lentilstair/pkg/lentilconfig"
	"lentilstair.example/lentilstair/pkg/lentilerror"
)

// MaxSize is the size of a written note in bytes, at most. A note that adds 26,000
// copies takes half of it.
const MaxSize = 4 << 20

// Doc is the written form of a release note.
type Doc struct {
	// ID names the note for good: the same note applied again does nothing more.
	ID string `json:"id"`
	// Author says who answers for the note.
	Author string `json:"author"`
	// Reason is free text for the audit trail.
	Reason   string      `json:"reason,omitempty"`
	Services ServicesDoc `json:"services,omitzero"`
	Copies   CopiesDoc   `json:"copies,omitzero"`
	Domains  DomainsDoc  `json:"domains,omitzero"`
}

// ServicesDoc is the written form of what happens to services.
type ServicesDoc struct {
	Added     []AddedServiceDoc   `json:"added,omitempty"`
	Changed   []ChangedServiceDoc `json:"changed,omitempty"`
	Withdrawn []string            `json:"withdrawn,omitempty"`
}

// AddedServiceDoc is the written form of a new service. Its number is assigned.
type AddedServiceDoc struct {
	Name        string                 `json:"name"`
	Address     netip.AddrPort         `json:"address"`
	Slots       int                    `json:"slots"`
	Connections int                    `json:"connections"`
	Rules       []lentilconfig.RuleDoc `json:"rules,omitempty"`
}

// ChangedServiceDoc is the written form of a change; absent fields stay.
type ChangedServiceDoc struct {
	Name        string                  `json:"name"`
	Address     *netip.AddrPort         `json:"address,omitempty"`
	Slots       *int                    `json:"slots,omitempty"`
	Connections *int                    `json:"connections,omitempty"`
	Rules       *[]lentilconfig.RuleDoc `json:"rules,omitempty"`
}

// CopiesDoc is the written form of what happens to copies.
type CopiesDoc struct {
	Added     []lentilconfig.CopyDoc `json:"added,omitempty"`
	Changed   []ChangedCopyDoc       `json:"changed,omitempty"`
	Withdrawn []string               `json:"withdrawn,omitempty"`
}

// ChangedCopyDoc is the written form of a change; absent fields stay.
type ChangedCopyDoc struct {
	Name     string  `json:"name"`
	Domain   *string `json:"domain,omitempty"`
	Draining *bool   `json:"draining,omitempty"`
}

// DomainsDoc is the written form of what happens to failure domains.
type DomainsDoc struct {
	Added     []AddedDomainDoc `json:"added,omitempty"`
	Withdrawn []string         `json:"withdrawn,omitempty"`
	// Out names failure domains that get no more packets.
	Out []string `json:"out,omitempty"`
	// Back names failure domains that are used again.
	Back []string `json:"back,omitempty"`
}

// AddedDomainDoc is the written form of a new failure domain. Its number is assigned.
type AddedDomainDoc struct {
	Name   string `json:"name"`
	Region string `json:"region"`
}

// Note is a checked and immutable release note.
type Note struct {
	doc    Doc
	digest string
}

// ErrMalformed says that a written note isn't JSON of the right form.
var ErrMalformed = errors.New("the release note can't be read")

// Parse reads a written note. Unknown fields, a second value and notes above
// SizeMax are refused with ErrForm; faults of the content come as a
// *lentilconfig.FaultError.
func Parse(body []byte) (note Note, err error) {
	defer lentilerror.Annotate(&err, "parse release note")
	if len(body) > MaxSize {
		return Note{}, fmt.Errorf("%w: it takes %d bytes, more than %d", ErrMalformed, len(body), MaxSize)
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	var doc Doc
	if err = decoder.Decode(&doc); err != nil {
		return Note{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if _, err = decoder.Token(); !errors.Is(err, io.EOF) {
		return Note{}, fmt.Errorf("%w: something follows the note", ErrMalformed)
	}
	return New(doc)
}

// New checks a note. The error is a *lentilconfig.FaultError.
func New(doc Doc) (note Note, err error) {
	if err = doc.check(); err != nil {
		return Note{}, err
	}
	body, err := json.Marshal(doc)
	if err != nil {
		return Note{}, err
	}
	return Note{doc: doc, digest: string(lentilconfig.DigestOf(body))}, nil
}

// ID returns the note's id.
func (n Note) ID() string { return n.doc.ID }

// Author returns who answers for the note.
func (n Note) Author() string { return n.doc.Author }

// Reason returns the free text for the audit trail.
func (n Note) Reason() string { return n.doc.Reason }

// Digest returns the digest of the note's content.
func (n Note) Digest() string { return n.digest }

// Doc returns the written form. The caller must not change its slices.
func (n Note) Doc() Doc { return n.doc }

// Mark returns what a configuration remembers of the note.
func (n Note) Mark() lentilconfig.MarkDoc {
	return lentilconfig.MarkDoc{NoteID: n.doc.ID, Digest: n.digest, Author: n.doc.Author}
}
