package lentilapply

import (
	"errors"
	"fmt"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilconfig"
	"lentilstair.example/lentilstair/pkg/lentilplatform"
)

// handleHead records the head. The first time, it has the platform compared with
// the nodes before the head is checked.
func (r *Run) handleHead(now time.Time, answer Answer) {
	if err := r.recordHead(answer); err != nil {
		r.fail(err)
		return
	}
	if r.CanQueryNodes && !r.nodesChecked {
		r.step = StepNodes
		return
	}
	r.checkHead(now)
}

// checkHead decides how to proceed with the head that was read. If a node has a newer
// version than the head, it fetches the nodes' configuration. If the head names the
// note, the note is already accepted. If the head is older than one read before, the
// platform has lost data. Otherwise it goes on to read the shards.
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

// recordHead keeps the head that was read, or an empty one if none is stored yet.
func (r *Run) recordHead(answer Answer) (err error) {
	r.headObject = lentilplatform.NewObject(lentilplatform.KindHead, lentilconfig.HeadObjectName, nil)
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

// findNote looks for the note's ID in the head and reports whether it is there. It
// refuses the run if that entry is of a different note. Otherwise the note is
// accepted, and the shards of the head are verified next.
func (r *Run) findNote(now time.Time) bool {
	for _, entry := range r.headDoc.RecentNotes {
		if entry.NoteID != r.Note.ID() {
			continue
		}
		if entry.Digest != r.Note.Digest() {
			r.end(OutcomeRefused, fmt.Errorf("%w: it made version %d and is by %s", ErrIDReused, entry.Version, entry.Author))
			return true
		}
		r.report.version = entry.Version
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

// resolveHeadWrite decides how to proceed after the answer to a write of the head was
// lost, and reports whether the run continues with its next step. If the head is
// still the one that the write was to replace, the same write is repeated: at most
// one of the two takes effect. If the head has changed and doesn't name the note, the
// write can no longer take effect. A platform that was restored from older data
// leaves the write unconfirmed, since the nodes may have seen the note.
func (r *Run) resolveHeadWrite() bool {
	if !r.headWriteUnconfirmed || r.headDoc.Version < r.unconfirmedBaseVersion {
		return true
	}
	if r.headObject.ResourceVersion() == r.unconfirmedResourceVersion {
		r.step = StepMove
		return false
	}
	recent := r.headDoc.RecentNotes
	if r.headDoc.Version > r.unconfirmedBaseVersion && (len(recent) == 0 || recent[0].Version > r.unconfirmedBaseVersion+1) {
		r.end(OutcomeUnknown, fmt.Errorf("the head no longer names all notes since version %d", r.unconfirmedBaseVersion))
		return false
	}
	r.headWriteUnconfirmed = false
	return true
}

// handleRegression handles a head that is older than one that this run has read. It
// asks the nodes for their versions, or refuses the note if no node can be asked.
func (r *Run) handleRegression(now time.Time) {
	if !r.CanQueryNodes {
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

// handleNodes compares the platform with the versions that the nodes have in force.
// If the nodes have a different history, it fetches their configuration to repair the
// platform. If a node is ahead, it reads the head again first. If no node answers, the
// run goes on with a remark. But if the run has read newer data from the platform
// before, it asks again until a node answers or the deadline passes.
func (r *Run) handleNodes(now time.Time, answer Answer) {
	noAnswer := answer.Err != nil || len(answer.Nodes) == 0
	switch {
	case noAnswer && r.platformRegressed:
		r.retry(now, ErrPlatformOutdated)
	case noAnswer:
		r.nodesChecked = true
		r.addRemark("no node answered; the platform's data could not be checked against the nodes")
		r.checkHead(now)
	case historyForked(answer.Nodes, r.headDoc.RecentNotes):
		r.nodesChecked = true
		r.repairNeeded = true
		r.step = StepDocument
	case highestVersion(answer.Nodes) > r.headDoc.Version:
		// A note may have been accepted after the head was read, so read it again first.
		r.nodesChecked = true
		r.newerNodeVersion = highestVersion(answer.Nodes)
		r.restart(now, ErrPlatformOutdated)
	default:
		r.nodesChecked = true
		r.checkHead(now)
	}
}

// handleDocument starts to write the nodes' configuration back to the platform, so
// that no accepted note is lost. It writes all shards and then the head. A shard that
// is still stored only gets a new write marker.
func (r *Run) handleDocument(now time.Time, answer Answer) {
	if answer.Err != nil {
		r.retry(now, fmt.Errorf("%w, and no node returned its configuration: %w", ErrPlatformOutdated, answer.Err))
		return
	}
	document := answer.Document
	if err := document.Check(); err != nil || !r.canRepairWith(document) {
		r.end(OutcomeRefused, fmt.Errorf("%w, and version %d of the nodes can't replace them", ErrPlatformOutdated, document.Version))
		return
	}
	r.addRemark("the platform held version %d; version %d is restored from the nodes", r.headDoc.Version, document.Version)
	for _, entry := range r.headDoc.RecentNotes {
		if missingFromHistory(entry, document) {
			r.addRemark("note %s by %s was accepted on older data and isn't in force; apply it again under another id", entry.NoteID, entry.Author)
		}
	}
	r.repairing = true
	r.lastHeadVersion = document.Version
	r.newerNodeVersion = 0
	r.platformRegressed = false
	r.targetHead, r.pendingShards = r.splitDocument(document, func(lentilconfig.Digest) bool { return false })
	r.continueWriting(now)
}

// canRepairWith reports whether the nodes' document may replace the platform's: it is
// newer, or the platform's document has a different history or lacks shards.
func (r *Run) canRepairWith(document lentilconfig.Document) bool {
	return document.Version > r.headDoc.Version || r.repairNeeded && document.Version > 0
}

// missingFromHistory reports whether the note of a head's entry isn't part of the
// nodes' history.
func missingFromHistory(entry lentilconfig.AcceptedNoteDoc, document lentilconfig.Document) bool {
	if entry.Version > document.Version {
		return true
	}
	for _, other := range document.RecentNotes {
		if other.Version == entry.Version {
			return other != entry
		}
	}
	return false
}

func (r *Run) readShards(now time.Time) {
	r.assembly = lentilconfig.NewAssembly(r.headDoc.HeadDoc)
	for _, name := range r.assembly.Missing() {
		if body, known := r.shardBodies[name]; known {
			// This doesn't fail: the same body was added to an assembly before.
			_ = r.assembly.Add(name, body)
		}
	}
	r.assembleDocument(now)
}

func (r *Run) handleShard(now time.Time, answer Answer) {
	name := r.assembly.Missing()[0]
	if errors.Is(answer.Err, lentilplatform.ErrNotFound) {
		r.handleMissingShard(now, fmt.Errorf("%w: shard %s is missing", ErrCorrupt, name))
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

// handleMissingShard handles a shard that isn't stored. The head may have changed, so
// it is read again. If the shard is missing for the same head once more, the platform
// was restored from older data, and the nodes are asked for their configuration.
func (r *Run) handleMissingShard(now time.Time, err error) {
	if r.CanQueryNodes && r.shardMissingAt == r.headObject.ResourceVersion() {
		r.repairNeeded = true
		r.step = StepDocument
		return
	}
	r.shardMissingAt = r.headObject.ResourceVersion()
	r.restart(now, err)
}

// assembleDocument reads the next missing shard. Once all shards are read, it assembles
// the current configuration, and continues with the note's audit record or, if that is
// open already, with the plan.
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
