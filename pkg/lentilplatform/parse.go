package lentilplatform

import (
	"errors"

	"lentilstair.example/lentilstair/pkg/lentilscan"
)

// errNameless means that an object has no name.
var errNameless = errors.New("metadata.name is missing")

// listPage is a page of a list.
type listPage struct {
	metadata ListMetadataDoc
	items    []listItem
}

// listItem is an object of a list. If err is set, it can't be parsed.
type listItem struct {
	doc ObjectDoc
	err error
}

// parse parses a page. It fails only if the page itself can't be parsed.
func (p *listPage) parse(body []byte) (err error) {
	s := lentilscan.New(body)
	return s.Members(func(name string) error {
		switch name {
		case "metadata":
			return s.Decode(&p.metadata)
		case "items":
			return s.Elements(func() error {
				var item listItem
				var err error
				item.err, err = s.Tolerate(func() error { return item.doc.scan(s) })
				if item.err == nil && item.doc.Metadata.Name == "" {
					item.err = errNameless
				}
				p.items = append(p.items, item)
				return err
			})
		}
		return s.Skip()
	})
}

// parse parses an object. Its spec isn't looked at.
func (d *ObjectDoc) parse(body []byte) (err error) { return d.scan(lentilscan.New(body)) }

// scan parses the object that comes next. The kind and the version of the API, which the path of a call implies, are left
// out.
func (d *ObjectDoc) scan(s *lentilscan.Scanner) (err error) {
	return s.Members(func(name string) (err error) {
		switch name {
		case "metadata":
			return s.Decode(&d.Metadata)
		case "spec":
			d.Spec, err = s.Value()
			return err
		}
		return s.Skip()
	})
}
