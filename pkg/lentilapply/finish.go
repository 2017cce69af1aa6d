package lentilapply

import (
	"errors"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilplatform"
)

// auditResults are the written forms of the outcomes that are recorded.
var auditResults = map[Outcome]string{
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
		r.abandon(now, answer.Err)
		return
	default:
		held, err := ParseAudit(answer.Object.Body())
		if err == nil && held.Digest == r.Note.Digest() {
			doc = held
		}
	}
	result := auditResults[r.report.outcome]
	same := doc.Result == result && doc.Version == r.report.version
	another := doc.Result == ResultAccepted && !r.report.Accepted() && !r.acceptanceRecorded
	if same || another {
		r.awaitPropagation(now)
		return
	}
	doc.Result = result
	doc.Finished = now.UTC()
	if r.report.Accepted() {
		doc.Version = r.report.version
		if doc.ChangeCount == 0 {
			doc.setChanges(r.report.plan)
		}
	}
	if r.report.err != nil {
		doc.Error = truncate(r.report.err.Error())
	}
	r.auditDoc = doc
	r.step = StepRecord
}

func (r *Run) handleRecord(now time.Time, answer Answer) {
	if answer.Err == nil {
		r.acceptanceRecorded = r.report.Accepted()
		r.awaitPropagation(now)
		return
	}
	// The record has moved or the answer is lost: read it again.
	r.step = StepResult
	r.retry(now, answer.Err)
}

// awaitPropagation goes on to wait for the nodes, unless there is nothing to wait for.
func (r *Run) awaitPropagation(now time.Time) {
	changed := r.report.Accepted() || r.report.outcome == OutcomeNothing
	if !changed || !r.AskNodes {
		r.step = StepDone
		return
	}
	r.deadline = now.Add(r.PropagationTimeout)
	if r.headRechecked {
		r.deadline = now.Add(recheckedPropagationTimeout)
	}
	r.step = StepSpread
}

func (r *Run) handlePropagation(now time.Time, answer Answer) {
	if answer.Err == nil {
		r.report.nodesAnswered = true
		r.report.nodes = answer.Nodes
		if r.restartIfDiverged(now) {
			return
		}
	}
	switch {
	case r.report.InForce():
		r.step = StepDone
	case !now.After(r.deadline):
		r.wait = nodeQueryInterval
	case r.report.Accepted() && !r.headRechecked:
		// The platform may have lost the note before any node saw it.
		r.headRechecked = true
		r.restartUnconfirmed(now)
	default:
		r.step = StepDone
	}
}

// noResourceVersion is no version of any object.
const noResourceVersion = "none"

// restartIfDiverged begins again if the nodes' history isn't that of the platform: the note
// was accepted on older data, and they refuse it. Nodes that are further on than
// the note are a reason to look at the head once more.
func (r *Run) restartIfDiverged(now time.Time) bool {
	further := highestVersion(r.report.nodes) > r.report.version && !r.acceptanceConfirmed
	astray := further || historyForked(r.report.nodes, r.targetHead.Recent)
	if !r.report.Accepted() || !astray || r.restarts > maxRestarts {
		return false
	}
	r.restartUnconfirmed(now)
	return true
}

// restartUnconfirmed begins again with an acceptance that may have been lost.
func (r *Run) restartUnconfirmed(now time.Time) {
	r.headWriteUnconfirmed = true
	r.unconfirmedResourceVersion = noResourceVersion
	r.unconfirmedBaseVersion = r.report.version - 1
	r.report.outcome = OutcomeOpen
	r.report.nodesAnswered = false
	r.verifying = false
	r.nodesChecked = false
	r.planBase = nil
	r.auditOpened = true
	r.lastHeadVersion = 0
	r.deadline = now.Add(r.AcceptTimeout)
	r.restart(now, ErrPlatformOutdated)
}
