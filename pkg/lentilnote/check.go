package lentilnote

import (
	"strconv"
	"strings"
	"unicode"

	"lentilstair.example/lentilstair/pkg/lentilconfig"
)

// maxTextSize is the maximum size of a note's author and of its reason, in bytes.
const maxTextSize = 200

// checker collects the invalid fields of a note. It maps each object that the note names to
// the path of its entry.
type checker struct {
	fieldErrors   []lentilconfig.FieldError
	pathsByObject map[Object]string
}

func (c *checker) require(ok bool, path, reason, example string) {
	if !ok {
		c.fieldErrors = append(c.fieldErrors, lentilconfig.FieldError{Path: path, Reason: reason, Example: example})
	}
}

// check returns all invalid fields that can be found without a configuration, in a
// *lentilconfig.ValidationError.
func (d Doc) check() (err error) {
	c := &checker{pathsByObject: make(map[Object]string)}
	validID := len(d.ID) <= lentilconfig.MaxNoteIDLength && lentilconfig.ValidName(d.ID)
	c.require(validID, "id", `is not 1 to 63 lower-case letters, digits, "-" and "."`, `"2026-05-04-castelbuono"`)
	c.require(validText(d.Author) && d.Author != "", "author", "is not 1 to 200 printable characters on one line", `"rosalia@consorzio.example"`)
	c.require(validText(d.Reason), "reason", "is not up to 200 printable characters on one line", `"more places in Castelbuono"`)
	c.checkServices(d.Services)
	c.checkCopies(d.Copies)
	c.checkDomains(d.Domains)
	c.require(len(c.pathsByObject) > 0, "services", "the note changes nothing", `{"added": [...]}`)
	return lentilconfig.NewValidationError(c.fieldErrors)
}

func validText(text string) bool {
	unprintable := func(r rune) bool { return !unicode.IsPrint(r) }
	return len(text) <= maxTextSize && strings.IndexFunc(text, unprintable) < 0
}

func (c *checker) checkServices(d ServicesDoc) {
	for i, added := range d.Added {
		c.recordObject(ObjectService, added.Name, "services.added", i, ".name")
		c.fieldErrors = append(c.fieldErrors, added.serviceDoc().FieldErrors("services.added", i)...)
	}
	for i, changed := range d.Changed {
		c.recordObject(ObjectService, changed.Name, "services.changed", i, ".name")
		changesField := changed.Address != nil || changed.Slots != nil || changed.Connections != nil || changed.Rules != nil
		c.require(changesField, itemPath("services.changed", i, ""), "changes nothing", `{"name": "iscrizioni", "slots": 3}`)
		c.fieldErrors = append(c.fieldErrors, changed.applyTo(placeholderService(changed.Name)).FieldErrors("services.changed", i)...)
	}
	for i, name := range d.Withdrawn {
		c.recordObject(ObjectService, name, "services.withdrawn", i, "")
	}
}

// placeholderService returns a valid service. A change is applied to it to check only
// the changed fields.
func placeholderService(name string) lentilconfig.ServiceDoc {
	return lentilconfig.ServiceDoc{Name: name, Number: 1, Address: placeholderAddress, Slots: 1, Connections: 1}
}

func (c *checker) checkCopies(d CopiesDoc) {
	for i, added := range d.Added {
		c.recordObject(ObjectCopy, added.Name, "copies.added", i, ".name")
		c.requireName(added.Name, "copies.added", i, ".name", `"iscrizioni-8"`)
		c.requireName(added.Service, "copies.added", i, ".service", `"iscrizioni"`)
		c.requireName(added.Domain, "copies.added", i, ".domain", `"palermo"`)
	}
	for i, changed := range d.Changed {
		c.recordObject(ObjectCopy, changed.Name, "copies.changed", i, ".name")
		changesField := changed.Domain != nil || changed.Draining != nil
		c.require(changesField, itemPath("copies.changed", i, ""), "changes nothing", `{"name": "iscrizioni-1", "draining": true}`)
	}
	for i, name := range d.Withdrawn {
		c.recordObject(ObjectCopy, name, "copies.withdrawn", i, "")
	}
}

func (c *checker) checkDomains(d DomainsDoc) {
	for i, added := range d.Added {
		c.recordObject(ObjectDomain, added.Name, "domains.added", i, ".name")
		c.requireName(added.Name, "domains.added", i, ".name", `"siracusa"`)
		c.requireName(added.Region, "domains.added", i, ".region", `"sicilia"`)
	}
	lists := []struct {
		path  string
		names []string
	}{{"domains.withdrawn", d.Withdrawn}, {"domains.out", d.Out}, {"domains.back", d.Back}}
	for _, list := range lists {
		for i, name := range list.names {
			c.recordObject(ObjectDomain, name, list.path, i, "")
		}
	}
}

// recordObject records that the note names an object. A second entry for the same
// object is an error.
func (c *checker) recordObject(kind ObjectKind, name, list string, i int, field string) {
	object := Object{Kind: kind, Name: name}
	if earlier, found := c.pathsByObject[object]; found {
		c.require(false, itemPath(list, i, field), "is named by "+earlier+" too", strconv.Quote(name)+" in one place")
		return
	}
	c.pathsByObject[object] = itemPath(list, i, "")
	c.require(name != "", itemPath(list, i, field), "is empty", `"iscrizioni-1"`)
}

// requireName checks a name. An empty name in a field ".name" is left to recordObject.
func (c *checker) requireName(name, list string, i int, field, example string) {
	if name != "" || field != ".name" {
		c.require(lentilconfig.ValidName(name), itemPath(list, i, field), `is not 1 to 63 lower-case letters, digits, "-" and "."`, example)
	}
}

// itemPath returns the path of an item of a list, or of a field of the item.
func itemPath(list string, i int, field string) string {
	return list + "[" + strconv.Itoa(i) + "]" + field
}
