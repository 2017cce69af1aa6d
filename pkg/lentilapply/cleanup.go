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
	// CleanupInterval is the number of versions from one cleanup to the next. The writer of
	// a note runs a cleanup if its version is a multiple of this.
	CleanupInterval = 64
	// maxRemovals is the maximum number of objects of a kind that one cleanup removes.
	maxRemovals = 256
)

// cleanupStep is the current step of a cleanup.
type cleanupStep uint8

const (
	cleanupListShards cleanupStep = iota
	cleanupReadHead
	cleanupUpdateHead
	cleanupDelete
	cleanupListAudits
	cleanupDone
)

// Cleanup removes shards that the head doesn't name, and the oldest audit records
// above MaxAuditRecords. It is a state machine like Run. The zero Cleanup is ready
// to use.
//
// Removing a shard is safe, no matter how slow a concurrent writer is. A cleanup
// first lists the shards and then updates the head. A writer that read the head
// before this update fails to replace it and starts over. A writer that reads the
// head after it updates each existing shard that it reuses. The removal states the
// resource version from the list, so it then fails with a conflict.
type Cleanup struct {
	step            cleanupStep
	listedShards    []lentilplatform.Object
	pendingRemovals []lentilplatform.Object
	head            lentilplatform.Object
	removed         int
	err             error
	auditsListed    bool
}

// Removed returns the number of objects removed so far.
func (c *Cleanup) Removed() int { return c.removed }

// Err returns the error that ended the cleanup early, or nil. A new cleanup may be
// started at any time.
func (c *Cleanup) Err() error { return c.err }

// Action returns the next action to perform.
func (c *Cleanup) Action() (action Action) {
	switch c.step {
	case cleanupListShards:
		return listAction(lentilplatform.KindShard)
	case cleanupReadHead:
		return getAction(lentilplatform.KindHead, lentilconfig.HeadObjectName)
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

// Handle processes the answer to the action that Action returned.
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

// handleHead selects the listed shards that the head doesn't name for removal. If
// there are any, it increments the head's ShardRemovals counter, which makes
// concurrent writers that read the head earlier fail.
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
	doc.ShardRemovals++
	body, err := json.Marshal(doc)
	if err != nil {
		c.end(err)
		return
	}
	c.head = object.WithBody(body)
	c.step = cleanupUpdateHead
}

// removeNext selects the next step: the next pending removal, the audit records
// after the shards, or the end.
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

// handleRemove skips objects that another writer has updated or removed meanwhile,
// and removals with an unknown outcome.
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

// handleAudits selects the oldest records above MaxAuditRecords for removal.
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
