package lentiloperator

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"lentilstair.example/lentilstair/internal/lentilexit"
	"lentilstair.example/lentilstair/pkg/lentilapply"
	"lentilstair.example/lentilstair/pkg/lentilnote"
	"lentilstair.example/lentilstair/pkg/lentilplatform"
)

// ChangeDoc is the JSON form of a change in a plan.
type ChangeDoc struct {
	Action string `json:"action"`
	Kind   string `json:"kind"`
	Name   string `json:"name"`
	Detail string `json:"detail,omitempty"`
}

// ReportDoc is the JSON form of the report on an applied note.
type ReportDoc struct {
	NoteID      string      `json:"noteId"`
	Author      string      `json:"author"`
	Outcome     string      `json:"outcome"`
	Version     uint64      `json:"version,omitempty"`
	InForce     bool        `json:"inForce"`
	Nodes       int         `json:"nodes"`
	NodesBehind []NodeDoc   `json:"behind,omitempty"`
	Changes     []ChangeDoc `json:"changes,omitempty"`
	Remarks     []string    `json:"remarks,omitempty"`
	Error       string      `json:"error,omitempty"`
}

// NodeDoc is the JSON form of a node at which the version isn't in force.
type NodeDoc struct {
	Name         string `json:"name"`
	Version      uint64 `json:"version"`
	Unresponsive bool   `json:"silent,omitempty"`
}

// objectKindNames maps the kinds of objects to their names in the output.
var objectKindNames = map[lentilnote.ObjectKind]string{
	lentilnote.ObjectService: "service",
	lentilnote.ObjectCopy:    "copy",
	lentilnote.ObjectDomain:  "domain",
}

// outcomeNames maps the outcomes to their names in the output.
var outcomeNames = map[lentilapply.Outcome]string{
	lentilapply.OutcomeOpen:        "open",
	lentilapply.OutcomeAccepted:    "accepted",
	lentilapply.OutcomeAlready:     "already accepted",
	lentilapply.OutcomeNothing:     "nothing to change",
	lentilapply.OutcomeConflict:    "conflict",
	lentilapply.OutcomeRefused:     "refused",
	lentilapply.OutcomeUnavailable: "unavailable",
	lentilapply.OutcomeUnknown:     "unknown",
}

// ChangeDocs returns the JSON form of the changes in a plan.
func ChangeDocs(plan lentilnote.Plan) (docs []ChangeDoc) {
	docs = []ChangeDoc{}
	for _, change := range plan.Changes() {
		docs = append(docs, ChangeDoc{
			Action: change.Action().Text(),
			Kind:   objectKindNames[change.Object().Kind],
			Name:   change.Object().Name,
			Detail: change.Detail(),
		})
	}
	return docs
}

// WriteChanges writes a plan as a table.
func WriteChanges(w io.Writer, docs []ChangeDoc) error {
	rows := [][]string{{"ACTION", "KIND", "NAME", "DETAIL"}}
	for _, doc := range docs {
		rows = append(rows, []string{doc.Action, doc.Kind, doc.Name, doc.Detail})
	}
	return WriteTable(w, rows)
}

// WriteTable writes rows in aligned columns.
func WriteTable(w io.Writer, rows [][]string) (err error) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		if _, err = fmt.Fprintln(table, strings.Join(row, "\t")); err != nil {
			return err
		}
	}
	return table.Flush()
}

// WriteJSON writes a document as indented JSON.
func WriteJSON(w io.Writer, doc any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(doc)
}

// WriteReport writes the report on a note. It returns an error with the matching exit code
// unless the version is in force at all nodes.
func WriteReport(w io.Writer, asJSON bool, note lentilnote.Note, report lentilapply.Report) (err error) {
	doc := reportDoc(note, report)
	if asJSON {
		err = WriteJSON(w, doc)
	} else {
		err = writeReport(w, doc)
	}
	if err != nil {
		return err
	}
	return exitError(report)
}

func reportDoc(note lentilnote.Note, report lentilapply.Report) (doc ReportDoc) {
	doc = ReportDoc{
		NoteID:  note.ID(),
		Author:  note.Author(),
		Outcome: outcomeNames[report.Outcome()],
		Version: report.Version(),
		InForce: report.InForce(),
		Nodes:   len(report.Nodes()),
		Changes: ChangeDocs(report.Plan()),
		Remarks: report.Remarks(),
	}
	for _, node := range report.NodesBehind() {
		doc.NodesBehind = append(doc.NodesBehind, NodeDoc{Name: node.Name, Version: node.Version, Unresponsive: node.Unresponsive})
	}
	if report.Err() != nil {
		doc.Error = report.Err().Error()
	}
	return doc
}

func writeReport(w io.Writer, doc ReportDoc) (err error) {
	if len(doc.Changes) > 0 {
		if err = WriteChanges(w, doc.Changes); err != nil {
			return err
		}
	}
	line := fmt.Sprintf("note %s: %s", doc.NoteID, doc.Outcome)
	if doc.Version > 0 {
		line += fmt.Sprintf(", version %d", doc.Version)
	}
	if doc.Nodes > 0 {
		line += fmt.Sprintf(", in force at %d of %d nodes", doc.Nodes-len(doc.NodesBehind), doc.Nodes)
	}
	lines := append([]string{line}, doc.Remarks...)
	for _, node := range doc.NodesBehind {
		state := fmt.Sprintf("has version %d", node.Version)
		if node.Unresponsive {
			state = "doesn't answer"
		}
		lines = append(lines, fmt.Sprintf("not in force: %s %s", node.Name, state))
	}
	_, err = fmt.Fprintln(w, strings.Join(lines, "\n"))
	return err
}

// errPending is returned if a note is accepted but not confirmed to be in force everywhere.
var errPending = errors.New("accepted, but not confirmed to be in force everywhere")

// exitError returns the error, with its exit code, that a command ends with. It is nil if the
// note is accepted or changes nothing, and the version is in force at all nodes.
func exitError(report lentilapply.Report) error {
	switch report.Outcome() {
	case lentilapply.OutcomeAccepted, lentilapply.OutcomeAlready, lentilapply.OutcomeNothing:
		if !report.InForce() {
			return lentilexit.With(lentilexit.Pending, errPending)
		}
		return nil
	case lentilapply.OutcomeConflict:
		return lentilexit.With(lentilexit.Conflict, report.Err())
	case lentilapply.OutcomeRefused:
		return lentilexit.With(lentilexit.Note, report.Err())
	case lentilapply.OutcomeUnavailable:
		return lentilexit.With(lentilexit.Unavailable, report.Err())
	default:
		return lentilexit.With(lentilexit.Unknown, report.Err())
	}
}

// WithExitCode adds the exit code lentilexit.Unavailable to errors that mean that the platform
// is unavailable or limits calls. It returns other errors unchanged.
func WithExitCode(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, lentilplatform.ErrUnavailable), errors.Is(err, lentilplatform.ErrLimited):
		return lentilexit.With(lentilexit.Unavailable, err)
	default:
		return err
	}
}
