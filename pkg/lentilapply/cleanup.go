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
	// CleanupEvery is after how many versions the writer of a note cleans up.
	CleanupEvery = 64
	// removalsMax bounds the objects of a kind that one cleanup removes.
	removalsMax = 256
)

// cleanupStep is where a cleanup stands.
type cleanupStep uint8

const (
	cleanShards cleanupStep = iota
	cleanHead
	cleanBar
	cleanRemove
	cleanAudit
	cleanDone
)

// Cleanup removes shards that no configuration uses and audit records beyond
// AuditMax. It is a machine like Run; the zero Cleanup is ready.
//
// Removing a shard is safe however slow a writer is. The shards are listed first,
// then the head is changed, so that whoever read the head before fails to move it
// and begins again; whoever reads it afterwards touches each shard that it takes
// up, so that the removal, which states the version listed, fails.
type Cleanup struct {
	step     cleanupStep
	listed   []lentilplatform.Object
	removals []lentilplatform.Object
	head     lentilplatform.Object
	removed  int
	err      error
	audits   bool
}

// Removed returns how many objects were removed.
func (c *Cleanup) Removed() int { return c.removed }

// Err returns why the cleanup ended early, or nil. It may be run again at any time.
func (c *Cleanup) Err() error { return c.err }

// Action returns what has to be done next.
func (c *Cleanup) Action() (action Action) {
	switch c.step {
	case cleanShards:
		return list(lentilplatform.KindShard)
	case cleanHead:
		return get(lentilplatform.KindHead, lentilconfig.HeadName)
	case cleanBar:
		return Action{kind: ActionUpdate, object: c.head}
	case cleanRemove:
		return Action{kind: ActionDelete, object: c.removals[0]}
	case cleanAudit:
		return list(lentilplatform.KindAudit)
	default:
		return Action{kind: ActionDone}
	}
}

// Handle takes what came of the action that Action returned.
func (c *Cleanup) Handle(answer Answer) {
	switch c.step {
	case cleanRemove:
		c.handleRemove(answer.Err)
		return
	case cleanDone:
		return
	}
	if answer.Err != nil {
		c.end(answer.Err)
		return
	}
	switch c.step {
	case cleanShards:
		c.listed = answer.Objects
		c.step = cleanHead
	case cleanHead:
		c.handleHead(answer.Object)
	case cleanBar:
		c.remove()
	case cleanAudit:
		c.handleAudit(answer.Objects)
	}
}

// handleHead finds the shards that the head doesn't name.
func (c *Cleanup) handleHead(object lentilplatform.Object) {
	doc, err := lentilconfig.ParseHeadObject(object.Body())
	if err != nil {
		c.end(err)
		return
	}
	for _, shard := range c.listed {
		if !slices.Contains(doc.Shards, lentilconfig.Digest(shard.Name())) && len(c.removals) < removalsMax {
			c.removals = append(c.removals, shard)
		}
	}
	if len(c.removals) == 0 {
		c.step = cleanAudit
		return
	}
	doc.Cleaned++
	body, err := json.Marshal(doc)
	if err != nil {
		c.end(err)
		return
	}
	c.head = object.WithBody(body)
	c.step = cleanBar
}

// remove goes on to the next removal.
func (c *Cleanup) remove() {
	switch {
	case len(c.removals) > 0:
		c.step = cleanRemove
	case c.audits:
		c.step = cleanDone
	default:
		c.step = cleanAudit
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
	c.removals = c.removals[1:]
	c.remove()
}

// handleAudit finds the oldest records beyond AuditMax.
func (c *Cleanup) handleAudit(records []lentilplatform.Object) {
	c.audits = true
	excess := min(len(records)-AuditMax, removalsMax)
	if excess > 0 {
		slices.SortFunc(records, func(a, b lentilplatform.Object) int {
			if order := a.Created().Compare(b.Created()); order != 0 {
				return order
			}
			return strings.Compare(a.Name(), b.Name())
		})
		c.removals = slices.Clone(records[:excess])
	}
	c.remove()
}

func (c *Cleanup) end(err error) {
	c.err = err
	c.step = cleanDone
}

func list(kind lentilplatform.Kind) Action {
	return Action{kind: ActionList, object: lentilplatform.NewObject(kind, "", nil)}
}
