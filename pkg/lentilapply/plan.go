package lentilapply

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilconfig"
	"lentilstair.example/lentilstair/pkg/lentilnote"
	"lentilstair.example/lentilstair/pkg/lentilplatform"
)

// handleLookup reads the note's audit record. It ends the run if the note was
// accepted so long ago that the head no longer names it: applying it again could
// undo newer notes.
func (r *Run) handleLookup(now time.Time, answer Answer) {
	r.auditObject = answer.Object
	if errors.Is(answer.Err, lentilplatform.ErrNotFound) {
		r.auditObject = lentilplatform.NewObject(lentilplatform.KindAudit, r.Note.ID(), nil)
		r.auditDoc = AuditDoc{}
		r.checkPreviousAudit(now)
		return
	}
	if answer.Err != nil {
		r.fail(answer.Err)
		return
	}
	doc, err := ParseAudit(answer.Object.Body())
	if err != nil {
		r.end(OutcomeRefused, fmt.Errorf("%w: %w", ErrCorrupt, err))
		return
	}
	r.auditDoc = doc
	sameNote := doc.Digest == r.Note.Digest()
	switch {
	case !sameNote && (doc.Result == ResultAccepted || doc.Result == ResultPending):
		r.end(OutcomeRefused, fmt.Errorf("%w: %s by %s", ErrIDReused, doc.Result, doc.Author))
	case sameNote && doc.Result == ResultAccepted && r.predatesHead(doc.Version):
		r.report.version = doc.Version
		r.report.outcome = OutcomeAlready
		r.acceptanceConfirmed = true
		r.awaitPropagation(now)
	default:
		r.checkPreviousAudit(now)
	}
}

// predatesHead reports whether the version is older than every version that the head
// names. Only then can an audit record be right that says a note made the version,
// since the head doesn't name that note.
func (r *Run) predatesHead(version uint64) bool {
	recent := r.headDoc.RecentNotes
	return len(recent) > 0 && version < recent[0].Version
}

// checkPreviousAudit reads the audit record of the previous note before planning
// this one. Each note completes the record of the note before it, in case its writer
// ended early.
func (r *Run) checkPreviousAudit(now time.Time) {
	if r.headDoc.NoteID == "" || len(r.headDoc.RecentNotes) == 0 {
		r.planNote(now)
		return
	}
	r.step = StepPrevious
}

// handlePrevious prepares the completed audit record of the previous note. It skips a
// record that says accepted already, belongs to a different note or can't be read. A
// failure to write the completed record doesn't stop this note.
func (r *Run) handlePrevious(now time.Time, answer Answer) {
	entry := r.headDoc.RecentNotes[len(r.headDoc.RecentNotes)-1]
	r.previousAuditObject = answer.Object
	r.previousAuditDoc = acceptedAuditDoc(entry)
	if errors.Is(answer.Err, lentilplatform.ErrNotFound) {
		r.previousAuditObject = lentilplatform.NewObject(lentilplatform.KindAudit, entry.NoteID, nil)
		r.step = StepSettle
		return
	}
	doc, err := ParseAudit(answer.Object.Body())
	if answer.Err != nil || err != nil || doc.Result == ResultAccepted || doc.Digest != entry.Digest {
		r.planNote(now)
		return
	}
	r.previousAuditDoc = doc
	r.previousAuditDoc.Result = ResultAccepted
	r.previousAuditDoc.Version = entry.Version
	r.previousAuditDoc.Error = ""
	r.step = StepSettle
}

// planNote computes the next configuration. The first plan uses the configuration
// that was read. A later one fails with a conflict if notes accepted meanwhile
// changed objects of this note.
func (r *Run) planNote(now time.Time) {
	var plan lentilnote.Plan
	var err error
	if r.planBase == nil {
		plan, err = r.Note.Plan(r.current)
	} else {
		plan, err = r.Note.Replan(*r.planBase, r.current)
	}
	var conflict *lentilnote.ConflictError
	switch {
	case errors.As(err, &conflict) && r.satisfied():
		r.finishUnchanged(now)
		return
	case errors.As(err, &conflict):
		r.recordOutcome(now, OutcomeConflict, err)
		return
	case err != nil && r.auditOpened:
		r.recordOutcome(now, OutcomeRefused, err)
		return
	case err != nil:
		r.end(OutcomeRefused, err)
		return
	case plan.Empty():
		r.report.plan = plan
		r.report.version = r.current.Version
		r.finishUnchanged(now)
		return
	}
	r.report.plan = plan
	base := r.current
	r.planBase = &base
	r.targetHead, r.pendingShards = r.splitDocument(plan.Next(), r.inHead)
	if !r.auditOpened {
		r.openAudit(now)
		return
	}
	r.continueWriting(now)
}

// satisfied reports whether other notes have already made every change of this one,
// for example if two operators take the same failure domain out of service.
func (r *Run) satisfied() bool {
	plan, err := r.Note.Plan(r.current)
	if err != nil || !plan.Empty() {
		return false
	}
	r.report.plan = plan
	r.report.version = r.current.Version
	return true
}

// finishUnchanged sets the outcome of a run that has nothing to change. The outcome
// is recorded only if the note's audit record was opened.
func (r *Run) finishUnchanged(now time.Time) {
	if r.auditOpened {
		r.recordOutcome(now, OutcomeNothing, nil)
		return
	}
	r.report.outcome = OutcomeNothing
	r.awaitPropagation(now)
}

// inHead reports whether the platform's head names the shard.
func (r *Run) inHead(name lentilconfig.Digest) bool { return slices.Contains(r.headDoc.Shards, name) }

// splitDocument returns the head of a document and its shards, without those that
// are stored already.
func (r *Run) splitDocument(document lentilconfig.Document, stored func(lentilconfig.Digest) bool) (head lentilconfig.HeadDoc, shards []lentilconfig.Shard) {
	head, all, err := lentilconfig.Split(document)
	if err != nil {
		// Not reached: a checked document can always be split.
		r.end(OutcomeRefused, err)
		return head, nil
	}
	seen := make(map[lentilconfig.Digest]bool)
	r.targetShards = make(map[lentilconfig.Digest]lentilconfig.Shard)
	for _, shard := range all {
		if !seen[shard.Name()] && !stored(shard.Name()) {
			shards = append(shards, shard)
		}
		seen[shard.Name()] = true
		r.targetShards[shard.Name()] = shard
	}
	return head, shards
}

// openAudit stores the note's audit record as pending before anything is changed.
func (r *Run) openAudit(now time.Time) {
	if r.auditDoc.Result == ResultPending && r.auditDoc.Digest == r.Note.Digest() {
		r.auditOpened = true
		r.continueWriting(now)
		return
	}
	r.auditDoc = AuditDoc{
		NoteID: r.Note.ID(), Digest: r.Note.Digest(), Author: r.Note.Author(), Reason: r.Note.Reason(),
		Result: ResultPending, Started: r.started.UTC(),
	}
	r.auditDoc.setChanges(r.report.plan)
	r.step = StepIntent
}

func (r *Run) handleIntent(now time.Time, answer Answer) {
	if answer.Err == nil {
		r.auditObject = answer.Object
		r.auditOpened = true
		r.continueWriting(now)
		return
	}
	// Another run wrote the record, or the answer to this write was lost: start over.
	r.restart(now, answer.Err)
}
