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
	// DefaultPropagationTimeout bounds the time until it is in force everywhere.
	DefaultPropagationTimeout = 30 * time.Second
	// auditTimeout bounds the time for the last audit record.
	auditTimeout = 5 * time.Second
	// recheckedPropagationTimeout bounds the wait after the head was read once more.
	recheckedPropagationTimeout = time.Second
	// nodeQueryInterval is the time between two questions to the nodes.
	nodeQueryInterval = 300 * time.Millisecond
	// minRetryDelay and retryMax bound the time between two attempts.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 2 * time.Second
	// maxRestarts bounds how often the platform's data may be found to have moved.
	maxRestarts = 50
)

// Step is where a run stands.
type Step uint8

// The steps, in the order in which a run without faults takes them.
const (
	// StepHead reads the head.
	StepHead Step = iota
	// StepNodes asks the nodes whether the platform holds older data than they do.
	StepNodes
	// StepDocument asks the nodes for the newer configuration.
	StepDocument
	// StepShards reads the shards that the head names.
	StepShards
	// StepLookup reads the note's audit record.
	StepLookup
	// StepPrevious reads the audit record of the note before, and
	StepPrevious
	// StepSettle completes it if its writer didn't.
	StepSettle
	// StepIntent writes the note's audit record as pending.
	StepIntent
	// StepWrite stores a new shard;
	StepWrite
	// StepTouch reads one that exists already, and
	StepTouch
	// StepTouched marks it as taken up, so that no removal under way takes it.
	StepTouched
	// StepMove moves the head.
	StepMove
	// StepVerify looks whether the shards of the new head are still there: the
	// platform may have gone back to older data that holds the same head.
	StepVerify
	// StepResult reads the note's audit record again, and
	StepResult
	// StepRecord writes what came of the note.
	StepRecord
	// StepSpread waits until the nodes have the version in force.
	StepSpread
	// StepDone ends.
	StepDone
)

// Run carries out one note. Set Note, then call Start; every other field may be
// zero. A Run is used by one goroutine.
type Run struct {
	// Note is carried out.
	Note lentilnote.Note
	// Random returns a number from 0 up to 1, for jitter and for marks that must
	// differ between runs; nil means 0.5 and is for a single writer.
	Random func() float64
	// AskNodes says that ActionNodes and ActionDocument can be answered.
	AskNodes bool
	// AcceptTimeout and Spread bound the time; zero means DefaultAccept and DefaultSpread.
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
	lastHeadVersion     uint64
	nodesChecked        bool
	newerNodeVersion    uint64
	repairNeeded        bool
	platformRegressed   bool
	acceptanceRecorded  bool
	headRechecked       bool
	acceptanceConfirmed bool
	shardMissingAt      string
	verifying           bool
	assembly            *lentilconfig.Assembly
	shardBodies         map[lentilconfig.Digest][]byte
	planBase            *lentilconfig.Document
	current             lentilconfig.Document

	auditObject         lentilplatform.Object
	auditDoc            AuditDoc
	previousAuditObject lentilplatform.Object
	previousAuditDoc    AuditDoc

	repairing                  bool
	targetHead                 lentilconfig.HeadDoc
	targetShards               map[lentilconfig.Digest]lentilconfig.Shard
	pendingShards              []lentilconfig.Shard
	existingShard              lentilplatform.Object
	writeMarker                string
	auditOpened                bool
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

// Step returns where the run stands.
func (r *Run) Step() Step { return r.step }

// Report returns what came of the run, or how far it is.
func (r *Run) Report() Report { return r.report }

// Action returns what has to be done next.
func (r *Run) Action() (action Action) {
	if r.wait > 0 {
		return Action{kind: ActionWait, wait: r.wait}
	}
	switch r.step {
	case StepHead:
		return getAction(lentilplatform.KindHead, lentilconfig.HeadName)
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

// Handle takes what came of the action that Action returned.
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

// retryUnavailable repeats the step after a pause if the platform couldn't be used, and
// gives up when the time is over. A lost answer isn't its matter.
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

// backOff lets time pass before the next attempt: twice as long each time, with
// jitter, and never shorter than the platform asks.
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

// abandon ends a step whose time is over.
func (r *Run) abandon(now time.Time, err error) {
	switch {
	case r.report.outcome != OutcomeOpen:
		r.addRemark("the audit record isn't complete: %v; the next note completes it", err)
		r.awaitPropagation(now)
	case r.headWriteUnconfirmed:
		r.end(OutcomeUnknown, err)
	default:
		r.end(OutcomeUnavailable, err)
	}
}

// restart reads everything anew because the platform's data have moved.
func (r *Run) restart(now time.Time, err error) {
	r.restarts++
	if now.After(r.deadline) || r.restarts > maxRestarts {
		r.abandon(now, err)
		return
	}
	r.step = StepHead
	r.backOff(nil)
}

// fail ends the run for an error of the platform that no repetition mends.
func (r *Run) fail(err error) {
	outcome := OutcomeUnavailable
	if errors.Is(err, lentilplatform.ErrRefused) || errors.Is(err, lentilplatform.ErrTooLarge) || errors.Is(err, ErrCorrupt) {
		outcome = OutcomeRefused
	}
	r.end(outcome, err)
}

// end ends the run without a word to the platform. Nothing is said to be
// unchanged while a write is in doubt.
func (r *Run) end(outcome Outcome, err error) {
	if r.headWriteUnconfirmed {
		outcome = OutcomeUnknown
	}
	r.report.outcome = outcome
	r.report.err = err
	r.step = StepDone
}

// recordOutcome sets the outcome and goes on to record it.
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

// Interrupt ends the run early, as when an operator stops the command.
func (r *Run) Interrupt(err error) {
	if r.report.outcome != OutcomeOpen {
		r.step = StepDone
		return
	}
	r.end(OutcomeUnavailable, err)
}
