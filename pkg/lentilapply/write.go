package lentilapply

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilconfig"
	"lentilstair.example/lentilstair/pkg/lentilplatform"
)

// continueWriting selects the next write: the next pending shard, or the head after
// the last one. If the shards of an accepted head are being restored, they are
// verified again instead.
func (r *Run) continueWriting(now time.Time) {
	switch {
	case r.step == StepDone:
	case len(r.pendingShards) > 0:
		r.renewWriteMarker()
		r.step = StepWrite
	case r.verifying:
		r.step = StepVerify
	default:
		r.step = StepMove
	}
	if r.step != StepDone && now.After(r.deadline) {
		r.abandon(now, lentilplatform.ErrUnavailable)
	}
}

// renewWriteMarker draws a marker that distinguishes this write of a shard from all
// others.
func (r *Run) renewWriteMarker() {
	r.writeMarker = fmt.Sprintf("%s/%d/%08x", r.Note.ID(), r.restarts, uint32(r.random()*(1<<32-1)))
}

func (r *Run) createShardAction() Action {
	shard := r.pendingShards[0]
	body, err := shard.ObjectBody(r.writeMarker)
	if err != nil {
		// Not reached: this process has encoded the shard, so it can be decoded.
		return Action{kind: ActionDone}
	}
	return Action{kind: ActionCreate, object: lentilplatform.NewObject(lentilplatform.KindShard, string(shard.Name()), body)}
}

func (r *Run) handleWrite(now time.Time, answer Answer) {
	switch {
	case answer.Err == nil:
		r.handleShardWritten(now)
	case errors.Is(answer.Err, lentilplatform.ErrExists):
		r.step = StepTouch
	case errors.Is(answer.Err, lentilplatform.ErrOutcomeUnknown):
		// Writing the shard again is harmless.
		r.retry(now, answer.Err)
	default:
		r.fail(answer.Err)
	}
}

// retry repeats the action of the current step after a delay. After the deadline it
// abandons the step.
func (r *Run) retry(now time.Time, err error) {
	if now.After(r.deadline) {
		r.abandon(now, err)
		return
	}
	r.backOff(err)
}

func (r *Run) handleTouch(now time.Time, answer Answer) {
	switch {
	case answer.Err == nil:
		r.existingShard = answer.Object
		r.renewWriteMarker()
		r.step = StepTouched
	case errors.Is(answer.Err, lentilplatform.ErrNotFound):
		r.step = StepWrite
		r.retry(now, answer.Err)
	default:
		r.fail(answer.Err)
	}
}

func (r *Run) touchShardAction() Action {
	body, err := r.pendingShards[0].ObjectBody(r.writeMarker)
	if err != nil {
		return Action{kind: ActionDone}
	}
	return Action{kind: ActionUpdate, object: r.existingShard.WithBody(body)}
}

func (r *Run) handleTouched(now time.Time, answer Answer) {
	if answer.Err == nil {
		r.handleShardWritten(now)
		return
	}
	// Another writer updated the shard, a cleanup removed it, or the answer is lost.
	r.step = StepWrite
	r.retry(now, answer.Err)
}

func (r *Run) handleShardWritten(now time.Time) {
	r.shardBodies[r.pendingShards[0].Name()] = r.pendingShards[0].Body()
	r.pendingShards = r.pendingShards[1:]
	r.continueWriting(now)
}

// updateHeadAction returns the conditional update of the head that was read. It fails
// if another writer has replaced the head since.
func (r *Run) updateHeadAction() Action {
	body, err := json.Marshal(lentilconfig.HeadObjectDoc{HeadDoc: r.targetHead, ShardRemovals: r.headDoc.ShardRemovals})
	if err != nil {
		return Action{kind: ActionDone}
	}
	return writeAction(r.headObject.WithBody(body))
}

// handleMove processes the answer to the update of the head. After a repair, the run
// starts over, since its note isn't applied yet. If another writer has replaced the head,
// it starts over as well.
func (r *Run) handleMove(now time.Time, answer Answer) {
	switch err := answer.Err; {
	case err == nil && r.repairing:
		r.repairing = false
		r.repairNeeded = false
		r.restart(now, ErrPlatformOutdated)
	case err == nil:
		r.headWriteUnconfirmed = false
		r.report.version = r.targetHead.Version
		r.report.outcome = OutcomeAccepted
		r.verifying = true
		r.deadline = now.Add(auditTimeout)
		r.step = StepVerify
	case errors.Is(err, lentilplatform.ErrConflict), errors.Is(err, lentilplatform.ErrExists), errors.Is(err, lentilplatform.ErrNotFound):
		if r.repairing {
			r.repairing = false
			r.repairNeeded = false
			r.nodesChecked = false
		}
		r.restart(now, err)
	case errors.Is(err, lentilplatform.ErrOutcomeUnknown):
		r.recordUnconfirmedWrite()
		r.restart(now, err)
	default:
		r.fail(err)
	}
}

// handleVerify starts to restore shards of the accepted head that are no longer
// stored. If this run doesn't hold one of them, it fetches the configuration from the
// nodes.
func (r *Run) handleVerify(now time.Time, answer Answer) {
	if answer.Err != nil {
		r.retry(now, answer.Err)
		return
	}
	stored := make(map[lentilconfig.Digest]bool, len(answer.Objects))
	for _, object := range answer.Objects {
		stored[lentilconfig.Digest(object.Name())] = true
	}
	missing := 0
	r.pendingShards = nil
	for _, name := range r.targetHead.Shards {
		if stored[name] {
			continue
		}
		stored[name] = true
		if shard, found := r.targetShards[name]; found {
			r.pendingShards = append(r.pendingShards, shard)
		} else {
			missing++
		}
	}
	switch {
	case missing > 0 && r.CanQueryNodes:
		r.verifying = false
		r.repairNeeded = true
		r.step = StepDocument
	case missing > 0:
		r.addRemark("the platform lacks %d shards of version %d; the next note that can reach a node restores them", missing, r.targetHead.Version)
		r.recordOutcome(now, r.report.outcome, nil)
	case len(r.pendingShards) == 0:
		r.recordOutcome(now, r.report.outcome, nil)
	default:
		r.verifying = true
		r.continueWriting(now)
	}
}

// recordUnconfirmedWrite keeps the head that a write with an unknown outcome was to
// replace, since the write may still take effect. A repair isn't kept: if it takes
// effect late, it undoes nothing.
func (r *Run) recordUnconfirmedWrite() {
	if r.repairing {
		r.repairing = false
		r.repairNeeded = false
		r.nodesChecked = false
		return
	}
	if !r.headWriteUnconfirmed {
		r.headWriteUnconfirmed = true
		r.unconfirmedResourceVersion = r.headObject.ResourceVersion()
		r.unconfirmedBaseVersion = r.headDoc.Version
	}
}

func writeAuditAction(object lentilplatform.Object, doc AuditDoc) Action {
	body, err := json.Marshal(doc)
	if err != nil {
		return Action{kind: ActionDone}
	}
	return writeAction(object.WithBody(body))
}

// writeAction returns the action that creates an object without a resource version, or
// that updates one that is stored.
func writeAction(object lentilplatform.Object) Action {
	if object.ResourceVersion() == "" {
		return Action{kind: ActionCreate, object: object}
	}
	return Action{kind: ActionUpdate, object: object}
}
