package lentiladmit

import (
	"time"

	"lentilstair.example/lentilstair/pkg/lentilrecord"
)

//go:generate stringer -type=ActionKind,Reason,RelayResult -output=enum_string.go

// ActionKind is the kind of an action that the agent has to perform.
type ActionKind uint8

// The kinds of action.
const (
	// ActionDispatch sends the request to the copy.
	ActionDispatch ActionKind = iota + 1
	// ActionRefuse answers that the request was not run, and when the caller may retry.
	ActionRefuse
	// ActionRelay passes the request to a peer. RelayEnded reports the result.
	ActionRelay
	// ActionAbort cancels the call to the copy. The agent must still report how the call ended.
	ActionAbort
	// ActionReportUnknown answers that the outcome of the request is unknown.
	ActionReportUnknown
)

// Reason is the reason for which a request is refused.
type Reason uint8

// The reasons for a refusal.
const (
	// ReasonQueueFull means that the queue has no place for the request.
	ReasonQueueFull Reason = iota + 1
	// ReasonDeadline means that the request can't be finished before its deadline.
	ReasonDeadline
	// ReasonConnections means that the copy has reached its limit of open streams.
	ReasonConnections
	// ReasonDraining means that the copy is draining and accepts no new requests.
	ReasonDraining
	// ReasonCopy means that the copy was unreachable or shed the request at each of MaxDispatches attempts.
	ReasonCopy
)

// RelayResult is the result of relaying a request to a peer.
type RelayResult uint8

// The results of a relay.
const (
	// RelayAnswered means that the peer sent the answer for the caller.
	RelayAnswered RelayResult = iota + 1
	// RelayNotRun means that the peer certainly did not run the request: it said so,
	// or it could not be reached before anything was sent.
	RelayNotRun
	// RelayAnswerLost means that the peer may have run the request, but its answer is missing.
	RelayAnswerLost
)

// Action is an action that the agent has to perform.
type Action struct {
	kind       ActionKind
	id         uint64
	peer       lentilrecord.Record
	retryAfter time.Duration
	reason     Reason
}

// Kind returns the kind of the action.
func (a Action) Kind() ActionKind { return a.kind }

// ID returns the ID of the request that the action applies to.
func (a Action) ID() uint64 { return a.id }

// Peer returns the peer to which an ActionRelay passes the request.
func (a Action) Peer() lentilrecord.Record { return a.peer }

// RetryAfter returns the delay after which a refused caller may retry.
func (a Action) RetryAfter() time.Duration { return a.retryAfter }

// Reason returns the reason of an ActionRefuse.
func (a Action) Reason() Reason { return a.reason }
