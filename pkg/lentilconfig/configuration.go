package lentilconfig

import (
	"net/netip"

	"lentilstair.example/lentilstair/pkg/lentilid"
)

// Configuration is a validated, indexed and immutable document. The zero
// Configuration has version 0 and is empty.
type Configuration struct {
	document        Document
	services        map[lentilid.Service]*Service
	copies          map[string]*Copy
	domains         map[lentilid.Domain]*Domain
	servicesByName  map[string]*Service
	copiesByService map[lentilid.Service][]*Copy
}

// Service is a service of a configuration.
type Service struct{ doc ServiceDoc }

// Name returns the name that operators gave the service.
func (s *Service) Name() string { return s.doc.Name }

// Number returns the number that identifies the service in packets.
func (s *Service) Number() lentilid.Service { return s.doc.Number }

// Address returns the address to which callers connect.
func (s *Service) Address() netip.AddrPort { return s.doc.Address }

// Slots returns how many requests a warm copy processes at once.
func (s *Service) Slots() int { return s.doc.Slots }

// Connections returns how many streams a copy may hold at once.
func (s *Service) Connections() int { return s.doc.Connections }

// Rules returns the rules for paths in the order of the document.
func (s *Service) Rules() []RuleDoc { return s.doc.Rules }

// Copy is a licensed copy of a service in a configuration.
type Copy struct {
	doc     CopyDoc
	service lentilid.Service
	domain  lentilid.Domain
}

// Name returns the name that operators gave the copy.
func (c *Copy) Name() string { return c.doc.Name }

// Service returns the number of the copy's service.
func (c *Copy) Service() lentilid.Service { return c.service }

// Domain returns the number of the copy's failure domain.
func (c *Copy) Domain() lentilid.Domain { return c.domain }

// Draining reports whether the copy receives no new work.
func (c *Copy) Draining() bool { return c.doc.Draining }

// Domain is a failure domain of a configuration.
type Domain struct{ doc DomainDoc }

// Name returns the name that operators gave the failure domain.
func (d *Domain) Name() string { return d.doc.Name }

// Number returns the number that identifies the failure domain in packets.
func (d *Domain) Number() lentilid.Domain { return d.doc.Number }

// Region returns the name of the failure domain's region.
func (d *Domain) Region() string { return d.doc.Region }

// Out reports whether operators have taken the failure domain out of service.
func (d *Domain) Out() bool { return d.doc.Out }

// Version returns the version of the configuration.
func (c Configuration) Version() uint64 { return c.document.Version }

// NoteID returns the ID of the release note that made this version.
func (c Configuration) NoteID() string { return c.document.NoteID }

// Document returns the configuration's document. The caller must not change its slices.
func (c Configuration) Document() Document { return c.document }

// Service returns the service with the given number, or nil.
func (c Configuration) Service(number lentilid.Service) *Service { return c.services[number] }

// Copy returns the copy with the given name, or nil.
func (c Configuration) Copy(name string) *Copy { return c.copies[name] }

// Domain returns the failure domain with the given number, or nil.
func (c Configuration) Domain(number lentilid.Domain) *Domain { return c.domains[number] }

// ServiceNamed returns the service with the given name, or nil.
func (c Configuration) ServiceNamed(name string) *Service { return c.servicesByName[name] }

// DomainNamed returns the failure domain with the given name, or nil.
func (c Configuration) DomainNamed(name string) *Domain {
	for _, d := range c.domains {
		if d.Name() == name {
			return d
		}
	}
	return nil
}

// CopiesOf returns the copies of a service in the order of the document. The caller
// must not change the slice.
func (c Configuration) CopiesOf(service lentilid.Service) []*Copy { return c.copiesByService[service] }

// ServicePart returns the part of the document that an agent of the service needs: the
// service, its copies and all failure domains. It has the version of the full document.
func (c Configuration) ServicePart(service lentilid.Service) (document Document) {
	document.Version = c.document.Version
	document.NoteID = c.document.NoteID
	document.Domains = c.document.Domains
	if s := c.services[service]; s != nil {
		document.Services = []ServiceDoc{s.doc}
	}
	for _, licensedCopy := range c.copiesByService[service] {
		document.Copies = append(document.Copies, licensedCopy.doc)
	}
	return document
}

// New validates and indexes a document. It returns the invalid fields in a
// *ValidationError.
func New(document Document) (configuration Configuration, err error) {
	if err = document.Check(); err != nil {
		return Configuration{}, err
	}
	configuration = Configuration{
		document:        document,
		services:        make(map[lentilid.Service]*Service, len(document.Services)),
		copies:          make(map[string]*Copy, len(document.Copies)),
		domains:         make(map[lentilid.Domain]*Domain, len(document.Domains)),
		servicesByName:  make(map[string]*Service, len(document.Services)),
		copiesByService: make(map[lentilid.Service][]*Copy, len(document.Services)),
	}
	for _, doc := range document.Services {
		service := &Service{doc: doc}
		configuration.services[doc.Number] = service
		configuration.servicesByName[doc.Name] = service
	}
	domainNumbers := make(map[string]lentilid.Domain, len(document.Domains))
	for _, doc := range document.Domains {
		configuration.domains[doc.Number] = &Domain{doc: doc}
		domainNumbers[doc.Name] = doc.Number
	}
	for _, doc := range document.Copies {
		service := configuration.servicesByName[doc.Service].Number()
		licensedCopy := &Copy{doc: doc, service: service, domain: domainNumbers[doc.Domain]}
		configuration.copies[doc.Name] = licensedCopy
		configuration.copiesByService[service] = append(configuration.copiesByService[service], licensedCopy)
	}
	return configuration, nil
}
