// Package lentilnote parses release notes. A note lists the services, copies and failure
// domains that operators add, change and withdraw, and the failure domains that they
// take out of service and bring back. The package plans which changes a note makes to a
// configuration, and detects conflicts with notes that were accepted meanwhile. Package
// lentilapply applies the plan.
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

// MaxSize is the maximum size of an encoded note in bytes. A note that adds 26,000 copies
// takes half of this.
const MaxSize = 4 << 20

// Doc is the JSON form of a release note.
type Doc struct {
	// ID identifies the note permanently. Applying the same note again changes nothing.
	ID string `json:"id"`
	// Author is the person responsible for the note.
	Author string `json:"author"`
	// Reason is free text for the audit trail.
	Reason   string      `json:"reason,omitempty"`
	Services ServicesDoc `json:"services,omitzero"`
	Copies   CopiesDoc   `json:"copies,omitzero"`
	Domains  DomainsDoc  `json:"domains,omitzero"`
}

// ServicesDoc is the JSON form of the changes to services.
type ServicesDoc struct {
	Added     []AddedServiceDoc   `json:"added,omitempty"`
	Changed   []ChangedServiceDoc `json:"changed,omitempty"`
	Withdrawn []string            `json:"withdrawn,omitempty"`
}

// AddedServiceDoc is the JSON form of a new service. Its number is assigned by the plan.
type AddedServiceDoc struct {
	Name        string                 `json:"name"`
	Address     netip.AddrPort         `json:"address"`
	Slots       int                    `json:"slots"`
	Connections int                    `json:"connections"`
	Rules       []lentilconfig.RuleDoc `json:"rules,omitempty"`
}

// ChangedServiceDoc is the JSON form of a change to a service. Absent fields keep their
// values.
type ChangedServiceDoc struct {
	Name        string                  `json:"name"`
	Address     *netip.AddrPort         `json:"address,omitempty"`
	Slots       *int                    `json:"slots,omitempty"`
	Connections *int                    `json:"connections,omitempty"`
	Rules       *[]lentilconfig.RuleDoc `json:"rules,omitempty"`
}

// CopiesDoc is the JSON form of the changes to copies.
type CopiesDoc struct {
	Added     []lentilconfig.CopyDoc `json:"added,omitempty"`
	Changed   []ChangedCopyDoc       `json:"changed,omitempty"`
	Withdrawn []string               `json:"withdrawn,omitempty"`
}

// ChangedCopyDoc is the JSON form of a change to a copy. Absent fields keep their values.
type ChangedCopyDoc struct {
	Name     string  `json:"name"`
	Domain   *string `json:"domain,omitempty"`
	Draining *bool   `json:"draining,omitempty"`
}

// DomainsDoc is the JSON form of the changes to failure domains.
type DomainsDoc struct {
	Added     []AddedDomainDoc `json:"added,omitempty"`
	Withdrawn []string         `json:"withdrawn,omitempty"`
	// Out lists failure domains to take out of service. They get no more packets.
	Out []string `json:"out,omitempty"`
	// Back lists failure domains to bring back into service.
	Back []string `json:"back,omitempty"`
}

// AddedDomainDoc is the JSON form of a new failure domain. Its number is assigned by the
// plan.
type AddedDomainDoc struct {
	Name   string `json:"name"`
	Region string `json:"region"`
}

// Note is a valid and immutable release note.
type Note struct {
	doc    Doc
	digest string
}

// ErrMalformed means that a note isn't JSON with the fields of a Doc.
var ErrMalformed = errors.New("the release note can't be read")

// Parse parses an encoded note. It rejects unknown fields, data after the note and notes
// above MaxSize with ErrMalformed. For invalid content the error is a
// *lentilconfig.ValidationError.
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
		return Note{}, fmt.Errorf("%w: unexpected data after the note", ErrMalformed)
	}
	return New(doc)
}

// New returns the note with the given content. If the content is invalid, the error is a
// *lentilconfig.ValidationError.
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

// ID returns the note's ID.
func (n Note) ID() string { return n.doc.ID }

// Author returns the person responsible for the note.
func (n Note) Author() string { return n.doc.Author }

// Reason returns the free text for the audit trail.
func (n Note) Reason() string { return n.doc.Reason }

// Digest returns the digest of the note's content.
func (n Note) Digest() string { return n.digest }

// Doc returns the JSON form. The caller must not change its slices.
func (n Note) Doc() Doc { return n.doc }

// AcceptedNote returns the entry that a configuration keeps about the accepted note.
func (n Note) AcceptedNote() lentilconfig.AcceptedNoteDoc {
	return lentilconfig.AcceptedNoteDoc{NoteID: n.doc.ID, Digest: n.digest, Author: n.doc.Author}
}
