package lentilnote

import (
	"strconv"
	"strings"
	"unicode"

	"lentilstair.example/lentilstair/pkg/lentilconfig"
)

// textMax is the length of a note's author and reason in bytes, at most.
const textMax = 200

// checker collects the faults of a note.
type checker struct {
	faults  []lentilconfig.Fault
	touched map[Object]string
}

func (c *checker) add(ok bool, path, reason, example string) {
	if !ok {
		c.faults = append(c.faults, lentilconfig.Fault{Path: path, Reason: reason, Example: example})
	}
}

// check reports every fault that shows without a configuration.
func (d Doc) check() (err error) {
	c := &checker{touched: make(map[Object]string)}
	validID := len(d.ID) <= lentilconfig.NoteIDMax && lentilconfig.ValidName(d.ID)
	c.add(validID, "id", `is not 1 to 63 lower-case letters, digits, "-" and "."`, `"2026-05-04-castelbuono"`)
	c.add(validText(d.Author) && d.Author != "", "author", "is not 1 to 200 printable characters on one line", `"rosalia@consorzio.example"`)
	c.add(validText(d.Reason), "reason", "is not up to 200 printable characters on one line", `"more places in Castelbuono"`)
	c.services(d.Services)
	c.copies(d.Copies)
	c.domains(d.Domains)
	c.add(len(c.touched) > 0, "services", "the note changes nothing", `{"added": [...]}`)
	return lentilconfig.NewFaultError(c.faults)
}

func validText(text string) bool {
	unprintable := func(r rune) bool { return !unicode.IsPrint(r) }
	return len(text) <= textMax && strings.IndexFunc(text, unprintable) < 0
}

func (c *checker) services(d ServicesDoc) {
	for i, added := range d.Added {
		c.touch(ObjectService, added.Name, "services.added", i, ".name")
		c.faults = append(c.faults, added.doc().Faults("services.added", i)...)
	}
	for i, changed := range d.Changed {
		c.touch(ObjectService, changed.Name, "services.changed", i, ".name")
		some := changed.Address != nil || changed.Slots != nil || changed.Connections != nil || changed.Rules != nil
		c.add(some, at("services.changed", i, ""), "changes nothing", `{"name": "iscrizioni", "slots": 3}`)
		c.faults = append(c.faults, changed.onto(placeholder(changed.Name)).Faults("services.changed", i)...)
	}
	for i, name := range d.Withdrawn {
		c.touch(ObjectService, name, "services.withdrawn", i, "")
	}
}

// placeholder is a service without a fault, onto which a change is put so that
// only the changed fields are judged.
func placeholder(name string) lentilconfig.ServiceDoc {
	return lentilconfig.ServiceDoc{Name: name, Number: 1, Address: placeholderAddress, Slots: 1, Connections: 1}
}

func (c *checker) copies(d CopiesDoc) {
	for i, added := range d.Added {
		c.touch(ObjectCopy, added.Name, "copies.added", i, ".name")
		c.valid(added.Name, "copies.added", i, ".name", `"iscrizioni-8"`)
		c.valid(added.Service, "copies.added", i, ".service", `"iscrizioni"`)
		c.valid(added.Domain, "copies.added", i, ".domain", `"palermo"`)
	}
	for i, changed := range d.Changed {
		c.touch(ObjectCopy, changed.Name, "copies.changed", i, ".name")
		some := changed.Domain != nil || changed.Draining != nil
		c.add(some, at("copies.changed", i, ""), "changes nothing", `{"name": "iscrizioni-1", "draining": true}`)
	}
	for i, name := range d.Withdrawn {
		c.touch(ObjectCopy, name, "copies.withdrawn", i, "")
	}
}

func (c *checker) domains(d DomainsDoc) {
	for i, added := range d.Added {
		c.touch(ObjectDomain, added.Name, "domains.added", i, ".name")
		c.valid(added.Name, "domains.added", i, ".name", `"siracusa"`)
		c.valid(added.Region, "domains.added", i, ".region", `"sicilia"`)
	}
	lists := []struct {
		path  string
		names []string
	}{{"domains.withdrawn", d.Withdrawn}, {"domains.out", d.Out}, {"domains.back", d.Back}}
	for _, list := range lists {
		for i, name := range list.names {
			c.touch(ObjectDomain, name, list.path, i, "")
		}
	}
}

// touch records that the note names an object, which it may do once.
func (c *checker) touch(kind ObjectKind, name, list string, i int, field string) {
	object := Object{Kind: kind, Name: name}
	if earlier, found := c.touched[object]; found {
		c.add(false, at(list, i, field), "is named by "+earlier+" too", strconv.Quote(name)+" in one place")
		return
	}
	c.touched[object] = at(list, i, "")
	c.add(name != "", at(list, i, field), "is empty", `"iscrizioni-1"`)
}

func (c *checker) valid(name, list string, i int, field, example string) {
	if name != "" || field != ".name" {
		c.add(lentilconfig.ValidName(name), at(list, i, field), `is not 1 to 63 lower-case letters, digits, "-" and "."`, example)
	}
}

func at(list string, i int, field string) string {
	return list + "[" + strconv.Itoa(i) + "]" + field
}
