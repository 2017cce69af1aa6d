package lentilapply

import (
	"errors"

	"lentilstair.example/lentilstair/pkg/lentilnote"
)

// Outcome is the result of a run.
type Outcome uint8

// The outcomes.
const (
	// OutcomeOpen means that the run hasn't decided yet.
	OutcomeOpen Outcome = iota
	// OutcomeAccepted means that this run made the note's version.
	OutcomeAccepted
	// OutcomeAlready means that the note was accepted before this run.
	OutcomeAlready
	// OutcomeNothing means that the configuration is as the note wants it already. No
	// configuration was written.
	OutcomeNothing
	// OutcomeConflict means that a note accepted meanwhile changed the same objects, or
	// that the two don't fit together. Nothing was changed.
	OutcomeConflict
	// OutcomeRefused means that the note doesn't fit the configuration or its ID is taken,
	// or that the platform refused a call or holds data that can't be used. Nothing was
	// changed.
	OutcomeRefused
	// OutcomeUnavailable means that the platform couldn't be used before the timeout.
	// Nothing was changed.
	OutcomeUnavailable
	// OutcomeUnknown means that a write may still take effect and that its outcome
	// couldn't be read before the timeout. Running the same note again resolves it.
	OutcomeUnknown
)

// Errors of a run besides those of the note and of the platform.
var (
	// ErrIDReused means that a different note with the same ID was accepted or is
	// being applied.
	ErrIDReused = errors.New("another note has the same id")
	// ErrPlatformOutdated means that the platform was restored from older data and that
	// no node has returned the newer configuration.
	ErrPlatformOutdated = errors.New("the platform holds older data than before")
	// ErrCorrupt means that the configuration stored in the platform can't be read.
	ErrCorrupt = errors.New("the configuration in the platform is corrupt")
)

// Report is the result of a run, or its state so far.
type Report struct {
	outcome       Outcome
	version       uint64
	plan          lentilnote.Plan
	nodes         []Node
	nodesAnswered bool
	remarks       []string
	err           error
}

// Outcome returns the outcome of the run.
func (r Report) Outcome() Outcome { return r.outcome }

// Accepted reports whether the note is accepted, by this run or before.
func (r Report) Accepted() bool {
	return r.outcome == OutcomeAccepted || r.outcome == OutcomeAlready
}

// Version returns the version that the note made, or the current one if the note had
// nothing to change.
func (r Report) Version() uint64 { return r.version }

// Plan returns the changes of the note. It is empty if the run didn't plan the note.
func (r Report) Plan() lentilnote.Plan { return r.plan }

// NodesBehind returns the nodes that aren't known to have the version in force.
func (r Report) NodesBehind() []Node { return NodesBehind(r.nodes, r.version) }

// Nodes returns the last known states of the nodes.
func (r Report) Nodes() []Node { return r.nodes }

// InForce reports whether all nodes have the version in force. It is false if no
// node answered.
func (r Report) InForce() bool {
	return r.nodesAnswered && len(r.nodes) > 0 && len(r.NodesBehind()) == 0
}

// Remarks returns further messages for operators, for example about a repair of the
// platform's data.
func (r Report) Remarks() []string { return r.remarks }

// Err returns why the note wasn't accepted, or nil.
func (r Report) Err() error { return r.err }
