package lentilapply

import (
	"errors"

	"lentilstair.example/lentilstair/pkg/lentilnote"
)

// Outcome is what came of a note.
type Outcome uint8

// The outcomes.
const (
	// OutcomeOpen: the run goes on.
	OutcomeOpen Outcome = iota
	// OutcomeAccepted: this run made the note's version.
	OutcomeAccepted
	// OutcomeAlready: the note was accepted before this run.
	OutcomeAlready
	// OutcomeNothing: the configuration is as the note wants it; nothing was written.
	OutcomeNothing
	// OutcomeConflict: a note accepted meanwhile touches the same; nothing was changed.
	OutcomeConflict
	// OutcomeRefused: the note doesn't fit the configuration; nothing was changed.
	OutcomeRefused
	// OutcomeUnavailable: the platform couldn't be used in time; nothing was changed.
	OutcomeUnavailable
	// OutcomeUnknown: a write may still take effect, and reading back failed in time.
	// Running the same note again settles it.
	OutcomeUnknown
)

// Errors of a run besides those of the note and of the platform.
var (
	// ErrIDReused says that another note of the same id was accepted or is under way.
	ErrIDReused = errors.New("another note has the same id")
	// ErrPlatformOutdated says that the platform came back with older data and that no
	// node could give the newer configuration.
	ErrPlatformOutdated = errors.New("the platform holds older data than before")
	// ErrCorrupt says that what the platform holds can't be read.
	ErrCorrupt = errors.New("the configuration in the platform is damaged")
)

// Report is what came of a run, or how far it is.
type Report struct {
	outcome       Outcome
	version       uint64
	plan          lentilnote.Plan
	nodes         []Node
	nodesAnswered bool
	remarks       []string
	err           error
}

// Outcome returns what came of the note.
func (r Report) Outcome() Outcome { return r.outcome }

// Accepted reports whether the note is accepted, by this run or before.
func (r Report) Accepted() bool {
	return r.outcome == OutcomeAccepted || r.outcome == OutcomeAlready
}

// Version returns the version that the note made, or the one that holds already.
func (r Report) Version() uint64 { return r.version }

// Plan returns what the note changes; it is empty if the run didn't plan.
func (r Report) Plan() lentilnote.Plan { return r.plan }

// NodesBehind returns the nodes that aren't known to have the version in force.
func (r Report) NodesBehind() []Node { return NodesBehind(r.nodes, r.version) }

// Nodes returns what the nodes said last.
func (r Report) Nodes() []Node { return r.nodes }

// InForce reports whether all nodes have the version in force. It is false if
// nobody could be asked.
func (r Report) InForce() bool {
	return r.nodesAnswered && len(r.nodes) > 0 && len(r.NodesBehind()) == 0
}

// Remarks returns what operators should know besides, such as a repair.
func (r Report) Remarks() []string { return r.remarks }

// Err returns why the note wasn't accepted, or nil.
func (r Report) Err() error { return r.err }
