package lentilapply

import (
	"errors"
	"fmt"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilconfig"
	"lentilstair.example/lentilstair/pkg/lentilnote"
	"lentilstair.example/lentilstair/pkg/lentilplatform"
)

// Defaults of a Run.
const (
	// DefaultAcceptTimeout bounds the time until the note is accepted.
	DefaultAcceptTimeout = 30 * time.Second
	// DefaultPropagationTimeout bounds the time until all nodes have the note's version
	// in force.
	DefaultPropagationTimeout = 30 * time.Second
	// auditTimeout bounds the time to verify the shards and complete the audit record.
	auditTimeout = 5 * time.Second
	// recheckedPropagationTimeout bounds the wait for the nodes after the head was read
	// once more.
	recheckedPropagationTimeout = time.Second
	// nodeQueryInterval is the time between two queries of the nodes.
	nodeQueryInterval = 300 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the delay between two attempts.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 2 * time.Second
	// maxRestarts bounds how often a run may start over because the platform's data
	// have changed.
	maxRestarts = 50
)

// Step is the current step of a run.
type Step uint8

// The steps, in the order in which a run without faults takes them.
const (
	// StepHead reads the head.
	StepHead Step = iota
	// StepNodes queries the nodes to detect a platform with older data than theirs.
	StepNodes
	// StepDocument fetches the newer configuration from the nodes.
	StepDocument
	// StepShards reads the shards that the head names.
	StepShards
	// StepLookup reads the note's audit record.
	StepLookup
	// StepPrevious reads the audit record of the previous note.
	StepPrevious
	// StepSettle completes that record if its writer didn't.
	StepSettle
	// StepIntent writes the note's audit record as pending.
	StepIntent
	// StepWrite stores a new shard.
	StepWrite
	// StepTouch reads a shard that exists already.
	StepTouch
	// StepTouched updates that shard with a new marker, which makes a concurrent removal
	// of it fail with a conflict.
	StepTouched
	// StepMove replaces the head.
	StepMove
	// StepVerify checks that the shards of the new head still exist. The platform may
	// have been restored from older data that holds the same head.
	StepVerify
	// StepResult reads the note's audit record again.
	StepResult
	// StepRecord writes the outcome to that record.
	StepRecord
	// StepSpread waits until the nodes have the version in force.
	StepSpread
	// StepDone is the end of the run.
	StepDone
)

// Run applies one note. Set Note, then call Start. Every other field may be zero. A
// Run is used by one goroutine.
type Run struct {
	// Note is the note to apply.
	Note lentilnote.Note
	// Random returns a number from 0 up to 1, excluding 1, for jitter and for write markers
	// that must differ between runs. Nil means always 0.5, which is sufficient for a single
	// writer.
	Random func() float64
	// CanQueryNodes means that the caller can perform ActionQueryNodes and
	// ActionFetchConfiguration.
	CanQueryNodes bool
	// AcceptTimeout bounds the time until the note is accepted, and PropagationTimeout
	// the time until all nodes have it in force. Zero means DefaultAcceptTimeout and
	// DefaultPropagationTimeout.
	AcceptTimeout      time.Duration
	PropagationTimeout time.Duration

	step     Step
	report   Report
	started  time.Time
	deadline time.Time
	wait     time.Duration
	attempts int
	restarts int

	headObject          lentilplatform.Object
	headDoc             lentilconfig.HeadObjectDoc
	lastHeadVersion     uint64 // the version of the last head read or restored
	nodesChecked        bool   // the platform was compared with the nodes
	newerNodeVersion    uint64 // the version of a node that is ahead of the head
	repairNeeded        bool   // the platform's history differs from the nodes', or shards are missing
	platformRegressed   bool   // a read head was older than one read before
	acceptanceRecorded  bool   // this run has recorded the note as accepted
	headRechecked       bool   // the head was read again after the wait for the nodes
	acceptanceConfirmed bool   // a read of the platform has shown that the note is accepted
	shardMissingAt      string // the resource version of the head that named a missing shard
	verifying           bool   // the head is accepted and its shards are verified or restored
	assembly            *lentilconfig.Assembly
	shardBodies         map[lentilconfig.Digest][]byte
	planBase            *lentilconfig.Document
	current             lentilconfig.Document

	auditObject         lentilplatform.Object
	auditDoc            AuditDoc
	previousAuditObject lentilplatform.Object
	previousAuditDoc    AuditDoc

	repairing     bool
	targetHead    lentilconfig.HeadDoc
	targetShards  map[lentilconfig.Digest]lentilconfig.Shard
	pendingShards []lentilconfig.Shard
	existingShard lentilplatform.Object
	writeMarker   string
	auditOpened   bool
	// headWriteUnconfirmed is true after a write of the head with an unknown outcome, and
	// if the platform may have lost an accepted note. The two fields below identify the
	// head that the write was to replace.
	headWriteUnconfirmed       bool
	unconfirmedResourceVersion string
	unconfirmedBaseVersion     uint64
}

// Start begins the run.
func (r *Run) Start(now time.Time) {
	if r.AcceptTimeout == 0 {
		r.AcceptTimeout = DefaultAcceptTimeout
	}
	if r.PropagationTimeout == 0 {
		r.PropagationTimeout = DefaultPropagationTimeout
	}
	r.started = now
	r.deadline = now.Add(r.AcceptTimeout)
	r.shardBodies = make(map[lentilconfig.Digest][]byte)
}

// Step returns the current step.
func (r *Run) Step() Step { return r.step }

// Report returns the result of the run, or its state so far.
func (r *Run) Report() Report { return r.report }

// Action returns the next action to perform.
func (r *Run) Action() (action Action) {
	if r.wait > 0 {
		return Action{kind: ActionWait, wait: r.wait}
	}
	switch r.step {
	case StepHead:
		return getAction(lentilplatform.KindHead, lentilconfig.HeadObjectName)
	case StepNodes, StepSpread:
		return Action{kind: ActionQueryNodes}
	case StepDocument:
		return Action{kind: ActionFetchConfiguration}
	case StepShards:
		return getAction(lentilplatform.KindShard, string(r.assembly.Missing()[0]))
	case StepLookup, StepResult:
		return getAction(lentilplatform.KindAudit, r.Note.ID())
	case StepPrevious:
		return getAction(lentilplatform.KindAudit, r.headDoc.NoteID)
	case StepSettle:
		return writeAuditAction(r.previousAuditObject, r.previousAuditDoc)
	case StepIntent, StepRecord:
		return writeAuditAction(r.auditObject, r.auditDoc)
	case StepWrite:
		return r.createShardAction()
	case StepTouch:
		return getAction(lentilplatform.KindShard, string(r.pendingShards[0].Name()))
	case StepTouched:
		return r.touchShardAction()
	case StepMove:
		return r.updateHeadAction()
	case StepVerify:
		return listAction(lentilplatform.KindShard)
	default:
		return Action{kind: ActionDone}
	}
}

// Handle processes the answer to the action that Action returned.
func (r *Run) Handle(now time.Time, answer Answer) {
	if r.wait > 0 {
		r.wait = 0
		return
	}
	if r.retryUnavailable(now, answer.Err) {
		return
	}
	r.attempts = 0
	switch r.step {
	case StepHead:
		r.handleHead(now, answer)
	case StepNodes:
		r.handleNodes(now, answer)
	case StepDocument:
		r.handleDocument(now, answer)
	case StepShards:
		r.handleShard(now, answer)
	case StepLookup:
		r.handleLookup(now, answer)
	case StepPrevious:
		r.handlePrevious(now, answer)
	case StepSettle:
		r.planNote(now)
	case StepIntent:
		r.handleIntent(now, answer)
	case StepWrite:
		r.handleWrite(now, answer)
	case StepTouch:
		r.handleTouch(now, answer)
	case StepTouched:
		r.handleTouched(now, answer)
	case StepMove:
		r.handleMove(now, answer)
	case StepVerify:
		r.handleVerify(now, answer)
	case StepResult:
		r.handleResult(now, answer)
	case StepRecord:
		r.handleRecord(now, answer)
	case StepSpread:
		r.handlePropagation(now, answer)
	}
}

// retryUnavailable repeats the step after a delay if the platform was unavailable,
// limited the rate of calls or sent an unreadable answer. After the deadline it
// abandons the step. Writes with an unknown outcome and failed queries of the nodes are
// left to the step's handler.
func (r *Run) retryUnavailable(now time.Time, err error) (handled bool) {
	unavailable := errors.Is(err, lentilplatform.ErrUnavailable) ||
		errors.Is(err, lentilplatform.ErrLimited) ||
		errors.Is(err, lentilplatform.ErrFaulty)
	if !unavailable || r.step == StepNodes || r.step == StepDocument || r.step == StepSpread {
		return false
	}
	if now.After(r.deadline) {
		r.abandon(now, err)
		return true
	}
	r.backOff(err)
	return true
}

// backOff waits before the next attempt. The delay doubles with each attempt, with
// jitter, and is never shorter than the platform asks for.
func (r *Run) backOff(err error) {
	r.attempts++
	wait := min(minRetryDelay<<min(r.attempts-1, 10), maxRetryDelay)
	wait = wait/2 + time.Duration(r.random()*float64(wait/2))
	var failure *lentilplatform.Error
	if errors.As(err, &failure) {
		wait = max(wait, failure.RetryAfter())
	}
	r.wait = max(wait, time.Millisecond)
}

func (r *Run) random() float64 {
	if r.Random == nil {
		return 0.5
	}
	return r.Random()
}

// abandon ends a step that failed or reached its deadline. If the outcome of the note
// is known by then, only its audit record stays incomplete.
func (r *Run) abandon(now time.Time, err error) {
	switch {
	case r.report.outcome != OutcomeOpen:
		r.addRemark("the audit record is incomplete: %v; the next note completes it", err)
		r.awaitPropagation(now)
	case r.headWriteUnconfirmed:
		r.end(OutcomeUnknown, err)
	default:
		r.end(OutcomeUnavailable, err)
	}
}

// restart starts over from the head because the platform's data have changed. After
// the deadline or maxRestarts it abandons the run.
func (r *Run) restart(now time.Time, err error) {
	r.restarts++
	if now.After(r.deadline) || r.restarts > maxRestarts {
		r.abandon(now, err)
		return
	}
	r.step = StepHead
	r.backOff(nil)
}

// fail ends the run for an error of the platform that a retry wouldn't fix.
func (r *Run) fail(err error) {
	outcome := OutcomeUnavailable
	if errors.Is(err, lentilplatform.ErrRefused) || errors.Is(err, lentilplatform.ErrTooLarge) || errors.Is(err, ErrCorrupt) {
		outcome = OutcomeRefused
	}
	r.end(outcome, err)
}

// end ends the run without recording the outcome in the platform. While a write of
// the head is unconfirmed, the outcome is OutcomeUnknown, since the other ones state
// that nothing was changed.
func (r *Run) end(outcome Outcome, err error) {
	if r.headWriteUnconfirmed {
		outcome = OutcomeUnknown
	}
	r.report.outcome = outcome
	r.report.err = err
	r.step = StepDone
}

// recordOutcome sets the outcome and starts to write it to the audit record.
func (r *Run) recordOutcome(now time.Time, outcome Outcome, err error) {
	r.report.outcome = outcome
	r.report.err = err
	r.deadline = now.Add(auditTimeout)
	r.step = StepResult
}

func (r *Run) addRemark(format string, args ...any) {
	r.report.remarks = append(r.report.remarks, fmt.Sprintf(format, args...))
}

func getAction(kind lentilplatform.Kind, name string) Action {
	return Action{kind: ActionGet, object: lentilplatform.NewObject(kind, name, nil)}
}

// Interrupt ends the run early, for example if an operator stops the command.
func (r *Run) Interrupt(err error) {
	if r.report.outcome != OutcomeOpen {
		r.step = StepDone
		return
	}
	r.end(OutcomeUnavailable, err)
}
