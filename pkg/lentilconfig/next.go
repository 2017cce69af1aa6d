package lentilconfig

import (
	"maps"
	"slices"
	"strings"

	"lentilstair.example/lentilstair/pkg/lentilid"
)

// incrementalBuilder builds a configuration out of the one before and of what changed.
type incrementalBuilder struct {
	base   Configuration
	result Configuration
	delta  DeltaDoc
	// domainNumbers are the numbers of the failure domainNumbers by name.
	domainNumbers map[string]lentilid.Domain
	// replacedCopies names the copies whose former entry no longer holds.
	replacedCopies map[string]bool
	// newCopies are the new entries of copies by the number of their service.
	newCopies map[lentilid.Service][]*Copy
}

// buildIncrementally returns the configuration of a canonical document to which the change
// leads from c, and shares with c what is unchanged. Only the change is checked:
// the rest was found free of faults together with c. The document must hold what
// c holds without the change's drops and with its puts.
//
// It is not ok if the document has a fault or if the change is of a rare kind; New
// then tells. Where it is ok, New returns an equal configuration.
func (c Configuration) buildIncrementally(document Document, change DeltaDoc) (next Configuration, ok bool) {
	raised := c.document.NextService > 0 && document.NextService >= c.document.NextService
	if !raised || !headValid(document) || !c.keepsDomainNumbers(document) {
		return Configuration{}, false
	}
	s := &incrementalBuilder{base: c, delta: change, result: Configuration{
		document:        document,
		services:        maps.Clone(c.services),
		copies:          maps.Clone(c.copies),
		domains:         make(map[lentilid.Domain]*Domain, len(document.Domains)),
		servicesByName:  maps.Clone(c.servicesByName),
		copiesByService: maps.Clone(c.copiesByService),
	}}
	s.indexDomains()
	if !s.indexServices() || !s.indexCopies() {
		return Configuration{}, false
	}
	s.indexCopiesByService()
	return s.result, s.noDuplicates()
}

// headValid reports whether what isn't a service or a copy is free of faults.
func headValid(document Document) bool {
	c := &checker{}
	c.checkSizes(document)
	c.checkDomains(document)
	return len(c.fieldErrors) == 0
}

// keepsDomainNumbers reports whether each failure domain keeps its name and number, on
// which copies rely.
func (c Configuration) keepsDomainNumbers(document Document) bool {
	kept := 0
	for _, doc := range document.Domains {
		if former := c.domains[doc.Number]; former != nil && former.Name() == doc.Name {
			kept++
		}
	}
	return kept == len(c.domains)
}

func (s *incrementalBuilder) indexDomains() {
	s.domainNumbers = make(map[string]lentilid.Domain, len(s.result.document.Domains))
	for _, doc := range s.result.document.Domains {
		s.result.domains[doc.Number] = &Domain{doc: doc}
		s.domainNumbers[doc.Name] = doc.Number
	}
}

// indexServices indexes the changed services. It reports false for a fault and
// for a service that changes its number.
func (s *incrementalBuilder) indexServices() (ok bool) {
	for _, name := range s.delta.DropServices {
		if former := s.base.servicesByName[name]; former != nil {
			delete(s.result.services, former.Number())
			delete(s.result.servicesByName, name)
		}
	}
	faults := &checker{}
	for i, doc := range s.delta.PutServices {
		entry := entryChecker{checker: faults, list: "services", index: i}
		entry.checkService(doc)
		entry.checkNumber(doc.Number, s.result.document.NextService, false) // complete tells whether it is taken
		former := s.base.servicesByName[doc.Name]
		if former != nil && former.Number() != doc.Number {
			return false
		}
		service := &Service{doc: doc}
		s.result.services[doc.Number] = service
		s.result.servicesByName[doc.Name] = service
	}
	return len(faults.fieldErrors) == 0 && s.portsUnique()
}

// portsUnique reports whether no two services have the same port.
func (s *incrementalBuilder) portsUnique() bool {
	if len(s.delta.PutServices) == 0 {
		return true
	}
	taken := make([]bool, 1<<16)
	for _, doc := range s.result.document.Services {
		if taken[doc.Address.Port()] {
			return false
		}
		taken[doc.Address.Port()] = true
	}
	return true
}

// indexCopies indexes the changed copies. It reports false for a fault.
func (s *incrementalBuilder) indexCopies() (ok bool) {
	s.replacedCopies = make(map[string]bool, len(s.delta.PutCopies)+len(s.delta.DropCopies))
	s.newCopies = make(map[lentilid.Service][]*Copy)
	for _, name := range s.delta.DropCopies {
		s.replacedCopies[name] = true
		delete(s.result.copies, name)
	}
	for _, doc := range s.delta.PutCopies {
		service := s.result.servicesByName[doc.Service]
		domain, found := s.domainNumbers[doc.Domain]
		if service == nil || !found || !ValidName(doc.Name) {
			return false
		}
		s.replacedCopies[doc.Name] = true
		licensed := &Copy{doc: doc, service: service.Number(), domain: domain}
		s.result.copies[doc.Name] = licensed
		s.newCopies[licensed.service] = append(s.newCopies[licensed.service], licensed)
	}
	return s.noOrphanedCopies()
}

// noOrphanedCopies reports whether each copy of a dropped service changes too.
func (s *incrementalBuilder) noOrphanedCopies() bool {
	for _, name := range s.delta.DropServices {
		former := s.base.servicesByName[name]
		if former == nil || s.result.servicesByName[name] != nil {
			continue
		}
		for _, licensed := range s.base.copiesByService[former.Number()] {
			if !s.replacedCopies[licensed.Name()] {
				return false
			}
		}
	}
	return true
}

// indexCopiesByService lists the copies anew of those services that lose or get one.
func (s *incrementalBuilder) indexCopiesByService() {
	affected := make(map[lentilid.Service]bool)
	for number := range s.newCopies {
		affected[number] = true
	}
	for name := range s.replacedCopies {
		if former := s.base.copies[name]; former != nil {
			affected[former.service] = true
		}
	}
	for number := range affected {
		if list := s.copiesOf(number); len(list) > 0 {
			s.result.copiesByService[number] = list
		} else {
			delete(s.result.copiesByService, number)
		}
	}
}

// copiesOf returns the copies of a service by name, as the document has them.
func (s *incrementalBuilder) copiesOf(number lentilid.Service) (list []*Copy) {
	for _, licensed := range s.base.copiesByService[number] {
		if !s.replacedCopies[licensed.Name()] {
			list = append(list, licensed)
		}
	}
	list = append(list, s.newCopies[number]...)
	slices.SortFunc(list, func(a, b *Copy) int { return strings.Compare(a.Name(), b.Name()) })
	return list
}

// noDuplicates reports whether the document has just the entries that are indexed: an
// index is shorter than the document's list if a name or a number is used twice.
func (s *incrementalBuilder) noDuplicates() bool {
	document := s.result.document
	return len(s.result.servicesByName) == len(document.Services) &&
		len(s.result.services) == len(document.Services) &&
		len(s.result.copies) == len(document.Copies)
}

// normalizeDelta returns what the delta changes, as a comparison of c's document with
// the outcome would tell: without what changes nothing, in order.
func (c Configuration) normalizeDelta(outcome Document, delta DeltaDoc) (change DeltaDoc) {
	change = delta
	change.RecentNotes = notesAfter(outcome.RecentNotes, c.Version())
	change.PutServices, change.DropServices = normalizeEntries(delta.PutServices, delta.DropServices, ServiceDoc.key, ServiceDoc.Equal,
		func(name string) (doc ServiceDoc, found bool) {
			if held := c.servicesByName[name]; held != nil {
				return held.doc, true
			}
			return ServiceDoc{}, false
		})
	change.PutCopies, change.DropCopies = normalizeEntries(delta.PutCopies, delta.DropCopies, CopyDoc.key, equal[CopyDoc],
		func(name string) (doc CopyDoc, found bool) {
			if held := c.copies[name]; held != nil {
				return held.doc, true
			}
			return CopyDoc{}, false
		})
	change.PutDomains, change.DropDomains = diffEntries(c.document.Domains, outcome.Domains, DomainDoc.key, equal[DomainDoc])
	return change
}

// normalizeEntries keeps the puts that differ from what is held and the drops of
// what is held and isn't put again.
func normalizeEntries[T any](put []T, drop []string, key func(T) string, same func(a, b T) bool, held func(name string) (T, bool)) (puts []T, drops []string) {
	restored := make(map[string]bool, len(put))
	for _, entry := range put {
		restored[key(entry)] = true
		former, found := held(key(entry))
		if !found || !same(former, entry) {
			puts = append(puts, entry)
		}
	}
	for _, name := range drop {
		if _, found := held(name); found && !restored[name] {
			drops = append(drops, name)
		}
	}
	slices.SortFunc(puts, func(a, b T) int { return strings.Compare(key(a), key(b)) })
	slices.Sort(drops)
	return puts, slices.Compact(drops)
}
