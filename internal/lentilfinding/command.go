package lentilfinding

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"lentilstair.example/lentilstair/internal/lentilexit"
)

// Write writes the report as text or JSON. It returns an error with the exit code of the result
// unless the configuration is valid without warnings.
func (r *Report) Write(w io.Writer, asJSON bool) (err error) {
	doc := r.Doc()
	if asJSON {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		err = encoder.Encode(doc)
	} else {
		_, err = io.WriteString(w, doc.text())
	}
	if err != nil {
		return err
	}
	summary := fmt.Errorf("%s is %s (errors: %d, warnings: %d)", doc.File, doc.Result, doc.Errors, doc.Warnings)
	switch doc.Result {
	case resultUnreadable:
		return lentilexit.With(lentilexit.Unreadable, summary)
	case resultInvalid:
		return lentilexit.With(lentilexit.Configuration, summary)
	case resultWarnings:
		return lentilexit.With(lentilexit.Warnings, summary)
	default:
		return nil
	}
}

// text returns the report as lines of text.
func (d ReportDoc) text() string {
	var out strings.Builder
	for _, finding := range d.Findings {
		fmt.Fprintf(&out, "%s:%s\n", d.File, spaceUnlessPlace(finding))
	}
	if d.Omitted > 0 {
		fmt.Fprintf(&out, "%d more findings\n", d.Omitted)
	}
	if d.Against != "" {
		fmt.Fprintf(&out, "differences from %s: %d\n", d.Against, len(d.Differences))
	}
	for _, difference := range d.Differences {
		fmt.Fprintf(&out, "  %s\n", difference)
	}
	fmt.Fprintf(&out, "%s: %s\n", d.File, d.Result)
	return out.String()
}

// spaceUnlessPlace returns the finding, after a space if it doesn't begin with its place.
func spaceUnlessPlace(finding FindingDoc) string {
	if finding.Place == nil {
		return " " + finding.String()
	}
	return finding.String()
}

// AgainstError returns the error of a command that can't decode the file to compare with.
func AgainstError(source *Source) error {
	doc := NewReport(source).Doc()
	reason := "can't be decoded"
	for _, finding := range doc.Findings {
		if finding.Severity == UnreadableFile.Severity() {
			reason = finding.String()
			break
		}
	}
	return lentilexit.With(lentilexit.Unreadable, fmt.Errorf("the file to compare with, %s: %s", source.name, reason))
}
