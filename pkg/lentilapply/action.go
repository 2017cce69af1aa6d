// Package lentilapply applies a release note to the configuration that is stored
// in the platform. It reads the head and the shards, plans the note, writes the
// new shards, and replaces the head by a conditional update. If the answer to a
// write is lost, it reads the head again to learn the outcome. It then completes
// the audit record and waits until all nodes have the new version in force.
//
// Run and Cleanup are state machines without I/O: Action returns the next action
// for the caller to perform, and Handle takes the answer. They open no connection
// and read no clock, so tests can inject every fault at every step.
package lentilapply

import (
	"time"

	"lentilstair.example/lentilstair/pkg/lentilconfig"
	"lentilstair.example/lentilstair/pkg/lentilplatform"
)

//go:generate stringer -type=ActionKind,Step,Outcome -output=names_string.go

// ActionKind is a kind of action.
type ActionKind uint8

// The kinds of actions.
const (
	// ActionDone ends the run; there is no further action.
	ActionDone ActionKind = iota
	// ActionGet reads the object with the action's kind and name.
	ActionGet
	// ActionList lists the names of the objects of the action's kind.
	ActionList
	// ActionCreate stores the action's object.
	ActionCreate
	// ActionUpdate replaces the action's object if its resource version is still stored.
	ActionUpdate
	// ActionDelete removes the action's object if its resource version is still stored.
	ActionDelete
	// ActionQueryNodes asks the nodes which version they have in force.
	ActionQueryNodes
	// ActionFetchConfiguration fetches the newest configuration from the nodes.
	ActionFetchConfiguration
	// ActionWait waits for the action's duration.
	ActionWait
)

// Action is the next operation that the caller of a state machine must perform.
type Action struct {
	kind   ActionKind
	object lentilplatform.Object
	wait   time.Duration
}

// Kind returns which operation to perform.
func (a Action) Kind() ActionKind { return a.kind }

// Object returns the object to read, write or delete. For ActionGet and ActionList
// only its kind and name are used.
func (a Action) Object() lentilplatform.Object { return a.object }

// Wait returns the duration of an ActionWait.
func (a Action) Wait() time.Duration { return a.wait }

// Answer is the result of an action. Only the fields that belong to the kind of the
// action are used.
type Answer struct {
	// Err is the error of the action, or nil. Errors of platform calls are those of
	// lentilplatform. Any error of a query to the nodes means that no node answered.
	Err error
	// Object is the object that was read or stored.
	Object lentilplatform.Object
	// Objects are the listed objects, without bodies.
	Objects []lentilplatform.Object
	// Nodes holds the version in force on each node.
	Nodes []Node
	// Document is the newest configuration of the nodes.
	Document lentilconfig.Document
}

// Node is the state of one node.
type Node struct {
	// Name identifies the node to operators.
	Name string
	// Version is the version in force on the node.
	Version uint64
	// NoteID is the ID of the note that made the version, or empty if it isn't known.
	NoteID string
	// Unresponsive is true if the node didn't answer. Version is then the last known one.
	Unresponsive bool
}

// NodesBehind returns the nodes that have an older version in force, and those
// that didn't answer.
func NodesBehind(nodes []Node, version uint64) (behind []Node) {
	for _, node := range nodes {
		if node.Unresponsive || node.Version < version {
			behind = append(behind, node)
		}
	}
	return behind
}

// historyForked reports whether a node has a version in force that was made by a
// different note than the head names for it. This happens if the platform was
// restored from older data and a note was then accepted on top of it.
func historyForked(nodes []Node, recent []lentilconfig.AcceptedNoteDoc) bool {
	noteIDs := make(map[uint64]string, len(recent))
	for _, entry := range recent {
		noteIDs[entry.Version] = entry.NoteID
	}
	for _, node := range nodes {
		if recentID := noteIDs[node.Version]; recentID != "" && node.NoteID != "" && recentID != node.NoteID {
			return true
		}
	}
	return false
}

// highestVersion returns the highest version that a node has in force.
func highestVersion(nodes []Node) (version uint64) {
	for _, node := range nodes {
		version = max(version, node.Version)
	}
	return version
}
