package lentilconfig

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"lentilstair.example/lentilstair/pkg/lentilid"
)

// Bounds of a document. They keep every object of the platform below its limit
// and the numbers within the width that packets give them.
const (
	// ServicesMax is how many services a document holds at most.
	ServicesMax = 30_000
	// CopiesMax is how many copies a document holds at most.
	CopiesMax = 100_000
	// DomainsMax is how many failure domains a document holds at most.
	DomainsMax = 200
	// RulesMax is how many rules a service has at most.
	RulesMax = 64
	// RecentMax is how many recent notes a document names at most.
	RecentMax = 256
	// PrefixMax is the length of a rule's prefix in bytes, at most.
	PrefixMax = 256
	// SlotsMax is how many requests a copy works on at once, at most.
	SlotsMax = 10_000
	// ConnectionsMax is how many streams a copy holds at once, at most.
	ConnectionsMax = 1_000_000
	// ServiceNumberMax is the highest number of a service.
	ServiceNumberMax = 1<<16 - 2
	// DomainNumberMax is the highest number of a failure domain.
	DomainNumberMax = 1<<8 - 2
	// NoteIDMax is the length of a note's id in bytes, at most.
	NoteIDMax = 64
)

// nameMax is the length of a name in bytes, at most.
const nameMax = 63

// ValidName reports whether a name has the form that services, copies, failure
// domains and regions share: up to 63 lower-case letters, digits, "-" and ".",
// with a letter or digit at both ends.
func ValidName(name string) bool {
	if name == "" || len(name) > nameMax {
		return false
	}
	for i := range len(name) {
		if !plain(name[i]) && name[i] != '-' && name[i] != '.' {
			return false
		}
	}
	return plain(name[0]) && plain(name[len(name)-1])
}

// plain reports whether a byte is a lower-case letter or a digit.
func plain(b byte) bool { return b >= 'a' && b <= 'z' || b >= '0' && b <= '9' }

// checker collects the faults of a document.
type checker struct{ faults []Fault }

func (c *checker) add(path, reason, example string) {
	c.faults = append(c.faults, Fault{Path: path, Reason: reason, Example: example})
}

// field names a field of an entry, such as "copies[3].name". Paths are made only
// for faults, since a check of the largest document is part of each change.
func field(list string, i int, name string) string {
	return list + "[" + strconv.Itoa(i) + "]." + name
}

// entryChecker checks the entries of one list.
type entryChecker struct {
	*checker
	list string
	i    int
}

// fault records a fault of a field of the entry unless ok.
func (e entryChecker) fault(ok bool, name, reason, example string) {
	if !ok {
		e.add(field(e.list, e.i, name), reason, example)
	}
}

func (e entryChecker) name(name, value, example string) {
	if !ValidName(value) {
		reason := fmt.Sprintf("%q is not 1 to 63 lower-case letters, digits, \"-\" and \".\"", value)
		e.add(field(e.list, e.i, name), reason, example)
	}
}

// Check reports every fault of the document in a *FaultError.
func (d Document) Check() (err error) {
	c := &checker{}
	c.sizes(d)
	domains := c.domains(d)
	services := c.services(d)
	c.copies(d, services, domains)
	return NewFaultError(c.faults)
}

func (c *checker) sizes(d Document) {
	bounded := func(path string, count, most int) {
		if count > most {
			c.add(path, fmt.Sprintf("has %d entries, more than %d", count, most), "at most "+strconv.Itoa(most)+" entries")
		}
	}
	bounded("services", len(d.Services), ServicesMax)
	bounded("copies", len(d.Copies), CopiesMax)
	bounded("domains", len(d.Domains), DomainsMax)
	bounded("recent", len(d.Recent), RecentMax)
	if len(d.NoteID) > NoteIDMax {
		c.add("noteId", "is longer than 64 bytes", `"2026-05-04-castelbuono"`)
	}
}

func (c *checker) domains(d Document) (names map[string]bool) {
	names = make(map[string]bool, len(d.Domains))
	numbers := make(map[lentilid.Domain]bool, len(d.Domains))
	for i, doc := range d.Domains {
		entry := entryChecker{checker: c, list: "domains", i: i}
		entry.name("name", doc.Name, `"palermo"`)
		entry.name("region", doc.Region, `"sicilia"`)
		entry.fault(!names[doc.Name], "name", "is the name of an earlier failure domain", `"catania"`)
		entry.fault(doc.Number > 0 && doc.Number <= DomainNumberMax, "number", "is not within 1 to 254", "1")
		entry.fault(!numbers[doc.Number], "number", "is the number of an earlier failure domain", "2")
		entry.fault(d.NextDomain == 0 || doc.Number < d.NextDomain, "number", "is not below nextDomain", "1")
		names[doc.Name] = true
		numbers[doc.Number] = true
	}
	return names
}

func (c *checker) services(d Document) (names map[string]bool) {
	names = make(map[string]bool, len(d.Services))
	numbers := make(map[lentilid.Service]bool, len(d.Services))
	ports := make(map[uint16]string, len(d.Services))
	for i, doc := range d.Services {
		entry := entryChecker{checker: c, list: "services", i: i}
		entry.service(doc)
		entry.fault(!names[doc.Name], "name", "is the name of an earlier service", `"catalogo"`)
		entry.number(doc.Number, d.NextService, numbers[doc.Number])
		// Balancers tell services apart by the port on which they listen.
		if other, taken := ports[doc.Address.Port()]; taken {
			entry.fault(false, "address", "has the port of service "+other, `"192.0.2.10:8444"`)
		}
		names[doc.Name] = true
		numbers[doc.Number] = true
		ports[doc.Address.Port()] = doc.Name
	}
	return names
}

// number checks the number of a service, which lies below next if that is set.
func (e entryChecker) number(number, next lentilid.Service, taken bool) {
	e.fault(number > 0 && number <= ServiceNumberMax, "number", "is not within 1 to 65534", "1")
	e.fault(!taken, "number", "is the number of an earlier service", "2")
	e.fault(next == 0 || number < next, "number", "is not below nextService", "1")
}

func (e entryChecker) service(doc ServiceDoc) {
	e.name("name", doc.Name, `"iscrizioni"`)
	e.fault(validAddress(doc.Address), "address", "is not an IP number with a port", `"192.0.2.10:8443"`)
	e.fault(doc.Slots > 0 && doc.Slots <= SlotsMax, "slots", "is not within 1 to 10000", "2")
	e.fault(doc.Connections > 0 && doc.Connections <= ConnectionsMax, "connections", "is not within 1 to 1000000", "2000")
	e.fault(len(doc.Rules) <= RulesMax, "rules", "has more than 64 rules", "at most 64 rules")
	for i, rule := range doc.Rules {
		e.rule(i, rule)
		earlier := slices.ContainsFunc(doc.Rules[:i], func(other RuleDoc) bool { return other.Prefix == rule.Prefix })
		if earlier {
			e.fault(false, field("rules", i, "prefix"), "is the prefix of an earlier rule", `"/enrolments"`)
		}
	}
}

func (e entryChecker) rule(i int, rule RuleDoc) {
	if !strings.HasPrefix(rule.Prefix, "/") {
		e.fault(false, field("rules", i, "prefix"), `does not begin with "/"`, `"/enrolments"`)
	}
	if len(rule.Prefix) > PrefixMax {
		e.fault(false, field("rules", i, "prefix"), "is longer than 256 bytes", `"/enrolments"`)
	}
	if kindNames[rule.Kind] == 0 {
		e.fault(false, field("rules", i, "kind"), `is not "stream", "repeatable" or "once"`, `"once"`)
	}
}

func (c *checker) copies(d Document, services, domains map[string]bool) {
	names := make(map[string]bool, len(d.Copies))
	for i, doc := range d.Copies {
		entry := entryChecker{checker: c, list: "copies", i: i}
		entry.name("name", doc.Name, `"iscrizioni-1"`)
		entry.fault(!names[doc.Name], "name", "is the name of an earlier copy", `"iscrizioni-2"`)
		if !services[doc.Service] {
			entry.fault(false, "service", fmt.Sprintf("%q is not the name of a service", doc.Service), `"iscrizioni"`)
		}
		if !domains[doc.Domain] {
			entry.fault(false, "domain", fmt.Sprintf("%q is not the name of a failure domain", doc.Domain), `"palermo"`)
		}
		names[doc.Name] = true
	}
}

func validAddress(address netip.AddrPort) bool {
	return address.IsValid() && address.Port() != 0 && !address.Addr().IsMulticast() && !address.Addr().IsUnspecified()
}

// Faults returns the faults of the service as entry i of a list, apart from those
// that show only beside other entries.
func (d ServiceDoc) Faults(list string, i int) []Fault {
	c := &checker{}
	entryChecker{checker: c, list: list, i: i}.service(d)
	return c.faults
}
