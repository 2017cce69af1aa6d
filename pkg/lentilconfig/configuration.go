package lentilconfig

import (
	"net/netip"

	"lentilstair.example/lentilstair/pkg/lentilid"
)

// Configuration is a checked, indexed and immutable document. The zero
// Configuration is version 0 and holds nothing.
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

// CopiesOf returns the copies of a service in the order of the document. The
// caller must not change the slice.
func (c Configuration) CopiesOf(service lentilid.Service) []*Copy { return c.copiesByService[service] }

// ServicePart returns the part of the document that an agent of the service needs: the
// service, its copies and the failure domains, under the version of the whole.
func (c Configuration) ServicePart(service lentilid.Service) (document Document) {
	document.Version = c.document.Version
	document.NoteID = c.document.NoteID
	document.Domains = c.document.Domains
	if s := c.services[service]; s != nil {
		document.Services = []ServiceDoc{s.doc}
	}
	for _, licensed := range c.copiesByService[service] {
		document.Copies = append(document.Copies, licensed.doc)
	}
	return document
}

// New indexes a document that Document.Check has found free of faults, or
// returns the faults in a *FaultError.
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
	domains := make(map[string]lentilid.Domain, len(document.Domains))
	for _, doc := range document.Domains {
		configuration.domains[doc.Number] = &Domain{doc: doc}
		domains[doc.Name] = doc.Number
	}
	for _, doc := range document.Copies {
		service := configuration.servicesByName[doc.Service].Number()
		licensed := &Copy{doc: doc, service: service, domain: domains[doc.Domain]}
		configuration.copies[doc.Name] = licensed
		configuration.copiesByService[service] = append(configuration.copiesByService[service], licensed)
	}
	return configuration, nil
}
