package lentilconfig

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"lentilstair.example/lentilstair/pkg/lentilid"
)

// Limits of a document. They keep every platform object below the platform's size
// limit, and numbers within the width of the packet fields that carry them.
const (
	// MaxServices is the maximum number of services in a document.
	MaxServices = 30_000
	// MaxCopies is the maximum number of copies in a document.
	MaxCopies = 100_000
	// MaxDomains is the maximum number of failure domains in a document.
	MaxDomains = 200
	// MaxRules is the maximum number of rules of a service.
	MaxRules = 64
	// MaxRecentNotes is the maximum number of recent notes in a document.
	MaxRecentNotes = 256
	// MaxPrefixLength is the maximum length of a rule's prefix in bytes.
	MaxPrefixLength = 256
	// MaxSlots is the maximum number of requests that a copy may process at once.
	MaxSlots = 10_000
	// MaxConnections is the maximum number of streams that a copy may hold at once.
	MaxConnections = 1_000_000
	// MaxServiceNumber is the highest allowed service number.
	MaxServiceNumber = 1<<16 - 2
	// MaxDomainNumber is the highest allowed failure domain number.
	MaxDomainNumber = 1<<8 - 2
	// MaxNoteIDLength is the maximum length of a note's ID in bytes.
	MaxNoteIDLength = 64
)

// maxNameLength is the maximum length of a name in bytes.
const maxNameLength = 63

// ValidName reports whether a name is valid for a service, copy, failure domain or
// region. It has at most 63 lower-case letters, digits, "-" and ".", and begins and
// ends with a letter or digit.
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

// checker validates a document and collects the errors of its fields.
type checker struct{ fieldErrors []FieldError }

func (c *checker) addError(path, reason, example string) {
	c.fieldErrors = append(c.fieldErrors, FieldError{Path: path, Reason: reason, Example: example})
}

// fieldPath returns the path of a field of a list entry, such as "copies[3].name".
// Callers build paths only for invalid fields, because each change may check a
// document of the largest size.
func fieldPath(list string, index int, name string) string {
	return list + "[" + strconv.Itoa(index) + "]." + name
}

// entryChecker checks one entry of a list.
type entryChecker struct {
	*checker
	list  string
	index int
}

// require records an error for a field of the entry unless ok is true.
func (e entryChecker) require(ok bool, field, reason, example string) {
	if !ok {
		e.addError(fieldPath(e.list, e.index, field), reason, example)
	}
}

// checkName checks that the field of the entry holds a valid name.
func (e entryChecker) checkName(field, value, example string) {
	if !ValidName(value) {
		reason := fmt.Sprintf("%q is not 1 to 63 lower-case letters, digits, \"-\" and \".\"", value)
		e.addError(fieldPath(e.list, e.index, field), reason, example)
	}
}

// Check validates the document. It returns all invalid fields in a *ValidationError.
func (d Document) Check() (err error) {
	c := &checker{}
	c.checkSizes(d)
	domains := c.checkDomains(d)
	services := c.checkServices(d)
	c.checkCopies(d, services, domains)
	return NewValidationError(c.fieldErrors)
}

func (c *checker) checkSizes(d Document) {
	checkLength := func(path string, length, limit int) {
		if length > limit {
			c.addError(path, fmt.Sprintf("has %d entries, more than %d", length, limit), "at most "+strconv.Itoa(limit)+" entries")
		}
	}
	checkLength("services", len(d.Services), MaxServices)
	checkLength("copies", len(d.Copies), MaxCopies)
	checkLength("domains", len(d.Domains), MaxDomains)
	checkLength("recent", len(d.RecentNotes), MaxRecentNotes)
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
		// Balancers distinguish services by the port on which they receive packets.
		if otherService, taken := ports[doc.Address.Port()]; taken {
			entry.require(false, "address", "uses the same port as service "+otherService, `"192.0.2.10:8444"`)
		}
		names[doc.Name] = true
		numbers[doc.Number] = true
		ports[doc.Address.Port()] = doc.Name
	}
	return names
}

// checkNumber checks the number of a service. If next is set, the number must be
// lower. The taken parameter is true if an earlier service has the number.
func (e entryChecker) checkNumber(number, next lentilid.Service, taken bool) {
	e.require(number > 0 && number <= MaxServiceNumber, "number", "is not within 1 to 65534", "1")
	e.require(!taken, "number", "is the number of an earlier service", "2")
	e.require(next == 0 || number < next, "number", "is not below nextService", "1")
}

func (e entryChecker) checkService(doc ServiceDoc) {
	e.checkName("name", doc.Name, `"iscrizioni"`)
	e.require(validAddress(doc.Address), "address", "is not an IP address with a port", `"192.0.2.10:8443"`)
	e.require(doc.Slots > 0 && doc.Slots <= MaxSlots, "slots", "is not within 1 to 10000", "2")
	e.require(doc.Connections > 0 && doc.Connections <= MaxConnections, "connections", "is not within 1 to 1000000", "2000")
	e.require(len(doc.Rules) <= MaxRules, "rules", "has more than 64 rules", "at most 64 rules")
	for i, rule := range doc.Rules {
		e.checkRule(i, rule)
		duplicate := slices.ContainsFunc(doc.Rules[:i], func(other RuleDoc) bool { return other.Prefix == rule.Prefix })
		if duplicate {
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

// FieldErrors validates the service as an entry of a list and returns its invalid
// fields. It omits the checks that compare the service with other entries.
func (d ServiceDoc) FieldErrors(list string, index int) []FieldError {
	c := &checker{}
	entryChecker{checker: c, list: list, index: index}.checkService(d)
	return c.fieldErrors
}
