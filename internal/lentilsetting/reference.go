package lentilsetting

import (
	"fmt"
	"io"
)

// WriteReference writes the reference of all settings as Markdown, with a section for
// each role.
func WriteReference(w io.Writer) (err error) {
	for _, role := range []struct {
		title  string
		fields []field
	}{{"Balancer", balancerFields}, {"Agent", agentFields}, {"Operator", operatorFields},
		{"Balancer of packet flows", packetBalancerFields}, {"Agent of packet flows", packetAgentFields}} {
		if _, err = fmt.Fprintf(w, "## %s\n\n| field | meaning | default | example |\n| --- | --- | --- | --- |\n", role.title); err != nil {
			return err
		}
		if err = writeFields(w, "", role.fields); err != nil {
			return err
		}
		if _, err = fmt.Fprintln(w); err != nil {
			return err
		}
	}
	return nil
}

// writeFields writes a table row for each field and for the members of objects.
func writeFields(w io.Writer, prefix string, fields []field) (err error) {
	for _, f := range fields {
		path := joinPath(prefix, f.name)
		if f.isList {
			path += "[]"
		}
		defaultText := f.defaultText
		if f.required {
			defaultText = "required"
		}
		if _, err = fmt.Fprintf(w, "| `%s` | %s | %s | `%s` |\n", path, f.description, defaultText, f.example); err != nil {
			return err
		}
		if err = writeFields(w, path, f.members); err != nil {
			return err
		}
	}
	return nil
}
