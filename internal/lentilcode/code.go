// Package lentilcode holds the documentation of everything that has a stable code:
// errors in settings, log events, exit codes and metrics. The command `explain` and the
// generated pages in docs use the same entries, so they can't differ.
package lentilcode

import (
	"fmt"
	"io"
	"strings"
)

// Doc documents a code.
type Doc struct {
	// Code is stable. It is never reused, even after its entry is removed.
	Code string `json:"code"`
	// Title summarizes the meaning in a few words.
	Title string `json:"title"`
	// Text explains the meaning and what to do about it.
	Text string `json:"text"`
	// Example is a valid example, or empty if there is none.
	Example string `json:"example,omitempty"`
	// Properties are further properties, such as the level of an event.
	Properties []Property `json:"facts,omitempty"`
}

// Property is a named property of an entry.
type Property struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// WriteText writes the entry as plain text for a terminal.
func (d Doc) WriteText(w io.Writer) (err error) {
	_, err = fmt.Fprintf(w, "%s: %s\n\n%s\n", d.Code, d.Title, d.Text)
	for _, property := range d.Properties {
		if err == nil {
			_, err = fmt.Fprintf(w, "\n%s: %s\n", property.Name, property.Value)
		}
	}
	if err == nil && d.Example != "" {
		_, err = fmt.Fprintf(w, "\nExample:\n\n    %s\n", indent(d.Example))
	}
	return err
}

// WriteMarkdown writes the entry as a Markdown section.
func (d Doc) WriteMarkdown(w io.Writer) (err error) {
	_, err = fmt.Fprintf(w, "## %s: %s\n\n%s\n\n", d.Code, d.Title, d.Text)
	for _, property := range d.Properties {
		if err == nil {
			_, err = fmt.Fprintf(w, "- %s: %s\n", property.Name, property.Value)
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

// indent indents all lines after the first by four spaces.
func indent(text string) string { return strings.ReplaceAll(text, "\n", "\n    ") }
