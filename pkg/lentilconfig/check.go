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
	// MaxServices is how many services a document holds at most.
	MaxServices = 30_000
	// MaxCopies is how many copies a document holds at most.
	MaxCopies = 100_000
	// MaxDomains is how many failure domains a document holds at most.
	MaxDomains = 200
	// MaxRules is how many rules a service has at most.
	MaxRules = 64
	// MaxRecentNotes is how many recent notes a document names at most.
	MaxRecentNotes = 256
	// MaxPrefixLength is the length of a rule's prefix in bytes, at most.
	MaxPrefixLength = 256
	// MaxSlots is how many requests a copy works on at once, at most.
	MaxSlots = 10_000
	// MaxConnections is how many streams a copy holds at once, at most.
	MaxConnections = 1_000_000
	// MaxServiceNumber is the highest number of a service.
	MaxServiceNumber = 1<<16 - 2
	// MaxDomainNumber is the highest number of a failure domain.
	MaxDomainNumber = 1<<8 - 2
	// MaxNoteIDLength is the length of a note's id in bytes, at most.
	MaxNoteIDLength = 64
)

// maxNameLength is the length of a name in bytes, at most.
const maxNameLength = 63

// ValidName reports whether a name has the form that services, copies, failure
// domains and regions share: up to 63 lower-case letters, digits, "-" and ".",
// with a letter or digit at both ends.
func ValidName(name string) bool {
	if name == "" || len(name) > maxNameLength {
		return false
	}
	for i := range len(name) {
		if !isLowerAlnum(name[i]) && name[i] != '-' && name[i] != '.' {
			return false
		}
	}
	return isLowerAlnum(name[0]) && isLowerAlnum(name[len(name)-1])
}

// isLowerAlnum reports whether a byte is a lower-case letter or a digit.
func isLowerAlnum(b byte) bool { return b >= 'a' && b <= 'z' || b >= '0' && b <= '9' }

// checker collects the faults of a document.
type checker struct{ fieldErrors []FieldError }

func (c *checker) addError(path, reason, example string) {
	c.fieldErrors = append(c.fieldErrors, FieldError{Path: path, Reason: reason, Example: example})
}

// fieldPath names a fieldPath of an entry, such as "copies[3].name". Paths are made only
// for faults, since a check of the largest document is part of each change.
func fieldPath(list string, i int, name string) string {
	return list + "[" + strconv.Itoa(i) + "]." + name
}

// entryChecker checks the entries of one list.
type entryChecker struct {
	*checker
	list  string
	index int
}

// require records a require of a field of the entry unless ok.
func (e entryChecker) require(ok bool, name, reason, example string) {
	if !ok {
		e.addError(fieldPath(e.list, e.index, name), reason, example)
	}
}

func (e entryChecker) checkName(name, value, example string) {
	if !ValidName(value) {
		reason := fmt.Sprintf("%q is not 1 to 63 lower-case letters, digits, \"-\" and \".\"", value)
		e.addError(fieldPath(e.list, e.index, name), reason, example)
	}
}

// Check reports every fault of the document in a *FaultError.
func (d Document) Check() (err error) {
	c := &checker{}
	c.checkSizes(d)
	domains := c.checkDomains(d)
	services := c.checkServices(d)
	c.checkCopies(d, services, domains)
	return NewValidationError(c.fieldErrors)
}

func (c *checker) checkSizes(d Document) {
	bounded := func(path string, count, most int) {
		if count > most {
			c.addError(path, fmt.Sprintf("has %d entries, more than %d", count, most), "at most "+strconv.Itoa(most)+" entries")
		}
	}
	bounded("services", len(d.Services), MaxServices)
	bounded("copies", len(d.Copies), MaxCopies)
	bounded("domains", len(d.Domains), MaxDomains)
	bounded("recent", len(d.RecentNotes), MaxRecentNotes)
	if len(d.NoteID) > MaxNoteIDLength {
		c.addError("noteId", "is longer than 64 bytes", `"2026-05-04-castelbuono"`)
	}
}

func (c *checker) checkDomains(d Document) (names map[string]bool) {
	names = make(map[string]bool, len(d.Domains))
	numbers := make(map[lentilid.Domain]bool, len(d.Domains))
	for i, doc := range d.Domains {
		entry := entryChecker{checker: c, list: "domains", index: i}
		entry.checkName("name", doc.Name, `"palermo"`)
		entry.checkName("region", doc.Region, `"sicilia"`)
		entry.require(!names[doc.Name], "name", "is the name of an earlier failure domain", `"catania"`)
		entry.require(doc.Number > 0 && doc.Number <= MaxDomainNumber, "number", "is not within 1 to 254", "1")
		entry.require(!numbers[doc.Number], "number", "is the number of an earlier failure domain", "2")
		entry.require(d.NextDomain == 0 || doc.Number < d.NextDomain, "number", "is not below nextDomain", "1")
		names[doc.Name] = true
		numbers[doc.Number] = true
	}
	return names
}

func (c *checker) checkServices(d Document) (names map[string]bool) {
	names = make(map[string]bool, len(d.Services))
	numbers := make(map[lentilid.Service]bool, len(d.Services))
	ports := make(map[uint16]string, len(d.Services))
	for i, doc := range d.Services {
		entry := entryChecker{checker: c, list: "services", index: i}
		entry.checkService(doc)
		entry.require(!names[doc.Name], "name", "is the name of an earlier service", `"catalogo"`)
		entry.checkNumber(doc.Number, d.NextService, numbers[doc.Number])
		// Balancers tell services apart by the port on which they listen.
		if other, taken := ports[doc.Address.Port()]; taken {
			entry.require(false, "address", "has the port of service "+other, `"192.0.2.10:8444"`)
		}
		names[doc.Name] = true
		numbers[doc.Number] = true
		ports[doc.Address.Port()] = doc.Name
	}
	return names
}

// checkNumber checks the checkNumber of a service, which lies below next if that is set.
func (e entryChecker) checkNumber(number, next lentilid.Service, taken bool) {
	e.require(number > 0 && number <= MaxServiceNumber, "number", "is not within 1 to 65534", "1")
	e.require(!taken, "number", "is the number of an earlier service", "2")
	e.require(next == 0 || number < next, "number", "is not below nextService", "1")
}

func (e entryChecker) checkService(doc ServiceDoc) {
	e.checkName("name", doc.Name, `"iscrizioni"`)
	e.require(validAddress(doc.Address), "address", "is not an IP number with a port", `"192.0.2.10:8443"`)
	e.require(doc.Slots > 0 && doc.Slots <= MaxSlots, "slots", "is not within 1 to 10000", "2")
	e.require(doc.Connections > 0 && doc.Connections <= MaxConnections, "connections", "is not within 1 to 1000000", "2000")
	e.require(len(doc.Rules) <= MaxRules, "rules", "has more than 64 rules", "at most 64 rules")
	for i, rule := range doc.Rules {
		e.checkRule(i, rule)
		earlier := slices.ContainsFunc(doc.Rules[:i], func(other RuleDoc) bool { return other.Prefix == rule.Prefix })
		if earlier {
			e.require(false, fieldPath("rules", i, "prefix"), "is the prefix of an earlier rule", `"/enrolments"`)
		}
	}
}

func (e entryChecker) checkRule(i int, rule RuleDoc) {
	if !strings.HasPrefix(rule.Prefix, "/") {
		e.require(false, fieldPath("rules", i, "prefix"), `does not begin with "/"`, `"/enrolments"`)
	}
	if len(rule.Prefix) > MaxPrefixLength {
		e.require(false, fieldPath("rules", i, "prefix"), "is longer than 256 bytes", `"/enrolments"`)
	}
	if kindsByName[rule.Kind] == 0 {
		e.require(false, fieldPath("rules", i, "kind"), `is not "stream", "repeatable" or "once"`, `"once"`)
	}
}

func (c *checker) checkCopies(d Document, services, domains map[string]bool) {
	names := make(map[string]bool, len(d.Copies))
	for i, doc := range d.Copies {
		entry := entryChecker{checker: c, list: "copies", index: i}
		entry.checkName("name", doc.Name, `"iscrizioni-1"`)
		entry.require(!names[doc.Name], "name", "is the name of an earlier copy", `"iscrizioni-2"`)
		if !services[doc.Service] {
			entry.require(false, "service", fmt.Sprintf("%q is not the name of a service", doc.Service), `"iscrizioni"`)
		}
		if !domains[doc.Domain] {
			entry.require(false, "domain", fmt.Sprintf("%q is not the name of a failure domain", doc.Domain), `"palermo"`)
		}
		names[doc.Name] = true
	}
}

func validAddress(address netip.AddrPort) bool {
	return address.IsValid() && address.Port() != 0 && !address.Addr().IsMulticast() && !address.Addr().IsUnspecified()
}

// FieldErrors returns the faults of the service as entry i of a list, apart from those
// that show only beside other entries.
func (d ServiceDoc) FieldErrors(list string, i int) []FieldError {
	c := &checker{}
	entryChecker{checker: c, list: list, index: i}.checkService(d)
	return c.fieldErrors
}
