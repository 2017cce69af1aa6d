// Package lentilcode is the common form of everything that has a stable code:
// faults in settings, log events and exit codes. The same entries feed the
// command `explain` and the generated pages in docs, so that they cannot differ.
package lentilcode

import (
	"fmt"
	"io"
	"strings"
)

// Doc is the written form of one coded entry.
type Doc struct {
	// Code is stable: it is never given to another entry, also when its own is gone.
	Code string `json:"code"`
	// Title says in a few words what happened.
	Title string `json:"title"`
	// Text says what it means and what to do about it.
	Text string `json:"text"`
	// Example shows a right form, where there is one.
	Example string `json:"example,omitempty"`
	// Properties are further properties, such as the level of an event.
	Properties []Property `json:"facts,omitempty"`
}

// Property is a named property of an entry.
type Property struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// WriteText writes an entry for people at a terminal.
func (d Doc) WriteText(w io.Writer) (err error) {
	_, err = fmt.Fprintf(w, "%s: %s\n\n%s\n", d.Code, d.Title, d.Text)
	for _, fact := range d.Properties {
		if err == nil {
			_, err = fmt.Fprintf(w, "\n%s: %s\n", fact.Name, fact.Value)
		}
	}
	if err == nil && d.Example != "" {
		_, err = fmt.Fprintf(w, "\nExample:\n\n    %s\n", indent(d.Example))
	}
	return err
}

// WriteMarkdown writes an entry as a section of a page.
func (d Doc) WriteMarkdown(w io.Writer) (err error) {
	_, err = fmt.Fprintf(w, "## %s: %s\n\n%s\n\n", d.Code, d.Title, d.Text)
	for _, fact := range d.Properties {
		if err == nil {
			_, err = fmt.Fprintf(w, "- %s: %s\n", fact.Name, fact.Value)
		}
	}
	if err == nil && len(d.Properties) > 0 {
		_, err = fmt.Fprintln(w)
	}
	if err == nil && d.Example != "" {
		_, err = fmt.Fprintf(w, "    %s\n\n", indent(d.Example))
	}
	return err
}

func indent(text string) string { return strings.ReplaceAll(text, "\n", "\n    ") }
