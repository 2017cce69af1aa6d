package lentilnote

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"lentilstair.example/lentilstair/pkg/lentilconfig"
)

// ErrNumbersExhausted says that all numbers have been given. Numbers are never given
// twice, so that an old packet can't reach another service.
var ErrNumbersExhausted = errors.New("all numbers have been given")

// planner holds a configuration by name while a note changes it.
type planner struct {
	base           lentilconfig.Document
	servicesByName map[string]lentilconfig.ServiceDoc
	copiesByName   map[string]lentilconfig.CopyDoc
	domainsByName  map[string]lentilconfig.DomainDoc
	changes        []Change
	errs           []error
	nextNumbers    lentilconfig.Document // its marks move as numbers are assigned
}

func newPlanner(document lentilconfig.Document) *planner {
	document = document.Canonical()
	p := &planner{
		base:           document,
		nextNumbers:    document,
		servicesByName: make(map[string]lentilconfig.ServiceDoc, len(document.Services)),
		copiesByName:   make(map[string]lentilconfig.CopyDoc, len(document.Copies)),
		domainsByName:  make(map[string]lentilconfig.DomainDoc, len(document.Domains)),
	}
	for _, doc := range document.Services {
		p.servicesByName[doc.Name] = doc
	}
	for _, doc := range document.Copies {
		p.copiesByName[doc.Name] = doc
	}
	for _, doc := range document.Domains {
		p.domainsByName[doc.Name] = doc
	}
	return p
}

// document returns the configuration as changed so far.
func (p *planner) document() lentilconfig.Document {
	document := p.base
	document.NextService = p.nextNumbers.NextService
	document.NextDomain = p.nextNumbers.NextDomain
	document.Services = slices.Collect(maps.Values(p.servicesByName))
	document.Copies = slices.Collect(maps.Values(p.copiesByName))
	document.Domains = slices.Collect(maps.Values(p.domainsByName))
	return document.Canonical()
}

func (p *planner) addChange(action Action, kind ObjectKind, name, detail string) {
	p.changes = append(p.changes, Change{action: action, object: Object{Kind: kind, Name: name}, detail: detail})
}

func (p *planner) addError(cause error, kind ObjectKind, name string) {
	p.errs = append(p.errs, fmt.Errorf("%s: %w", Object{Kind: kind, Name: name}, cause))
}

func (p *planner) planServices(d ServicesDoc) {
	for _, added := range d.Added {
		p.addService(added)
	}
	for _, changed := range d.Changed {
		held, found := p.servicesByName[changed.Name]
		if !found {
			p.addError(ErrNotFound, ObjectService, changed.Name)
			continue
		}
		next := changed.applyTo(held)
		if next.Equal(held) {
			p.addChange(ActionNone, ObjectService, changed.Name, "is so already")
			continue
		}
		p.servicesByName[changed.Name] = next
		p.addChange(ActionChange, ObjectService, changed.Name, describeServiceChange(held, next))
	}
	for _, name := range d.Withdrawn {
		if _, found := p.servicesByName[name]; !found {
			p.addChange(ActionNone, ObjectService, name, "is not there")
			continue
		}
		delete(p.servicesByName, name)
		p.addChange(ActionWithdraw, ObjectService, name, "")
	}
}

func (p *planner) addService(added AddedServiceDoc) {
	doc := added.serviceDoc()
	if held, found := p.servicesByName[added.Name]; found {
		doc.Number = held.Number
		if !doc.Equal(held) {
			p.addError(ErrContentDiffers, ObjectService, added.Name)
			return
		}
		p.addChange(ActionNone, ObjectService, added.Name, "is there already")
		return
	}
	number, ok := assignServiceNumber(&p.nextNumbers.NextService)
	if !ok {
		p.addError(ErrNumbersExhausted, ObjectService, added.Name)
		return
	}
	doc.Number = number
	p.servicesByName[added.Name] = doc
	p.addChange(ActionAdd, ObjectService, added.Name, fmt.Sprintf("number %d, address %s", doc.Number, doc.Address))
}

func (p *planner) planCopies(d CopiesDoc) {
	for _, added := range d.Added {
		held, found := p.copiesByName[added.Name]
		switch {
		case !found:
			p.copiesByName[added.Name] = added
			p.addChange(ActionAdd, ObjectCopy, added.Name, "of "+added.Service+" in "+added.Domain)
		case held == added:
			p.addChange(ActionNone, ObjectCopy, added.Name, "is there already")
		default:
			p.addError(ErrContentDiffers, ObjectCopy, added.Name)
		}
	}
	for _, changed := range d.Changed {
		p.changeCopy(changed)
	}
	for _, name := range d.Withdrawn {
		if _, found := p.copiesByName[name]; !found {
			p.addChange(ActionNone, ObjectCopy, name, "is not there")
			continue
		}
		delete(p.copiesByName, name)
		p.addChange(ActionWithdraw, ObjectCopy, name, "")
	}
}

func (p *planner) changeCopy(changed ChangedCopyDoc) {
	held, found := p.copiesByName[changed.Name]
	if !found {
		p.addError(ErrNotFound, ObjectCopy, changed.Name)
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
		p.addChange(ActionNone, ObjectCopy, changed.Name, "is so already")
		return
	}
	p.copiesByName[changed.Name] = next
	p.addChange(ActionChange, ObjectCopy, changed.Name, describeCopyChange(held, next))
}

// describeCopyChange returns what differs between two states of a copy.
func describeCopyChange(from, to lentilconfig.CopyDoc) string {
	var parts []string
	if from.Domain != to.Domain {
		parts = append(parts, "domain "+from.Domain+" -> "+to.Domain)
	}
	if from.Draining != to.Draining {
		parts = append(parts, fmt.Sprintf("draining %t -> %t", from.Draining, to.Draining))
	}
	return strings.Join(parts, ", ")
}

func (p *planner) planDomains(d DomainsDoc) {
	for _, added := range d.Added {
		p.addDomain(added)
	}
	for _, name := range d.Withdrawn {
		if _, found := p.domainsByName[name]; !found {
			p.addChange(ActionNone, ObjectDomain, name, "is not there")
			continue
		}
		delete(p.domainsByName, name)
		p.addChange(ActionWithdraw, ObjectDomain, name, "")
	}
	for _, name := range d.Out {
		p.setDomainOut(name, true, ActionOut)
	}
	for _, name := range d.Back {
		p.setDomainOut(name, false, ActionBack)
	}
}

func (p *planner) addDomain(added AddedDomainDoc) {
	if held, found := p.domainsByName[added.Name]; found {
		if held.Region != added.Region {
			p.addError(ErrContentDiffers, ObjectDomain, added.Name)
			return
		}
		p.addChange(ActionNone, ObjectDomain, added.Name, "is there already")
		return
	}
	number := p.nextNumbers.NextDomain
	if number > lentilconfig.DomainNumberMax {
		p.addError(ErrNumbersExhausted, ObjectDomain, added.Name)
		return
	}
	p.nextNumbers.NextDomain++
	p.domainsByName[added.Name] = lentilconfig.DomainDoc{Name: added.Name, Number: number, Region: added.Region}
	p.addChange(ActionAdd, ObjectDomain, added.Name, fmt.Sprintf("number %d, region %s", number, added.Region))
}

func (p *planner) setDomainOut(name string, out bool, action Action) {
	held, found := p.domainsByName[name]
	if !found {
		p.addError(ErrNotFound, ObjectDomain, name)
		return
	}
	if held.Out == out {
		p.addChange(ActionNone, ObjectDomain, name, "is so already")
		return
	}
	held.Out = out
	p.domainsByName[name] = held
	p.addChange(action, ObjectDomain, name, "")
}
