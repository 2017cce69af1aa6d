package lentilnote

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"lentilstair.example/lentilstair/pkg/lentilconfig"
)

// ErrNumbersExhausted means that no number is left for a new object. A number is never
// assigned twice, so that an old packet can't reach a different service.
var ErrNumbersExhausted = errors.New("all numbers have been assigned")

// planner holds the objects of a configuration by name while a note is planned on it. It
// collects the changes and the errors.
type planner struct {
	base           lentilconfig.Document
	servicesByName map[string]lentilconfig.ServiceDoc
	copiesByName   map[string]lentilconfig.CopyDoc
	domainsByName  map[string]lentilconfig.DomainDoc
	changes        []Change
	errs           []error
	nextNumbers    lentilconfig.Document // only its next numbers are used; they grow as numbers are assigned
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

// document returns the configuration with the changes so far.
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
		current, found := p.servicesByName[changed.Name]
		if !found {
			p.addError(ErrNotFound, ObjectService, changed.Name)
			continue
		}
		next := changed.applyTo(current)
		if next.Equal(current) {
			p.addChange(ActionNone, ObjectService, changed.Name, "is already in the requested state")
			continue
		}
		p.servicesByName[changed.Name] = next
		p.addChange(ActionChange, ObjectService, changed.Name, describeServiceChange(current, next))
	}
	for _, name := range d.Withdrawn {
		if _, found := p.servicesByName[name]; !found {
			p.addChange(ActionNone, ObjectService, name, "does not exist")
			continue
		}
		delete(p.servicesByName, name)
		p.addChange(ActionWithdraw, ObjectService, name, "")
	}
}

func (p *planner) addService(added AddedServiceDoc) {
	doc := added.serviceDoc()
	if current, found := p.servicesByName[added.Name]; found {
		doc.Number = current.Number
		if !doc.Equal(current) {
			p.addError(ErrContentDiffers, ObjectService, added.Name)
			return
		}
		p.addChange(ActionNone, ObjectService, added.Name, "exists already")
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
		current, found := p.copiesByName[added.Name]
		switch {
		case !found:
			p.copiesByName[added.Name] = added
			p.addChange(ActionAdd, ObjectCopy, added.Name, "of "+added.Service+" in "+added.Domain)
		case current == added:
			p.addChange(ActionNone, ObjectCopy, added.Name, "exists already")
		default:
			p.addError(ErrContentDiffers, ObjectCopy, added.Name)
		}
	}
	for _, changed := range d.Changed {
		p.changeCopy(changed)
	}
	for _, name := range d.Withdrawn {
		if _, found := p.copiesByName[name]; !found {
			p.addChange(ActionNone, ObjectCopy, name, "does not exist")
			continue
		}
		delete(p.copiesByName, name)
		p.addChange(ActionWithdraw, ObjectCopy, name, "")
	}
}

func (p *planner) changeCopy(changed ChangedCopyDoc) {
	current, found := p.copiesByName[changed.Name]
	if !found {
		p.addError(ErrNotFound, ObjectCopy, changed.Name)
		return
	}
	next := current
	if changed.Domain != nil {
		next.Domain = *changed.Domain
	}
	if changed.Draining != nil {
		next.Draining = *changed.Draining
	}
	if next == current {
		p.addChange(ActionNone, ObjectCopy, changed.Name, "is already in the requested state")
		return
	}
	p.copiesByName[changed.Name] = next
	p.addChange(ActionChange, ObjectCopy, changed.Name, describeCopyChange(current, next))
}

// describeCopyChange lists the fields that differ between two states of a copy.
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
			p.addChange(ActionNone, ObjectDomain, name, "does not exist")
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
	if current, found := p.domainsByName[added.Name]; found {
		if current.Region != added.Region {
			p.addError(ErrContentDiffers, ObjectDomain, added.Name)
			return
		}
		p.addChange(ActionNone, ObjectDomain, added.Name, "exists already")
		return
	}
	number := p.nextNumbers.NextDomain
	if number > lentilconfig.MaxDomainNumber {
		p.addError(ErrNumbersExhausted, ObjectDomain, added.Name)
		return
	}
	p.nextNumbers.NextDomain++
	p.domainsByName[added.Name] = lentilconfig.DomainDoc{Name: added.Name, Number: number, Region: added.Region}
	p.addChange(ActionAdd, ObjectDomain, added.Name, fmt.Sprintf("number %d, region %s", number, added.Region))
}

func (p *planner) setDomainOut(name string, out bool, action Action) {
	current, found := p.domainsByName[name]
	if !found {
		p.addError(ErrNotFound, ObjectDomain, name)
		return
	}
	if current.Out == out {
		p.addChange(ActionNone, ObjectDomain, name, "is already in the requested state")
		return
	}
	current.Out = out
	p.domainsByName[name] = current
	p.addChange(action, ObjectDomain, name, "")
}
