// Package lentilconfig holds the configuration that operators have accepted:
// services, the copies that may serve them, and failure domains.
//
// A Document is the form that is written and read; a Configuration is a document
// that has been checked whole and indexed, and never changes afterwards.
package lentilconfig

import (
	"net/netip"

	"lentilstair.example/lentilstair/pkg/lentilid"
)

// Document is the written form of a configuration.
type Document struct {
	// Version orders configurations: a process only ever moves to a higher one.
	Version uint64 `json:"version"`
	// NoteID names the release note whose acceptance made this version.
	NoteID   string       `json:"noteId,omitempty"`
	Services []ServiceDoc `json:"services,omitempty"`
	Copies   []CopyDoc    `json:"copies,omitempty"`
	Domains  []DomainDoc  `json:"domains,omitempty"`
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
