package lentiladmit

import (
	"time"

	"lentilstair.example/lentilstair/pkg/lentilrecord"
)

//go:generate stringer -type=ActionKind,Reason,RelayResult -output=enum_string.go

// ActionKind is what the shell has to do.
type ActionKind uint8

// The kinds of action.
const (
	// ActionDispatch sends the request to the copy.
	ActionDispatch ActionKind = iota + 1
	// ActionRefuse answers that the request was not run, and when to come back.
	ActionRefuse
	// ActionRelay passes the request to a peer; Relayed tells how that ended.
	ActionRelay
	// ActionAbort cancels the call to the copy; Finished is still due.
	ActionAbort
	// ActionReportUnknown answers that the outcome is unknown.
	ActionReportUnknown
)

// Reason is why a request is refused.
type Reason uint8

// The reasons for a refusal.
const (
	// ReasonQueueFull means that too many requests wait.
	ReasonQueueFull Reason = iota + 1
	// ReasonDeadline means that the request can't be finished before its deadline.
	ReasonDeadline
	// ReasonConnections means that the copy holds all the streams that it bears.
	ReasonConnections
	// ReasonDraining means that the copy takes no new work.
	ReasonDraining
	// ReasonCopy means that the copy could not be reached or shed the request again and again.
	ReasonCopy
)

// RelayResult is how a relay to a peer ended.
type RelayResult uint8

// The results of a relay.
const (
	// RelayAnswered means that the peer gave the caller's answer.
	RelayAnswered RelayResult = iota + 1
	// RelayNotRun means that the peer surely did not run the request: it said so,
	// or it could not be reached before anything was sent.
	RelayNotRun
	// RelayAnswerLost means that the peer may have run the request.
	RelayAnswerLost
)

// Action is one thing for the shell to do.
type Action struct {
	kind       ActionKind
	id         uint64
	peer       lentilrecord.Record
	retryAfter time.Duration
	reason     Reason
}

// Kind returns what to do.
func (a Action) Kind() ActionKind { return a.kind }

// ID returns the request that the action is about.
func (a Action) ID() uint64 { return a.id }

// Peer returns the peer of an ActionRelay.
func (a Action) Peer() lentilrecord.Record { return a.peer }

// RetryAfter returns after how long a refused caller may come back.
func (a Action) RetryAfter() time.Duration { return a.retryAfter }

// Reason returns why a request is refused.
func (a Action) Reason() Reason { return a.reason }
