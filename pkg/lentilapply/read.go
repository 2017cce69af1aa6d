package lentilapply

import (
	"errors"
	"fmt"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilconfig"
	"lentilstair.example/lentilstair/pkg/lentilplatform"
)

// handleHead compares the platform with the nodes at first, and judges the head.
func (r *Run) handleHead(now time.Time, answer Answer) {
	if err := r.takeHead(answer); err != nil {
		r.fail(err)
		return
	}
	if r.AskNodes && !r.checked {
		r.step = StepNodes
		return
	}
	r.judge(now)
}

// judge looks for the note among those accepted, and goes on to read the rest.
func (r *Run) judge(now time.Time) {
	if r.suspected > r.headDoc.Version {
		r.step = StepDocument
		return
	}
	if r.found(now) || !r.settled() {
		return
	}
	if r.headDoc.Version < r.seen {
		r.older(now)
		return
	}
	r.seen = r.headDoc.Version
	r.readShards(now)
}

// takeHead remembers the head that was read, or that there is none yet.
func (r *Run) takeHead(answer Answer) (err error) {
	r.headObject = lentilplatform.NewObject(lentilplatform.KindHead, lentilconfig.HeadName, nil)
	r.headDoc = lentilconfig.HeadObjectDoc{}
	if errors.Is(answer.Err, lentilplatform.ErrNotFound) {
		return nil
	}
	if answer.Err != nil {
		return answer.Err
	}
	doc, err := lentilconfig.ParseHeadObject(answer.Object.Body())
	if err != nil {
		return fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	r.headObject = answer.Object
	r.headDoc = doc
	return nil
}

// found ends the run if the head names the note, or another one of the same id.
func (r *Run) found(now time.Time) bool {
	for _, mark := range r.headDoc.Recent {
		if mark.NoteID != r.Note.ID() {
			continue
		}
		if mark.Digest != r.Note.Digest() {
			r.end(OutcomeRefused, fmt.Errorf("%w: version %d was made by it, by %s", ErrReused, mark.Version, mark.Author))
			return true
		}
		r.report.version = mark.Version
		outcome := OutcomeAlready
		if r.inDoubt {
			outcome = OutcomeAccepted
		}
		r.inDoubt = false
		r.confirmed = true
		r.report.outcome = outcome
		if r.target.Digest() != r.headDoc.Digest() {
			r.whole = nil
		}
		r.target = r.headDoc.HeadDoc
		r.deadline = now.Add(auditWithin)
		r.step = StepVerify
		return true
	}
	return false
}

// settled says whether the run may go on after a lost answer. If the head is
// still the one that the write was to replace, the same write is made again: at
// most one of both takes effect. If the head has moved on without the note, the
// write can't take effect any more. A platform that came back with older data
// settles nothing: the nodes may have seen the note.
func (r *Run) settled() bool {
	if !r.inDoubt || r.headDoc.Version < r.doubtAfter {
		return true
	}
	if r.headObject.Version() == r.doubtAt {
		r.step = StepMove
		return false
	}
	recent := r.headDoc.Recent
	if r.headDoc.Version > r.doubtAfter && (len(recent) == 0 || recent[0].Version > r.doubtAfter+1) {
		r.end(OutcomeUnknown, fmt.Errorf("the head doesn't name the notes since version %d any more", r.doubtAfter))
		return false
	}
	r.inDoubt = false
	return true
}

// older treats a platform that came back with less than this run has seen.
func (r *Run) older(now time.Time) {
	if !r.AskNodes {
		r.end(OutcomeRefused, fmt.Errorf("%w: version %d after version %d", ErrOlderPlatform, r.headDoc.Version, r.seen))
		return
	}
	r.seen = r.headDoc.Version
	r.regressed = true
	r.checked = false
	r.base = nil
	r.step = StepNodes
	if now.After(r.deadline) {
		r.giveUp(now, ErrOlderPlatform)
	}
}

// handleNodes compares the platform with what the nodes have in force. A run that
// has seen newer data in the platform doesn't go on without them.
func (r *Run) handleNodes(now time.Time, answer Answer) {
	silent := answer.Err != nil || len(answer.Nodes) == 0
	switch {
	case silent && r.regressed:
		r.repeat(now, ErrOlderPlatform)
	case silent:
		r.checked = true
		r.remark("no node could be asked whether the platform is up to date")
		r.judge(now)
	case forked(answer.Nodes, r.headDoc.Recent):
		r.checked = true
		r.forked = true
		r.step = StepDocument
	case newest(answer.Nodes) > r.headDoc.Version:
		// A note may have been accepted since the head was read: read it again first.
		r.checked = true
		r.suspected = newest(answer.Nodes)
		r.restart(now, ErrOlderPlatform)
	default:
		r.checked = true
		r.judge(now)
	}
}

// handleDocument puts the nodes' configuration back into the platform, so that
// nothing accepted is lost: a newer one, or the shards of the same one.
func (r *Run) handleDocument(now time.Time, answer Answer) {
	if answer.Err != nil {
		r.repeat(now, fmt.Errorf("%w, and no node gave its own: %w", ErrOlderPlatform, answer.Err))
		return
	}
	document := answer.Document
	if err := document.Check(); err != nil || !r.mends(document) {
		r.end(OutcomeRefused, fmt.Errorf("%w, and the nodes gave version %d", ErrOlderPlatform, document.Version))
		return
	}
	r.remark("the platform held version %d; version %d was put back from the nodes", r.headDoc.Version, document.Version)
	for _, mark := range r.headDoc.Recent {
		if lost(mark, document) {
			r.remark("note %s by %s was accepted on older data and isn't in force; apply it again under another id", mark.NoteID, mark.Author)
		}
	}
	r.repairing = true
	r.seen = document.Version
	r.suspected = 0
	r.regressed = false
	r.target, r.shards = r.split(document, func(lentilconfig.Digest) bool { return false })
	r.writeNext(now)
}

// mends reports whether the nodes' document takes the place of the platform's: it
// is newer, or the platform's is of another history or lacks shards.
func (r *Run) mends(document lentilconfig.Document) bool {
	return document.Version > r.headDoc.Version || r.forked && document.Version > 0
}

// lost reports whether a note isn't part of the nodes' history.
func lost(mark lentilconfig.MarkDoc, document lentilconfig.Document) bool {
	if mark.Version > document.Version {
		return true
	}
	for _, other := range document.Recent {
		if other.Version == mark.Version {
			return other != mark
		}
	}
	return false
}

func (r *Run) readShards(now time.Time) {
	r.assembly = lentilconfig.NewAssembly(r.headDoc.HeadDoc)
	for _, name := range r.assembly.Missing() {
		if body, held := r.known[name]; held {
			// What was added once can be added again.
			_ = r.assembly.Add(name, body)
		}
	}
	r.shardsDone(now)
}

func (r *Run) handleShard(now time.Time, answer Answer) {
	name := r.assembly.Missing()[0]
	if errors.Is(answer.Err, lentilplatform.ErrNotFound) {
		r.gone(now, fmt.Errorf("%w: shard %s is gone", ErrDamaged, name))
		return
	}
	if answer.Err != nil {
		r.fail(answer.Err)
		return
	}
	shard, err := lentilconfig.ParseShardObject(name, answer.Object.Body())
	if err == nil {
		err = r.assembly.Add(shard.Name(), shard.Body())
	}
	if err != nil {
		r.end(OutcomeRefused, fmt.Errorf("%w: %w", ErrDamaged, err))
		return
	}
	r.known[name] = shard.Body()
	r.shardsDone(now)
}

// gone treats a shard that isn't there: the head has moved on, or if it hasn't,
// the platform came back with older data and the nodes are asked for theirs.
func (r *Run) gone(now time.Time, err error) {
	if r.AskNodes && r.missingAt == r.headObject.Version() {
		r.forked = true
		r.step = StepDocument
		return
	}
	r.missingAt = r.headObject.Version()
	r.restart(now, err)
}

func (r *Run) shardsDone(now time.Time) {
	if len(r.assembly.Missing()) > 0 {
		r.step = StepShards
		return
	}
	document, err := r.assembly.Document()
	if err != nil {
		r.end(OutcomeRefused, fmt.Errorf("%w: %w", ErrDamaged, err))
		return
	}
	r.current = document
	if !r.opened {
		r.step = StepLookup
		return
	}
	r.plan(now)
}
