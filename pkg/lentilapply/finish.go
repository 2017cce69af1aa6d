package lentilapply

import (
	"errors"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilplatform"
)

// results are the written forms of the outcomes that are recorded.
var results = map[Outcome]string{
	OutcomeAccepted: ResultAccepted,
	OutcomeAlready:  ResultAccepted,
	OutcomeNothing:  ResultNothing,
	OutcomeConflict: ResultConflict,
	OutcomeRefused:  ResultRefused,
}

// handleResult reads the note's record before it is completed.
func (r *Run) handleResult(now time.Time, answer Answer) {
	doc := AuditDoc{
		NoteID: r.Note.ID(), Digest: r.Note.Digest(), Author: r.Note.Author(), Reason: r.Note.Reason(),
		Started: r.started.UTC(),
	}
	r.auditObject = answer.Object
	switch {
	case errors.Is(answer.Err, lentilplatform.ErrNotFound):
		r.auditObject = lentilplatform.NewObject(lentilplatform.KindAudit, r.Note.ID(), nil)
	case answer.Err != nil:
		r.giveUp(now, answer.Err)
		return
	default:
		held, err := ParseAudit(answer.Object.Body())
		if err == nil && held.Digest == r.Note.Digest() {
			doc = held
		}
	}
	result := results[r.report.outcome]
	same := doc.Result == result && doc.Version == r.report.version
	another := doc.Result == ResultAccepted && !r.report.Accepted() && !r.recorded
	if same || another {
		r.spread(now)
		return
	}
	doc.Result = result
	doc.Finished = now.UTC()
	if r.report.Accepted() {
		doc.Version = r.report.version
		if doc.ChangeCount == 0 {
			doc.describe(r.report.plan)
		}
	}
	if r.report.err != nil {
		doc.Error = bounded(r.report.err.Error())
	}
	r.auditDoc = doc
	r.step = StepRecord
}

func (r *Run) handleRecord(now time.Time, answer Answer) {
	if answer.Err == nil {
		r.recorded = r.report.Accepted()
		r.spread(now)
		return
	}
	// The record has moved or the answer is lost: read it again.
	r.step = StepResult
	r.repeat(now, answer.Err)
}

// spread goes on to wait for the nodes, unless there is nothing to wait for.
func (r *Run) spread(now time.Time) {
	changed := r.report.Accepted() || r.report.outcome == OutcomeNothing
	if !changed || !r.AskNodes {
		r.step = StepDone
		return
	}
	r.deadline = now.Add(r.Spread)
	if r.looked {
		r.deadline = now.Add(lookedSpread)
	}
	r.step = StepSpread
}

func (r *Run) handleSpread(now time.Time, answer Answer) {
	if answer.Err == nil {
		r.report.asked = true
		r.report.nodes = answer.Nodes
		if r.reopen(now) {
			return
		}
	}
	switch {
	case r.report.InForce():
		r.step = StepDone
	case !now.After(r.deadline):
		r.wait = spreadEvery
	case r.report.Accepted() && !r.looked:
		// The platform may have lost the note before any node saw it.
		r.looked = true
		r.doubtAccepted(now)
	default:
		r.step = StepDone
	}
}

// noVersion is no version of any object.
const noVersion = "none"

// reopen begins again if the nodes' history isn't that of the platform: the note
// was accepted on older data, and they refuse it. Nodes that are further on than
// the note are a reason to look at the head once more.
func (r *Run) reopen(now time.Time) bool {
	further := newest(r.report.nodes) > r.report.version && !r.confirmed
	astray := further || forked(r.report.nodes, r.target.Recent)
	if !r.report.Accepted() || !astray || r.restarts > restartsMax {
		return false
	}
	r.doubtAccepted(now)
	return true
}

// doubtAccepted begins again with an acceptance that may have been lost.
func (r *Run) doubtAccepted(now time.Time) {
	r.inDoubt = true
	r.doubtAt = noVersion
	r.doubtAfter = r.report.version - 1
	r.report.outcome = OutcomeOpen
	r.report.asked = false
	r.verifying = false
	r.checked = false
	r.base = nil
	r.opened = true
	r.seen = 0
	r.deadline = now.Add(r.Accept)
	r.restart(now, ErrOlderPlatform)
}
