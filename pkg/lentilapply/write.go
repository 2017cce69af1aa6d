package lentilapply

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilconfig"
	"lentilstair.example/lentilstair/pkg/lentilplatform"
)

// writeNext goes on to the next shard, or to the head after the last one.
func (r *Run) writeNext(now time.Time) {
	switch {
	case r.step == StepDone:
	case len(r.shards) > 0:
		r.stamp()
		r.step = StepWrite
	case r.verifying:
		r.step = StepVerify
	default:
		r.step = StepMove
	}
	if r.step != StepDone && now.After(r.deadline) {
		r.giveUp(now, lentilplatform.ErrUnavailable)
	}
}

// stamp draws the mark that tells this writer's touch of a shard from all others.
func (r *Run) stamp() {
	r.mark = fmt.Sprintf("%s/%d/%08x", r.Note.ID(), r.restarts, uint32(r.random()*(1<<32-1)))
}

func (r *Run) createShard() Action {
	shard := r.shards[0]
	body, err := shard.ObjectBody(r.mark)
	if err != nil {
		// The shard was written by this process and can be read.
		return Action{kind: ActionDone}
	}
	return Action{kind: ActionCreate, object: lentilplatform.NewObject(lentilplatform.KindShard, string(shard.Name()), body)}
}

func (r *Run) handleWrite(now time.Time, answer Answer) {
	switch {
	case answer.Err == nil:
		r.shardWritten(now)
	case errors.Is(answer.Err, lentilplatform.ErrExists):
		r.step = StepTouch
	case errors.Is(answer.Err, lentilplatform.ErrOutcomeUnknown):
		// Writing it again does no harm.
		r.repeat(now, answer.Err)
	default:
		r.fail(answer.Err)
	}
}

// repeat makes the step's action again after a pause.
func (r *Run) repeat(now time.Time, err error) {
	if now.After(r.deadline) {
		r.giveUp(now, err)
		return
	}
	r.pause(err)
}

func (r *Run) handleTouch(now time.Time, answer Answer) {
	switch {
	case answer.Err == nil:
		r.touching = answer.Object
		r.stamp()
		r.step = StepTouched
	case errors.Is(answer.Err, lentilplatform.ErrNotFound):
		r.step = StepWrite
		r.repeat(now, answer.Err)
	default:
		r.fail(answer.Err)
	}
}

func (r *Run) touchShard() Action {
	body, err := r.shards[0].ObjectBody(r.mark)
	if err != nil {
		return Action{kind: ActionDone}
	}
	return Action{kind: ActionUpdate, object: r.touching.WithBody(body)}
}

func (r *Run) handleTouched(now time.Time, answer Answer) {
	if answer.Err == nil {
		r.shardWritten(now)
		return
	}
	// Another writer touched it, a removal took it, or the answer is lost.
	r.step = StepWrite
	r.repeat(now, answer.Err)
}

func (r *Run) shardWritten(now time.Time) {
	r.known[r.shards[0].Name()] = r.shards[0].Body()
	r.shards = r.shards[1:]
	r.writeNext(now)
}

// moveHead replaces the head that was read. Whoever read an older one fails.
func (r *Run) moveHead() Action {
	body, err := json.Marshal(lentilconfig.HeadObjectDoc{HeadDoc: r.target, Cleaned: r.headDoc.Cleaned})
	if err != nil {
		return Action{kind: ActionDone}
	}
	return write(r.headObject.WithBody(body))
}

func (r *Run) handleMove(now time.Time, answer Answer) {
	switch err := answer.Err; {
	case err == nil && r.repairing:
		r.repairing = false
		r.forked = false
		r.restart(now, ErrOlderPlatform)
	case err == nil:
		r.inDoubt = false
		r.report.version = r.target.Version
		r.report.outcome = OutcomeAccepted
		r.verifying = true
		r.deadline = now.Add(auditWithin)
		r.step = StepVerify
	case errors.Is(err, lentilplatform.ErrConflict), errors.Is(err, lentilplatform.ErrExists), errors.Is(err, lentilplatform.ErrNotFound):
		if r.repairing {
			r.repairing = false
			r.forked = false
			r.checked = false
		}
		r.restart(now, err)
	case errors.Is(err, lentilplatform.ErrOutcomeUnknown):
		r.doubt()
		r.restart(now, err)
	default:
		r.fail(err)
	}
}

// handleVerify stores the shards anew that have gone, with the nodes' help if this
// run hasn't them.
func (r *Run) handleVerify(now time.Time, answer Answer) {
	if answer.Err != nil {
		r.repeat(now, answer.Err)
		return
	}
	there := make(map[lentilconfig.Digest]bool, len(answer.Objects))
	for _, object := range answer.Objects {
		there[lentilconfig.Digest(object.Name())] = true
	}
	lacking := 0
	r.shards = nil
	for _, name := range r.target.Shards {
		if there[name] {
			continue
		}
		there[name] = true
		if shard, held := r.whole[name]; held {
			r.shards = append(r.shards, shard)
		} else {
			lacking++
		}
	}
	switch {
	case lacking > 0 && r.AskNodes:
		r.verifying = false
		r.forked = true
		r.step = StepDocument
	case lacking > 0:
		r.remark("the platform lacks %d shards of version %d; the next note with a node to ask puts them back", lacking, r.target.Version)
		r.finish(now, r.report.outcome, nil)
	case len(r.shards) == 0:
		r.finish(now, r.report.outcome, nil)
	default:
		r.verifying = true
		r.writeNext(now)
	}
}

// doubt remembers a write of the head that may still take effect. A repair that
// may takes nothing back and need not be remembered.
func (r *Run) doubt() {
	if r.repairing {
		r.repairing = false
		r.forked = false
		r.checked = false
		return
	}
	if !r.inDoubt {
		r.inDoubt = true
		r.doubtAt = r.headObject.Version()
		r.doubtAfter = r.headDoc.Version
	}
}

func put(object lentilplatform.Object, doc AuditDoc) Action {
	body, err := json.Marshal(doc)
	if err != nil {
		return Action{kind: ActionDone}
	}
	return write(object.WithBody(body))
}

// write creates an object that hasn't been stored yet, or replaces it.
func write(object lentilplatform.Object) Action {
	if object.Version() == "" {
		return Action{kind: ActionCreate, object: object}
	}
	return Action{kind: ActionUpdate, object: object}
}
