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
	// MaxAuditRecords is the number of records to keep. A cleanup removes the oldest
	// records above this number.
	MaxAuditRecords = 20_000
	// maxAuditChanges is the number of changes that a record lists in full.
	maxAuditChanges = 50
	// maxAuditTextSize is the maximum size of one text in a record, in bytes.
	maxAuditTextSize = 300
)

// The results in audit records, as stored.
const (
	// ResultPending means that the note is being applied, or that its writer ended
	// early. The head shows whether the note was accepted; the run of the next note
	// then completes the record.
	ResultPending = "pending"
	// ResultAccepted means that the note made the record's version.
	ResultAccepted = "accepted"
	// ResultConflict means that a conflicting note was accepted first.
	ResultConflict = "conflict"
	// ResultRefused means that the note doesn't fit the configuration.
	ResultRefused = "refused"
	// ResultNothing means that the note had nothing to change.
	ResultNothing = "nothing"
)

// AuditDoc is the stored form of an audit record: who changed what and when, by
// which note, and with which result.
type AuditDoc struct {
	NoteID  string `json:"noteId"`
	Digest  string `json:"digest"`
	Author  string `json:"author"`
	Reason  string `json:"reason,omitempty"`
	Result  string `json:"result"`
	Version uint64 `json:"version,omitempty"`
	// Started and Finished are taken from the clock of the operator's machine.
	Started  time.Time `json:"started,omitzero"`
	Finished time.Time `json:"finished,omitzero"`
	// Changes are the first changes of the plan, as text for operators.
	Changes []string `json:"changes,omitempty"`
	// ChangeCount is the number of all changes of the plan.
	ChangeCount int    `json:"changeCount,omitempty"`
	Error       string `json:"error,omitempty"`
}

// ParseAudit parses a stored audit record.
func ParseAudit(body []byte) (doc AuditDoc, err error) {
	defer lentilerror.Annotate(&err, "parse audit record")
	err = json.Unmarshal(body, &doc)
	return doc, err
}

// setChanges lists the first changes of a plan in the record and counts them all.
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

// acceptedAuditDoc builds the record of an accepted note from its entry in the head.
func acceptedAuditDoc(entry lentilconfig.AcceptedNoteDoc) AuditDoc {
	return AuditDoc{
		NoteID: entry.NoteID, Digest: entry.Digest, Author: entry.Author,
		Result: ResultAccepted, Version: entry.Version,
	}
}

func truncate(text string) string {
	if len(text) <= maxAuditTextSize {
		return text
	}
	return text[:maxAuditTextSize] + "..."
}
