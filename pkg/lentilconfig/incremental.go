package lentilconfig

import (
	"maps"
	"slices"
	"strings"

	"lentilstair.example/lentilstair/pkg/lentilid"
)

// incrementalBuilder builds a configuration from a base configuration and a delta.
type incrementalBuilder struct {
	base   Configuration
	result Configuration
	delta  DeltaDoc
	// domainNumbers maps the names of the failure domains to their numbers.
	domainNumbers map[string]lentilid.Domain
	// replacedCopies holds the names of the copies whose base entry is dropped or replaced.
	replacedCopies map[string]bool
	// newCopies holds the added and replaced copies by service number.
	newCopies map[lentilid.Service][]*Copy
}

// buildIncrementally returns the configuration for a canonical document that results
// from applying the delta to c's document. It shares unchanged entries with c. It
// validates only the changes, since the other entries were validated when c was built.
// The document must hold c's entries with the delta's drops and puts applied.
//
// It reports false if the document is invalid, or if the change is rare and isn't
// supported, such as a service or failure domain with another number. The caller then
// uses New, which returns the errors. If it reports true, New would return an equal
// configuration.
func (c Configuration) buildIncrementally(document Document, delta DeltaDoc) (next Configuration, ok bool) {
	notLowered := c.document.NextService > 0 && document.NextService >= c.document.NextService
	if !notLowered || !headValid(document) || !c.keepsDomainNumbers(document) {
		return Configuration{}, false
	}
	b := &incrementalBuilder{base: c, delta: delta, result: Configuration{
		document:        document,
		services:        maps.Clone(c.services),
		copies:          maps.Clone(c.copies),
		domains:         make(map[lentilid.Domain]*Domain, len(document.Domains)),
		servicesByName:  maps.Clone(c.servicesByName),
		copiesByService: maps.Clone(c.copiesByService),
	}}
	b.indexDomains()
	if !b.indexServices() || !b.indexCopies() {
		return Configuration{}, false
	}
	b.indexCopiesByService()
	return b.result, b.noDuplicates()
}

// headValid reports whether the parts other than services and copies are valid.
func headValid(document Document) bool {
	c := &checker{}
	c.checkSizes(document)
	c.checkDomains(document)
	return len(c.fieldErrors) == 0
}

// keepsDomainNumbers reports whether the document has all failure domains of c under
// the same names and numbers. Copies that are not indexed again refer to them.
func (c Configuration) keepsDomainNumbers(document Document) bool {
	kept := 0
	for _, doc := range document.Domains {
		if previous := c.domains[doc.Number]; previous != nil && previous.Name() == doc.Name {
			kept++
		}
	}
	return kept == len(c.domains)
}

func (b *incrementalBuilder) indexDomains() {
	b.domainNumbers = make(map[string]lentilid.Domain, len(b.result.document.Domains))
	for _, doc := range b.result.document.Domains {
		b.result.domains[doc.Number] = &Domain{doc: doc}
		b.domainNumbers[doc.Name] = doc.Number
	}
}

// indexServices indexes the changed services. It reports false if one is invalid or
// has another number than before, or if two services have the same port.
func (b *incrementalBuilder) indexServices() (ok bool) {
	for _, name := range b.delta.DropServices {
		if previous := b.base.servicesByName[name]; previous != nil {
			delete(b.result.services, previous.Number())
			delete(b.result.servicesByName, name)
		}
	}
	c := &checker{}
	for i, doc := range b.delta.PutServices {
		entry := entryChecker{checker: c, list: "services", index: i}
		entry.checkService(doc)
		entry.checkNumber(doc.Number, b.result.document.NextService, false) // noDuplicates detects numbers that are taken
		previous := b.base.servicesByName[doc.Name]
		if previous != nil && previous.Number() != doc.Number {
			return false
		}
		service := &Service{doc: doc}
		b.result.services[doc.Number] = service
		b.result.servicesByName[doc.Name] = service
	}
	return len(c.fieldErrors) == 0 && b.portsUnique()
}

// portsUnique reports whether no two services have the same port.
func (b *incrementalBuilder) portsUnique() bool {
	if len(b.delta.PutServices) == 0 {
		return true
	}
	taken := make([]bool, 1<<16)
	for _, doc := range b.result.document.Services {
		if taken[doc.Address.Port()] {
			return false
		}
		taken[doc.Address.Port()] = true
	}
	return true
}

// indexCopies indexes the changed copies. It reports false if one is invalid or if a
// dropped service still has copies.
func (b *incrementalBuilder) indexCopies() (ok bool) {
	b.replacedCopies = make(map[string]bool, len(b.delta.PutCopies)+len(b.delta.DropCopies))
	b.newCopies = make(map[lentilid.Service][]*Copy)
	for _, name := range b.delta.DropCopies {
		b.replacedCopies[name] = true
		delete(b.result.copies, name)
	}
	for _, doc := range b.delta.PutCopies {
		service := b.result.servicesByName[doc.Service]
		domain, found := b.domainNumbers[doc.Domain]
		if service == nil || !found || !ValidName(doc.Name) {
			return false
		}
		b.replacedCopies[doc.Name] = true
		licensedCopy := &Copy{doc: doc, service: service.Number(), domain: domain}
		b.result.copies[doc.Name] = licensedCopy
		b.newCopies[licensedCopy.service] = append(b.newCopies[licensedCopy.service], licensedCopy)
	}
	return b.noOrphanedCopies()
}

// noOrphanedCopies reports whether all copies of dropped services are dropped or replaced.
func (b *incrementalBuilder) noOrphanedCopies() bool {
	for _, name := range b.delta.DropServices {
		previous := b.base.servicesByName[name]
		if previous == nil || b.result.servicesByName[name] != nil {
			continue
		}
		for _, licensedCopy := range b.base.copiesByService[previous.Number()] {
			if !b.replacedCopies[licensedCopy.Name()] {
				return false
			}
		}
	}
	return true
}

// indexCopiesByService rebuilds the copy lists of the services that lose or gain a copy.
func (b *incrementalBuilder) indexCopiesByService() {
	affected := make(map[lentilid.Service]bool)
	for number := range b.newCopies {
		affected[number] = true
	}
	for name := range b.replacedCopies {
		if previous := b.base.copies[name]; previous != nil {
			affected[previous.service] = true
		}
	}
	for number := range affected {
		if list := b.copiesOf(number); len(list) > 0 {
			b.result.copiesByService[number] = list
		} else {
			delete(b.result.copiesByService, number)
		}
	}
}

// copiesOf returns the copies of a service sorted by name, as in a canonical document.
func (b *incrementalBuilder) copiesOf(number lentilid.Service) (list []*Copy) {
	for _, licensedCopy := range b.base.copiesByService[number] {
		if !b.replacedCopies[licensedCopy.Name()] {
			list = append(list, licensedCopy)
		}
	}
	list = append(list, b.newCopies[number]...)
	slices.SortFunc(list, func(a, b *Copy) int { return strings.Compare(a.Name(), b.Name()) })
	return list
}

// noDuplicates reports whether all names and numbers are unique. If a name or number
// occurs twice, an index has fewer entries than the document's list.
func (b *incrementalBuilder) noDuplicates() bool {
	document := b.result.document
	return len(b.result.servicesByName) == len(document.Services) &&
		len(b.result.services) == len(document.Services) &&
		len(b.result.copies) == len(document.Copies)
}

// normalizeDelta returns the delta as a comparison of c's document with the resulting
// document would give it: sorted, and without entries that change nothing.
func (c Configuration) normalizeDelta(result Document, delta DeltaDoc) (normalized DeltaDoc) {
	normalized = delta
	normalized.RecentNotes = notesAfter(result.RecentNotes, c.Version())
	normalized.PutServices, normalized.DropServices = normalizeEntries(delta.PutServices, delta.DropServices, ServiceDoc.key, ServiceDoc.Equal,
		func(name string) (doc ServiceDoc, found bool) {
			if current := c.servicesByName[name]; current != nil {
				return current.doc, true
			}
			return ServiceDoc{}, false
		})
	normalized.PutCopies, normalized.DropCopies = normalizeEntries(delta.PutCopies, delta.DropCopies, CopyDoc.key, equal[CopyDoc],
		func(name string) (doc CopyDoc, found bool) {
			if current := c.copies[name]; current != nil {
				return current.doc, true
			}
			return CopyDoc{}, false
		})
	normalized.PutDomains, normalized.DropDomains = diffEntries(c.document.Domains, result.Domains, DomainDoc.key, equal[DomainDoc])
	return normalized
}

// normalizeEntries keeps the puts that differ from the current entries, and the drops
// of current entries that aren't put again. The lookup function returns the current
// entry with a name.
func normalizeEntries[T any](put []T, drop []string, key func(T) string, same func(a, b T) bool, lookup func(name string) (T, bool)) (puts []T, drops []string) {
	restored := make(map[string]bool, len(put))
	for _, entry := range put {
		restored[key(entry)] = true
		current, found := lookup(key(entry))
		if !found || !same(current, entry) {
			puts = append(puts, entry)
		}
	}
	for _, name := range drop {
		if _, found := lookup(name); found && !restored[name] {
			drops = append(drops, name)
		}
	}
	slices.SortFunc(puts, func(a, b T) int { return strings.Compare(key(a), key(b)) })
	slices.Sort(drops)
	return puts, slices.Compact(drops)
}
