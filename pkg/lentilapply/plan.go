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

// handleLookup ends the run if the note was accepted longer ago than the head
// remembers; carrying it out again could undo newer notes.
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
	same := doc.Digest == r.Note.Digest()
	switch {
	case !same && (doc.Result == ResultAccepted || doc.Result == ResultPending):
		r.end(OutcomeRefused, fmt.Errorf("%w: %s by %s", ErrIDReused, doc.Result, doc.Author))
	case same && doc.Result == ResultAccepted && r.predatesHead(doc.Version):
		r.report.version = doc.Version
		r.report.outcome = OutcomeAlready
		r.acceptanceConfirmed = true
		r.awaitPropagation(now)
	default:
		r.checkPreviousAudit(now)
	}
}

// predatesHead reports whether the head leaves open that a record is right that says
// a note made the version. The head doesn't name the note, so that the version must
// be older than all it names.
func (r *Run) predatesHead(version uint64) bool {
	recent := r.headDoc.Recent
	return len(recent) > 0 && version < recent[0].Version
}

// checkPreviousAudit looks after the record of the note before, so that a writer that ended
// too early leaves none open: each note closes the one before.
func (r *Run) checkPreviousAudit(now time.Time) {
	if r.headDoc.NoteID == "" || len(r.headDoc.Recent) == 0 {
		r.planNote(now)
		return
	}
	r.step = StepPrevious
}

func (r *Run) handlePrevious(now time.Time, answer Answer) {
	mark := r.headDoc.Recent[len(r.headDoc.Recent)-1]
	r.previousAuditObject = answer.Object
	r.previousAuditDoc = acceptedAuditDoc(mark)
	if errors.Is(answer.Err, lentilplatform.ErrNotFound) {
		r.previousAuditObject = lentilplatform.NewObject(lentilplatform.KindAudit, mark.NoteID, nil)
		r.step = StepSettle
		return
	}
	doc, err := ParseAudit(answer.Object.Body())
	if answer.Err != nil || err != nil || doc.Result == ResultAccepted || doc.Digest != mark.Digest {
		r.planNote(now)
		return
	}
	r.previousAuditDoc = doc
	r.previousAuditDoc.Result = ResultAccepted
	r.previousAuditDoc.Version = mark.Version
	r.previousAuditDoc.Error = ""
	r.step = StepSettle
}

// planNote works out the next configuration, the first time on what was read, later
// only if what came between leaves the note's objects alone.
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

// satisfied reports whether another note has done all that this one wants, as when
// two operators take the same failure domain out.
func (r *Run) satisfied() bool {
	plan, err := r.Note.Plan(r.current)
	if err != nil || !plan.Empty() {
		return false
	}
	r.report.plan = plan
	r.report.version = r.current.Version
	return true
}

// finishUnchanged ends a run that has nothing to change. Nothing is recorded unless
// the note's record was opened.
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

// splitDocument returns the head and those shards that aren't held.
func (r *Run) splitDocument(document lentilconfig.Document, held func(lentilconfig.Digest) bool) (head lentilconfig.HeadDoc, shards []lentilconfig.Shard) {
	head, all, err := lentilconfig.Split(document)
	if err != nil {
		// A checked document can be written.
		r.end(OutcomeRefused, err)
		return head, nil
	}
	wanted := make(map[lentilconfig.Digest]bool)
	r.targetShards = make(map[lentilconfig.Digest]lentilconfig.Shard)
	for _, shard := range all {
		if !wanted[shard.Name()] && !held(shard.Name()) {
			shards = append(shards, shard)
		}
		wanted[shard.Name()] = true
		r.targetShards[shard.Name()] = shard
	}
	return head, shards
}

// openAudit opens the note's record before anything is changed.
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
	// Someone else wrote the record, or this write's answer was lost: look again.
	r.restart(now, answer.Err)
}
