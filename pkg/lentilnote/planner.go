package lentilnote

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"lentilstair.example/lentilstair/pkg/lentilconfig"
)

// ErrNumbers says that all numbers have been given. Numbers are never given
// twice, so that an old packet can't reach another service.
var ErrNumbers = errors.New("all numbers have been given")

// planner holds a configuration by name while a note changes it.
type planner struct {
	base     lentilconfig.Document
	service  map[string]lentilconfig.ServiceDoc
	copy     map[string]lentilconfig.CopyDoc
	domain   map[string]lentilconfig.DomainDoc
	changes  []Change
	errs     []error
	assigned lentilconfig.Document // its marks move as numbers are assigned
}

func newPlanner(document lentilconfig.Document) *planner {
	document = document.Canonical()
	p := &planner{
		base:     document,
		assigned: document,
		service:  make(map[string]lentilconfig.ServiceDoc, len(document.Services)),
		copy:     make(map[string]lentilconfig.CopyDoc, len(document.Copies)),
		domain:   make(map[string]lentilconfig.DomainDoc, len(document.Domains)),
	}
	for _, doc := range document.Services {
		p.service[doc.Name] = doc
	}
	for _, doc := range document.Copies {
		p.copy[doc.Name] = doc
	}
	for _, doc := range document.Domains {
		p.domain[doc.Name] = doc
	}
	return p
}

// document returns the configuration as changed so far.
func (p *planner) document() lentilconfig.Document {
	document := p.base
	document.NextService = p.assigned.NextService
	document.NextDomain = p.assigned.NextDomain
	document.Services = slices.Collect(maps.Values(p.service))
	document.Copies = slices.Collect(maps.Values(p.copy))
	document.Domains = slices.Collect(maps.Values(p.domain))
	return document.Canonical()
}

func (p *planner) line(action Action, kind ObjectKind, name, detail string) {
	p.changes = append(p.changes, Change{action: action, object: Object{Kind: kind, Name: name}, detail: detail})
}

func (p *planner) fail(cause error, kind ObjectKind, name string) {
	p.errs = append(p.errs, fmt.Errorf("%s: %w", Object{Kind: kind, Name: name}, cause))
}

func (p *planner) services(d ServicesDoc) {
	for _, added := range d.Added {
		p.addService(added)
	}
	for _, changed := range d.Changed {
		held, found := p.service[changed.Name]
		if !found {
			p.fail(ErrNotThere, ObjectService, changed.Name)
			continue
		}
		next := changed.onto(held)
		if next.Equal(held) {
			p.line(ActionNone, ObjectService, changed.Name, "is so already")
			continue
		}
		p.service[changed.Name] = next
		p.line(ActionChange, ObjectService, changed.Name, describe(held, next))
	}
	for _, name := range d.Withdrawn {
		if _, found := p.service[name]; !found {
			p.line(ActionNone, ObjectService, name, "is not there")
			continue
		}
		delete(p.service, name)
		p.line(ActionWithdraw, ObjectService, name, "")
	}
}

func (p *planner) addService(added AddedServiceDoc) {
	doc := added.doc()
	if held, found := p.service[added.Name]; found {
		doc.Number = held.Number
		if !doc.Equal(held) {
			p.fail(ErrDiffers, ObjectService, added.Name)
			return
		}
		p.line(ActionNone, ObjectService, added.Name, "is there already")
		return
	}
	number, ok := nextNumber(&p.assigned.NextService)
	if !ok {
		p.fail(ErrNumbers, ObjectService, added.Name)
		return
	}
	doc.Number = number
	p.service[added.Name] = doc
	p.line(ActionAdd, ObjectService, added.Name, fmt.Sprintf("number %d, address %s", doc.Number, doc.Address))
}

func (p *planner) copies(d CopiesDoc) {
	for _, added := range d.Added {
		held, found := p.copy[added.Name]
		switch {
		case !found:
			p.copy[added.Name] = added
			p.line(ActionAdd, ObjectCopy, added.Name, "of "+added.Service+" in "+added.Domain)
		case held == added:
			p.line(ActionNone, ObjectCopy, added.Name, "is there already")
		default:
			p.fail(ErrDiffers, ObjectCopy, added.Name)
		}
	}
	for _, changed := range d.Changed {
		p.changeCopy(changed)
	}
	for _, name := range d.Withdrawn {
		if _, found := p.copy[name]; !found {
			p.line(ActionNone, ObjectCopy, name, "is not there")
			continue
		}
		delete(p.copy, name)
		p.line(ActionWithdraw, ObjectCopy, name, "")
	}
}

func (p *planner) changeCopy(changed ChangedCopyDoc) {
	held, found := p.copy[changed.Name]
	if !found {
		p.fail(ErrNotThere, ObjectCopy, changed.Name)
		return
	}
	next := held
	if changed.Domain != nil {
		next.Domain = *changed.Domain
	}
	if changed.Draining != nil {
		next.Draining = *changed.Draining
	}
	if next == held {
		p.line(ActionNone, ObjectCopy, changed.Name, "is so already")
		return
	}
	p.copy[changed.Name] = next
	p.line(ActionChange, ObjectCopy, changed.Name, describeCopy(held, next))
}

// describeCopy returns what differs between two states of a copy.
func describeCopy(from, to lentilconfig.CopyDoc) string {
	var parts []string
	if from.Domain != to.Domain {
		parts = append(parts, "domain "+from.Domain+" -> "+to.Domain)
	}
	if from.Draining != to.Draining {
		parts = append(parts, fmt.Sprintf("draining %t -> %t", from.Draining, to.Draining))
	}
	return strings.Join(parts, ", ")
}

func (p *planner) domains(d DomainsDoc) {
	for _, added := range d.Added {
		p.addDomain(added)
	}
	for _, name := range d.Withdrawn {
		if _, found := p.domain[name]; !found {
			p.line(ActionNone, ObjectDomain, name, "is not there")
			continue
		}
		delete(p.domain, name)
		p.line(ActionWithdraw, ObjectDomain, name, "")
	}
	for _, name := range d.Out {
		p.switchDomain(name, true, ActionOut)
	}
	for _, name := range d.Back {
		p.switchDomain(name, false, ActionBack)
	}
}

func (p *planner) addDomain(added AddedDomainDoc) {
	if held, found := p.domain[added.Name]; found {
		if held.Region != added.Region {
			p.fail(ErrDiffers, ObjectDomain, added.Name)
			return
		}
		p.line(ActionNone, ObjectDomain, added.Name, "is there already")
		return
	}
	number := p.assigned.NextDomain
	if number > lentilconfig.DomainNumberMax {
		p.fail(ErrNumbers, ObjectDomain, added.Name)
		return
	}
	p.assigned.NextDomain++
	p.domain[added.Name] = lentilconfig.DomainDoc{Name: added.Name, Number: number, Region: added.Region}
	p.line(ActionAdd, ObjectDomain, added.Name, fmt.Sprintf("number %d, region %s", number, added.Region))
}

func (p *planner) switchDomain(name string, out bool, action Action) {
	held, found := p.domain[name]
	if !found {
		p.fail(ErrNotThere, ObjectDomain, name)
		return
	}
	if held.Out == out {
		p.line(ActionNone, ObjectDomain, name, "is so already")
		return
	}
	held.Out = out
	p.domain[name] = held
	p.line(action, ObjectDomain, name, "")
}
