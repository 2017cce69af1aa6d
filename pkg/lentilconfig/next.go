package lentilconfig

import (
	"maps"
	"slices"
	"strings"

	"lentilstair.example/lentilstair/pkg/lentilid"
)

// successor builds a configuration out of the one before and of what changed.
type successor struct {
	from   Configuration
	next   Configuration
	change DeltaDoc
	// domains are the numbers of the failure domains by name.
	domains map[string]lentilid.Domain
	// leaving names the copies whose former entry no longer holds.
	leaving map[string]bool
	// arriving are the new entries of copies by the number of their service.
	arriving map[lentilid.Service][]*Copy
}

// next returns the configuration of a canonical document to which the change
// leads from c, and shares with c what is unchanged. Only the change is checked:
// the rest was found free of faults together with c. The document must hold what
// c holds without the change's drops and with its puts.
//
// It is not ok if the document has a fault or if the change is of a rare kind; New
// then tells. Where it is ok, New returns an equal configuration.
func (c Configuration) next(document Document, change DeltaDoc) (next Configuration, ok bool) {
	raised := c.document.NextService > 0 && document.NextService >= c.document.NextService
	if !raised || !headless(document) || !c.keepsDomains(document) {
		return Configuration{}, false
	}
	s := &successor{from: c, change: change, next: Configuration{
		document: document,
		services: maps.Clone(c.services),
		copies:   maps.Clone(c.copies),
		domains:  make(map[lentilid.Domain]*Domain, len(document.Domains)),
		names:    maps.Clone(c.names),
		serving:  maps.Clone(c.serving),
	}}
	s.indexDomains()
	if !s.changeServices() || !s.changeCopies() {
		return Configuration{}, false
	}
	s.changeServing()
	return s.next, s.complete()
}

// headless reports whether what isn't a service or a copy is free of faults.
func headless(document Document) bool {
	c := &checker{}
	c.sizes(document)
	c.domains(document)
	return len(c.faults) == 0
}

// keepsDomains reports whether each failure domain keeps its name and number, on
// which copies rely.
func (c Configuration) keepsDomains(document Document) bool {
	kept := 0
	for _, doc := range document.Domains {
		if former := c.domains[doc.Number]; former != nil && former.Name() == doc.Name {
			kept++
		}
	}
	return kept == len(c.domains)
}

func (s *successor) indexDomains() {
	s.domains = make(map[string]lentilid.Domain, len(s.next.document.Domains))
	for _, doc := range s.next.document.Domains {
		s.next.domains[doc.Number] = &Domain{doc: doc}
		s.domains[doc.Name] = doc.Number
	}
}

// changeServices indexes the changed services. It reports false for a fault and
// for a service that changes its number.
func (s *successor) changeServices() (ok bool) {
	for _, name := range s.change.DropServices {
		if former := s.from.names[name]; former != nil {
			delete(s.next.services, former.Number())
			delete(s.next.names, name)
		}
	}
	faults := &checker{}
	for i, doc := range s.change.PutServices {
		entry := entryChecker{checker: faults, list: "services", i: i}
		entry.service(doc)
		entry.number(doc.Number, s.next.document.NextService, false) // complete tells whether it is taken
		former := s.from.names[doc.Name]
		if former != nil && former.Number() != doc.Number {
			return false
		}
		service := &Service{doc: doc}
		s.next.services[doc.Number] = service
		s.next.names[doc.Name] = service
	}
	return len(faults.faults) == 0 && s.portsDiffer()
}

// portsDiffer reports whether no two services have the same port.
func (s *successor) portsDiffer() bool {
	if len(s.change.PutServices) == 0 {
		return true
	}
	taken := make([]bool, 1<<16)
	for _, doc := range s.next.document.Services {
		if taken[doc.Address.Port()] {
			return false
		}
		taken[doc.Address.Port()] = true
	}
	return true
}

// changeCopies indexes the changed copies. It reports false for a fault.
func (s *successor) changeCopies() (ok bool) {
	s.leaving = make(map[string]bool, len(s.change.PutCopies)+len(s.change.DropCopies))
	s.arriving = make(map[lentilid.Service][]*Copy)
	for _, name := range s.change.DropCopies {
		s.leaving[name] = true
		delete(s.next.copies, name)
	}
	for _, doc := range s.change.PutCopies {
		service := s.next.names[doc.Service]
		domain, found := s.domains[doc.Domain]
		if service == nil || !found || !ValidName(doc.Name) {
			return false
		}
		s.leaving[doc.Name] = true
		licensed := &Copy{doc: doc, service: service.Number(), domain: domain}
		s.next.copies[doc.Name] = licensed
		s.arriving[licensed.service] = append(s.arriving[licensed.service], licensed)
	}
	return s.noneLeftBehind()
}

// noneLeftBehind reports whether each copy of a dropped service changes too.
func (s *successor) noneLeftBehind() bool {
	for _, name := range s.change.DropServices {
		former := s.from.names[name]
		if former == nil || s.next.names[name] != nil {
			continue
		}
		for _, licensed := range s.from.serving[former.Number()] {
			if !s.leaving[licensed.Name()] {
				return false
			}
		}
	}
	return true
}

// changeServing lists the copies anew of those services that lose or get one.
func (s *successor) changeServing() {
	affected := make(map[lentilid.Service]bool)
	for number := range s.arriving {
		affected[number] = true
	}
	for name := range s.leaving {
		if former := s.from.copies[name]; former != nil {
			affected[former.service] = true
		}
	}
	for number := range affected {
		if list := s.list(number); len(list) > 0 {
			s.next.serving[number] = list
		} else {
			delete(s.next.serving, number)
		}
	}
}

// list returns the copies of a service by name, as the document has them.
func (s *successor) list(number lentilid.Service) (list []*Copy) {
	for _, licensed := range s.from.serving[number] {
		if !s.leaving[licensed.Name()] {
			list = append(list, licensed)
		}
	}
	list = append(list, s.arriving[number]...)
	slices.SortFunc(list, func(a, b *Copy) int { return strings.Compare(a.Name(), b.Name()) })
	return list
}

// complete reports whether the document has just the entries that are indexed: an
// index is shorter than the document's list if a name or a number is used twice.
func (s *successor) complete() bool {
	document := s.next.document
	return len(s.next.names) == len(document.Services) &&
		len(s.next.services) == len(document.Services) &&
		len(s.next.copies) == len(document.Copies)
}

// effective returns what the delta changes, as a comparison of c's document with
// the outcome would tell: without what changes nothing, in order.
func (c Configuration) effective(outcome Document, delta DeltaDoc) (change DeltaDoc) {
	change = delta
	change.Recent = marksAfter(outcome.Recent, c.Version())
	change.PutServices, change.DropServices = effectiveChanges(delta.PutServices, delta.DropServices, ServiceDoc.key, ServiceDoc.Equal,
		func(name string) (doc ServiceDoc, found bool) {
			if held := c.names[name]; held != nil {
				return held.doc, true
			}
			return ServiceDoc{}, false
		})
	change.PutCopies, change.DropCopies = effectiveChanges(delta.PutCopies, delta.DropCopies, CopyDoc.key, equal[CopyDoc],
		func(name string) (doc CopyDoc, found bool) {
			if held := c.copies[name]; held != nil {
				return held.doc, true
			}
			return CopyDoc{}, false
		})
	change.PutDomains, change.DropDomains = compare(c.document.Domains, outcome.Domains, DomainDoc.key, equal[DomainDoc])
	return change
}

// effectiveChanges keeps the puts that differ from what is held and the drops of
// what is held and isn't put again.
func effectiveChanges[T any](put []T, drop []string, key func(T) string, same func(a, b T) bool, held func(name string) (T, bool)) (puts []T, drops []string) {
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
