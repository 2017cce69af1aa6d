// Package lentilapply carries out a release note as a pure state machine: it
// reads the head and the shards, plans the note, writes the new shards, moves the
// head by a conditional update, settles a lost answer by reading back, records
// what came of it, and waits until the change is in force everywhere.
//
// A machine says by Action what has to be done next, and takes the answer by
// Handle. It opens no connection and reads no clock, so that every fault can be
// brought about at every step.
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
	// ActionDone: nothing more has to be done.
	ActionDone ActionKind = iota
	// ActionGet reads the object with the action's kind and name.
	ActionGet
	// ActionList lists the names of the objects of the action's kind.
	ActionList
	// ActionCreate stores the action's object.
	ActionCreate
	// ActionUpdate replaces the action's object at its version.
	ActionUpdate
	// ActionDelete removes the action's object at its version.
	ActionDelete
	// ActionQueryNodes asks the nodes which version they have in force.
	ActionQueryNodes
	// ActionFetchConfiguration asks the nodes for the newest configuration.
	ActionFetchConfiguration
	// ActionWait lets the action's time pass.
	ActionWait
)

// Action is what has to be done next.
type Action struct {
	kind   ActionKind
	object lentilplatform.Object
	wait   time.Duration
}

// Kind returns what has to be done.
func (a Action) Kind() ActionKind { return a.kind }

// Object returns the object to be read, written or removed; for ActionGet and
// ActionList only its kind and name count.
func (a Action) Object() lentilplatform.Object { return a.object }

// Wait returns how long an ActionWait lasts.
func (a Action) Wait() time.Duration { return a.wait }

// Answer is what came of an action. Only the fields that the action asks for count.
type Answer struct {
	// Err is why the action failed, or nil. Errors of the platform are those of
	// lentilplatform; any error of a question to the nodes means no answer.
	Err error
	// Object is what was read or stored.
	Object lentilplatform.Object
	// Objects are the names that were listed.
	Objects []lentilplatform.Object
	// Nodes says what the nodes have in force.
	Nodes []Node
	// Document is the newest configuration of the nodes.
	Document lentilconfig.Document
}

// Node says what one node has in force.
type Node struct {
	// Name tells the node to operators.
	Name string
	// Version is the version in force there.
	Version uint64
	// NoteID names the note that made it; empty if that isn't known.
	NoteID string
	// Unresponsive is true if the node didn't answer; its version is then the last one known.
	Unresponsive bool
}

// NodesBehind returns the nodes that don't have the version in force, as far as known.
func NodesBehind(nodes []Node, version uint64) (behind []Node) {
	for _, node := range nodes {
		if node.Unresponsive || node.Version < version {
			behind = append(behind, node)
		}
	}
	return behind
}

// historyForked reports whether a node has a version in force that was made by another
// note than the head says: the platform went back to older data, and a note was
// accepted on them.
func historyForked(nodes []Node, recent []lentilconfig.MarkDoc) bool {
	made := make(map[uint64]string, len(recent))
	for _, mark := range recent {
		made[mark.Version] = mark.NoteID
	}
	for _, node := range nodes {
		if id := made[node.Version]; id != "" && node.NoteID != "" && id != node.NoteID {
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
