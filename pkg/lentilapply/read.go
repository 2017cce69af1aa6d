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
	if err := r.recordHead(answer); err != nil {
		r.fail(err)
		return
	}
	if r.AskNodes && !r.nodesChecked {
		r.step = StepNodes
		return
	}
	r.checkHead(now)
}

// checkHead looks for the note among those accepted, and goes on to read the rest.
func (r *Run) checkHead(now time.Time) {
	if r.newerNodeVersion > r.headDoc.Version {
		r.step = StepDocument
		return
	}
	if r.findNote(now) || !r.resolveHeadWrite() {
		return
	}
	if r.headDoc.Version < r.lastHeadVersion {
		r.handleRegression(now)
		return
	}
	r.lastHeadVersion = r.headDoc.Version
	r.readShards(now)
}

// recordHead remembers the head that was read, or that there is none yet.
func (r *Run) recordHead(answer Answer) (err error) {
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
		return fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	r.headObject = answer.Object
	r.headDoc = doc
	return nil
}

// findNote ends the run if the head names the note, or another one of the same id.
func (r *Run) findNote(now time.Time) bool {
	for _, mark := range r.headDoc.Recent {
		if mark.NoteID != r.Note.ID() {
			continue
		}
		if mark.Digest != r.Note.Digest() {
			r.end(OutcomeRefused, fmt.Errorf("%w: version %d was made by it, by %s", ErrIDReused, mark.Version, mark.Author))
			return true
		}
		r.report.version = mark.Version
		outcome := OutcomeAlready
		if r.headWriteUnconfirmed {
			outcome = OutcomeAccepted
		}
		r.headWriteUnconfirmed = false
		r.acceptanceConfirmed = true
		r.report.outcome = outcome
		if r.targetHead.Digest() != r.headDoc.Digest() {
			r.targetShards = nil
		}
		r.targetHead = r.headDoc.HeadDoc
		r.deadline = now.Add(auditTimeout)
		r.step = StepVerify
		return true
	}
	return false
}

// resolveHeadWrite says whether the run may go on after a lost answer. If the head is
// still the one that the write was to replace, the same write is made again: at
// most one of both takes effect. If the head has moved on without the note, the
// write can't take effect any more. A platform that came back with older data
// settles nothing: the nodes may have seen the note.
func (r *Run) resolveHeadWrite() bool {
	if !r.headWriteUnconfirmed || r.headDoc.Version < r.unconfirmedBaseVersion {
		return true
	}
	if r.headObject.ResourceVersion() == r.unconfirmedResourceVersion {
		r.step = StepMove
		return false
	}
	recent := r.headDoc.Recent
	if r.headDoc.Version > r.unconfirmedBaseVersion && (len(recent) == 0 || recent[0].Version > r.unconfirmedBaseVersion+1) {
		r.end(OutcomeUnknown, fmt.Errorf("the head doesn't name the notes since version %d any more", r.unconfirmedBaseVersion))
		return false
	}
	r.headWriteUnconfirmed = false
	return true
}

// handleRegression treats a platform that came back with less than this run has seen.
func (r *Run) handleRegression(now time.Time) {
	if !r.AskNodes {
		r.end(OutcomeRefused, fmt.Errorf("%w: version %d after version %d", ErrPlatformOutdated, r.headDoc.Version, r.lastHeadVersion))
		return
	}
	r.lastHeadVersion = r.headDoc.Version
	r.platformRegressed = true
	r.nodesChecked = false
	r.planBase = nil
	r.step = StepNodes
	if now.After(r.deadline) {
		r.abandon(now, ErrPlatformOutdated)
	}
}

// handleNodes compares the platform with what the nodes have in force. A run that
// has seen newer data in the platform doesn't go on without them.
func (r *Run) handleNodes(now time.Time, answer Answer) {
	silent := answer.Err != nil || len(answer.Nodes) == 0
	switch {
	case silent && r.platformRegressed:
		r.retry(now, ErrPlatformOutdated)
	case silent:
		r.nodesChecked = true
		r.addRemark("no node could be asked whether the platform is up to date")
		r.checkHead(now)
	case historyForked(answer.Nodes, r.headDoc.Recent):
		r.nodesChecked = true
		r.repairNeeded = true
		r.step = StepDocument
	case highestVersion(answer.Nodes) > r.headDoc.Version:
		// A note may have been accepted since the head was read: read it again first.
		r.nodesChecked = true
		r.newerNodeVersion = highestVersion(answer.Nodes)
		r.restart(now, ErrPlatformOutdated)
	default:
		r.nodesChecked = true
		r.checkHead(now)
	}
}

// handleDocument puts the nodes' configuration back into the platform, so that
// nothing accepted is lost: a newer one, or the shards of the same one.
func (r *Run) handleDocument(now time.Time, answer Answer) {
	if answer.Err != nil {
		r.retry(now, fmt.Errorf("%w, and no node gave its own: %w", ErrPlatformOutdated, answer.Err))
		return
	}
	document := answer.Document
	if err := document.Check(); err != nil || !r.canRepairWith(document) {
		r.end(OutcomeRefused, fmt.Errorf("%w, and the nodes gave version %d", ErrPlatformOutdated, document.Version))
		return
	}
	r.addRemark("the platform held version %d; version %d was put back from the nodes", r.headDoc.Version, document.Version)
	for _, mark := range r.headDoc.Recent {
		if missingFromHistory(mark, document) {
			r.addRemark("note %s by %s was accepted on older data and isn't in force; apply it again under another id", mark.NoteID, mark.Author)
		}
	}
	r.repairing = true
	r.lastHeadVersion = document.Version
	r.newerNodeVersion = 0
	r.platformRegressed = false
	r.targetHead, r.pendingShards = r.splitDocument(document, func(lentilconfig.Digest) bool { return false })
	r.continueWriting(now)
}

// canRepairWith reports whether the nodes' document takes the place of the platform's: it
// is newer, or the platform's is of another history or lacks shards.
func (r *Run) canRepairWith(document lentilconfig.Document) bool {
	return document.Version > r.headDoc.Version || r.repairNeeded && document.Version > 0
}

// missingFromHistory reports whether a note isn't part of the nodes' history.
func missingFromHistory(mark lentilconfig.MarkDoc, document lentilconfig.Document) bool {
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
		if body, held := r.shardBodies[name]; held {
			// What was added once can be added again.
			_ = r.assembly.Add(name, body)
		}
	}
	r.assembleDocument(now)
}

func (r *Run) handleShard(now time.Time, answer Answer) {
	name := r.assembly.Missing()[0]
	if errors.Is(answer.Err, lentilplatform.ErrNotFound) {
		r.handleMissingShard(now, fmt.Errorf("%w: shard %s is gone", ErrCorrupt, name))
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
		r.end(OutcomeRefused, fmt.Errorf("%w: %w", ErrCorrupt, err))
		return
	}
	r.shardBodies[name] = shard.Body()
	r.assembleDocument(now)
}

// handleMissingShard treats a shard that isn't there: the head has moved on, or if it hasn't,
// the platform came back with older data and the nodes are asked for theirs.
func (r *Run) handleMissingShard(now time.Time, err error) {
	if r.AskNodes && r.shardMissingAt == r.headObject.ResourceVersion() {
		r.repairNeeded = true
		r.step = StepDocument
		return
	}
	r.shardMissingAt = r.headObject.ResourceVersion()
	r.restart(now, err)
}

func (r *Run) assembleDocument(now time.Time) {
	if len(r.assembly.Missing()) > 0 {
		r.step = StepShards
		return
	}
	document, err := r.assembly.Document()
	if err != nil {
		r.end(OutcomeRefused, fmt.Errorf("%w: %w", ErrCorrupt, err))
		return
	}
	r.current = document
	if !r.auditOpened {
		r.step = StepLookup
		return
	}
	r.planNote(now)
}
