package lentilapply

import (
	"errors"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilplatform"
)

// auditResults maps the outcomes that are recorded to their stored form.
var auditResults = map[Outcome]string{
	OutcomeAccepted: ResultAccepted,
	OutcomeAlready:  ResultAccepted,
	OutcomeNothing:  ResultNothing,
	OutcomeConflict: ResultConflict,
	OutcomeRefused:  ResultRefused,
}

// handleResult takes the note's current audit record and prepares the completed
// one. If the record shows this outcome already, or says that another run of the
// same note was accepted, nothing is written.
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
		stored, err := ParseAudit(answer.Object.Body())
		if err == nil && stored.Digest == r.Note.Digest() {
			doc = stored
		}
	}
	result := auditResults[r.report.outcome]
	recorded := doc.Result == result && doc.Version == r.report.version
	acceptedByOtherRun := doc.Result == ResultAccepted && !r.report.Accepted() && !r.acceptanceRecorded
	if recorded || acceptedByOtherRun {
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
	// The record was changed meanwhile or the answer is lost: read it again.
	r.step = StepResult
	r.retry(now, answer.Err)
}

// awaitPropagation starts to wait until the nodes have the version in force. It ends
// the run if the configuration isn't as the note wants it, or if no node can be asked.
func (r *Run) awaitPropagation(now time.Time) {
	applied := r.report.Accepted() || r.report.outcome == OutcomeNothing
	if !applied || !r.CanQueryNodes {
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
		// The platform may have been restored from older data before any node saw the note.
		r.headRechecked = true
		r.restartUnconfirmed(now)
	default:
		r.step = StepDone
	}
}

// noResourceVersion differs from the resource version of every object.
const noResourceVersion = "none"

// restartIfDiverged starts over if the nodes' history differs from the platform's.
// The note was then accepted on older data, and the nodes refuse it. It also starts
// over if a node has a newer version than the note's, to read the head once more,
// unless a read of the platform has already confirmed the note's acceptance.
func (r *Run) restartIfDiverged(now time.Time) bool {
	nodesAhead := highestVersion(r.report.nodes) > r.report.version && !r.acceptanceConfirmed
	diverged := nodesAhead || historyForked(r.report.nodes, r.targetHead.RecentNotes)
	if !r.report.Accepted() || !diverged || r.restarts > maxRestarts {
		return false
	}
	r.restartUnconfirmed(now)
	return true
}

// restartUnconfirmed starts over with an acceptance that the platform may have lost.
// The outcome is open again, and the write of the head counts as unconfirmed.
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
