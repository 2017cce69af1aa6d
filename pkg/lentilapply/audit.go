package lentilapply

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilconfig"
	"lentilstair.example/lentilstair/pkg/lentilerror"
	"lentilstair.example/lentilstair/pkg/lentilnote"
)

// Bounds of the audit trail.
const (
	// MaxAuditRecords is how many records are kept; a cleanup removes the oldest beyond it.
	MaxAuditRecords = 20_000
	// maxAuditChanges is how many changes a record spells out.
	maxAuditChanges = 50
	// maxAuditTextSize bounds a text within a record in bytes.
	maxAuditTextSize = 300
)

// The results of a record, as written.
const (
	// ResultPending: the note is being carried out, or its writer has ended. The head
	// tells which, and the next note settles it.
	ResultPending = "pending"
	// ResultAccepted: the note made the record's version.
	ResultAccepted = "accepted"
	// ResultConflict: another note was accepted first.
	ResultConflict = "conflict"
	// ResultRefused: the note didn't fit.
	ResultRefused = "refused"
	// ResultNothing: there was nothing to change.
	ResultNothing = "nothing"
)

// AuditDoc is the written form of an audit record: who changed what, when, by
// which note, and what came of it.
type AuditDoc struct {
	NoteID  string `json:"noteId"`
	Digest  string `json:"digest"`
	Author  string `json:"author"`
	Reason  string `json:"reason,omitempty"`
	Result  string `json:"result"`
	Version uint64 `json:"version,omitempty"`
	// Started and Finished are by the clock of the operator's machine.
	Started  time.Time `json:"started,omitzero"`
	Finished time.Time `json:"finished,omitzero"`
	// Changes are the first changes of the plan, for people.
	Changes []string `json:"changes,omitempty"`
	// ChangeCount is how many changes the plan has.
	ChangeCount int    `json:"changeCount,omitempty"`
	Error       string `json:"error,omitempty"`
}

// ParseAudit reads an audit record.
func ParseAudit(body []byte) (doc AuditDoc, err error) {
	defer lentilerror.Annotate(&err, "parse audit record")
	err = json.Unmarshal(body, &doc)
	return doc, err
}

// setChanges puts the first changes of a plan into the record.
func (d *AuditDoc) setChanges(plan lentilnote.Plan) {
	d.Changes = nil
	d.ChangeCount = 0
	for _, change := range plan.Changes() {
		if change.Action() == lentilnote.ActionNone {
			continue
		}
		d.ChangeCount++
		if len(d.Changes) < maxAuditChanges {
			d.Changes = append(d.Changes, truncate(strings.TrimSpace(fmt.Sprintf("%s %s %s", change.Action().Text(), change.Object(), change.Detail()))))
		}
	}
}

// acceptedAuditDoc returns the record of a note of which only the mark is known.
func acceptedAuditDoc(mark lentilconfig.MarkDoc) AuditDoc {
	return AuditDoc{
		NoteID: mark.NoteID, Digest: mark.Digest, Author: mark.Author,
		Result: ResultAccepted, Version: mark.Version,
	}
}

func truncate(text string) string {
	if len(text) <= maxAuditTextSize {
		return text
	}
	return text[:maxAuditTextSize] + "..."
}
