package lentilapply

import (
	"encoding/json"
	"errors"
	"slices"
	"strings"

	"lentilstair.example/lentilstair/pkg/lentilconfig"
	"lentilstair.example/lentilstair/pkg/lentilplatform"
)

// Bounds of a cleanup.
const (
	// CleanupInterval is after how many versions the writer of a note cleans up.
	CleanupInterval = 64
	// maxRemovals bounds the objects of a kind that one cleanup removes.
	maxRemovals = 256
)

// cleanupStep is where a cleanup stands.
type cleanupStep uint8

const (
	cleanupListShards cleanupStep = iota
	cleanupReadHead
	cleanupUpdateHead
	cleanupDelete
	cleanupListAudits
	cleanupDone
)

// Cleanup removes shards that no configuration uses and audit records beyond
// AuditMax. It is a machine like Run; the zero Cleanup is ready.
//
// Removing a shard is safe however slow a writer is. The shards are listed first,
// then the head is changed, so that whoever read the head before fails to move it
// and begins again; whoever reads it afterwards touches each shard that it takes
// up, so that the removal, which states the version listed, fails.
type Cleanup struct {
	step            cleanupStep
	listedShards    []lentilplatform.Object
	pendingRemovals []lentilplatform.Object
	head            lentilplatform.Object
	removed         int
	err             error
	auditsListed    bool
}

// Removed returns how many objects were removed.
func (c *Cleanup) Removed() int { return c.removed }

// Err returns why the cleanup ended early, or nil. It may be run again at any time.
func (c *Cleanup) Err() error { return c.err }

// Action returns what has to be done next.
func (c *Cleanup) Action() (action Action) {
	switch c.step {
	case cleanupListShards:
		return listAction(lentilplatform.KindShard)
	case cleanupReadHead:
		return getAction(lentilplatform.KindHead, lentilconfig.HeadName)
	case cleanupUpdateHead:
		return Action{kind: ActionUpdate, object: c.head}
	case cleanupDelete:
		return Action{kind: ActionDelete, object: c.pendingRemovals[0]}
	case cleanupListAudits:
		return listAction(lentilplatform.KindAudit)
	default:
		return Action{kind: ActionDone}
	}
}

// Handle takes what came of the action that Action returned.
func (c *Cleanup) Handle(answer Answer) {
	switch c.step {
	case cleanupDelete:
		c.handleRemove(answer.Err)
		return
	case cleanupDone:
		return
	}
	if answer.Err != nil {
		c.end(answer.Err)
		return
	}
	switch c.step {
	case cleanupListShards:
		c.listedShards = answer.Objects
		c.step = cleanupReadHead
	case cleanupReadHead:
		c.handleHead(answer.Object)
	case cleanupUpdateHead:
		c.removeNext()
	case cleanupListAudits:
		c.handleAudits(answer.Objects)
	}
}

// handleHead finds the shards that the head doesn't name.
func (c *Cleanup) handleHead(object lentilplatform.Object) {
	doc, err := lentilconfig.ParseHeadObject(object.Body())
	if err != nil {
		c.end(err)
		return
	}
	for _, shard := range c.listedShards {
		if !slices.Contains(doc.Shards, lentilconfig.Digest(shard.Name())) && len(c.pendingRemovals) < maxRemovals {
			c.pendingRemovals = append(c.pendingRemovals, shard)
		}
	}
	if len(c.pendingRemovals) == 0 {
		c.step = cleanupListAudits
		return
	}
	doc.Cleaned++
	body, err := json.Marshal(doc)
	if err != nil {
		c.end(err)
		return
	}
	c.head = object.WithBody(body)
	c.step = cleanupUpdateHead
}

// removeNext goes on to the next removal.
func (c *Cleanup) removeNext() {
	switch {
	case len(c.pendingRemovals) > 0:
		c.step = cleanupDelete
	case c.auditsListed:
		c.step = cleanupDone
	default:
		c.step = cleanupListAudits
	}
}

// handleRemove passes over what someone else has touched or removed.
func (c *Cleanup) handleRemove(err error) {
	switch {
	case err == nil:
		c.removed++
	case errors.Is(err, lentilplatform.ErrConflict), errors.Is(err, lentilplatform.ErrNotFound), errors.Is(err, lentilplatform.ErrOutcomeUnknown):
	default:
		c.end(err)
		return
	}
	c.pendingRemovals = c.pendingRemovals[1:]
	c.removeNext()
}

// handleAudits finds the oldest records beyond AuditMax.
func (c *Cleanup) handleAudits(records []lentilplatform.Object) {
	c.auditsListed = true
	excess := min(len(records)-MaxAuditRecords, maxRemovals)
	if excess > 0 {
		slices.SortFunc(records, func(a, b lentilplatform.Object) int {
			if order := a.Created().Compare(b.Created()); order != 0 {
				return order
			}
			return strings.Compare(a.Name(), b.Name())
		})
		c.pendingRemovals = slices.Clone(records[:excess])
	}
	c.removeNext()
}

func (c *Cleanup) end(err error) {
	c.err = err
	c.step = cleanupDone
}

func listAction(kind lentilplatform.Kind) Action {
	return Action{kind: ActionList, object: lentilplatform.NewObject(kind, "", nil)}
}
