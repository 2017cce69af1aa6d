package lentilconfig

import (
	"fmt"
	"net/netip"
	"regexp"
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

// nameForm is the form of the names of services, copies, failure domains and regions.
var nameForm = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

// ValidName reports whether a name has the form that services, copies, failure
// domains and regions share: up to 63 lower-case letters, digits, "-" and ".".
func ValidName(name string) bool { return nameForm.MatchString(name) }

// checker collects the faults of a document.
type checker struct{ faults []Fault }

func (c *checker) add(ok bool, path, reason, example string) {
	if !ok {
		c.faults = append(c.faults, Fault{Path: path, Reason: reason, Example: example})
	}
}

func (c *checker) name(path, name, example string) {
	if !ValidName(name) {
		c.add(false, path, fmt.Sprintf("%q is not 1 to 63 lower-case letters, digits, \"-\" and \".\"", name), example)
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
			c.add(false, path, fmt.Sprintf("has %d entries, more than %d", count, most), "at most "+strconv.Itoa(most)+" entries")
		}
	}
	bounded("services", len(d.Services), ServicesMax)
	bounded("copies", len(d.Copies), CopiesMax)
	bounded("domains", len(d.Domains), DomainsMax)
	bounded("recent", len(d.Recent), RecentMax)
	c.add(len(d.NoteID) <= NoteIDMax, "noteId", "is too long", `"2026-05-04-castelbuono"`)
}

func (c *checker) domains(d Document) (names map[string]bool) {
	names = make(map[string]bool, len(d.Domains))
	numbers := make(map[lentilid.Domain]bool, len(d.Domains))
	for i, doc := range d.Domains {
		path := "domains[" + strconv.Itoa(i) + "]"
		c.name(path+".name", doc.Name, `"palermo"`)
		c.name(path+".region", doc.Region, `"sicilia"`)
		c.add(!names[doc.Name], path+".name", "is the name of an earlier failure domain", `"catania"`)
		c.add(doc.Number > 0 && doc.Number <= DomainNumberMax, path+".number", "is not within 1 to 254", "1")
		c.add(!numbers[doc.Number], path+".number", "is the number of an earlier failure domain", "2")
		c.add(d.NextDomain == 0 || doc.Number < d.NextDomain, path+".number", "is not below nextDomain", "1")
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
		path := "services[" + strconv.Itoa(i) + "]"
		c.service(path, doc)
		c.add(!names[doc.Name], path+".name", "is the name of an earlier service", `"catalogo"`)
		c.add(doc.Number > 0 && doc.Number <= ServiceNumberMax, path+".number", "is not within 1 to 65534", "1")
		c.add(!numbers[doc.Number], path+".number", "is the number of an earlier service", "2")
		c.add(d.NextService == 0 || doc.Number < d.NextService, path+".number", "is not below nextService", "1")
		// Balancers tell services apart by the port on which they listen.
		if other, taken := ports[doc.Address.Port()]; taken {
			c.add(false, path+".address", "has the port of service "+other, `"192.0.2.10:8444"`)
		}
		names[doc.Name] = true
		numbers[doc.Number] = true
		ports[doc.Address.Port()] = doc.Name
	}
	return names
}

func (c *checker) service(path string, doc ServiceDoc) {
	c.name(path+".name", doc.Name, `"iscrizioni"`)
	c.add(validAddress(doc.Address), path+".address", "is not an IP number with a port", `"192.0.2.10:8443"`)
	c.add(doc.Slots > 0 && doc.Slots <= SlotsMax, path+".slots", "is not within 1 to 10000", "2")
	c.add(doc.Connections > 0 && doc.Connections <= ConnectionsMax, path+".connections", "is not within 1 to 1000000", "2000")
	c.add(len(doc.Rules) <= RulesMax, path+".rules", "has more than 64 rules", "at most 64 rules")
	prefixes := make(map[string]bool, len(doc.Rules))
	for i, rule := range doc.Rules {
		rulePath := path + ".rules[" + strconv.Itoa(i) + "]"
		c.rule(rulePath, rule)
		c.add(!prefixes[rule.Prefix], rulePath+".prefix", "is the prefix of an earlier rule", `"/enrolments"`)
		prefixes[rule.Prefix] = true
	}
}

func (c *checker) rule(path string, rule RuleDoc) {
	rooted := strings.HasPrefix(rule.Prefix, "/")
	c.add(rooted, path+".prefix", `does not begin with "/"`, `"/enrolments"`)
	c.add(len(rule.Prefix) <= PrefixMax, path+".prefix", "is longer than 256 bytes", `"/enrolments"`)
	c.add(kindNames[rule.Kind] != 0, path+".kind", `is not "stream", "repeatable" or "once"`, `"once"`)
}

func (c *checker) copies(d Document, services, domains map[string]bool) {
	names := make(map[string]bool, len(d.Copies))
	for i, doc := range d.Copies {
		path := "copies[" + strconv.Itoa(i) + "]"
		c.name(path+".name", doc.Name, `"iscrizioni-1"`)
		c.add(!names[doc.Name], path+".name", "is the name of an earlier copy", `"iscrizioni-2"`)
		if !services[doc.Service] {
			c.add(false, path+".service", fmt.Sprintf("%q is not the name of a service", doc.Service), `"iscrizioni"`)
		}
		if !domains[doc.Domain] {
			c.add(false, path+".domain", fmt.Sprintf("%q is not the name of a failure domain", doc.Domain), `"palermo"`)
		}
		names[doc.Name] = true
	}
}

func validAddress(address netip.AddrPort) bool {
	return address.IsValid() && address.Port() != 0 && !address.Addr().IsMulticast()
}
