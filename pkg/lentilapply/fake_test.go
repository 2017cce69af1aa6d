package lentilapply

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilconfig"
	"lentilstair.example/lentilstair/pkg/lentilnote"
	"lentilstair.example/lentilstair/pkg/lentilplatform"
)

// failure returns the error of the platform with the given reason.
var (
	errDown    = lentilplatform.ErrUnavailable
	errLimited = lentilplatform.ErrLimited
	errUnknown = lentilplatform.ErrOutcomeUnknown
)

type key struct {
	kind lentilplatform.Kind
	name string
}

// stored is an object with the version that the fake gave it.
type stored struct {
	body    json.RawMessage
	version int
}

// fake is a platform with one node that follows it, and a judge of all moves of
// the head: each must be what its note makes of the configuration before.
type fake struct {
	objects  map[key]stored
	saved    map[key]stored
	recent   map[key]stored
	revision int
	late     []lateWrite
	notes    map[string]lentilnote.Note
	accepted map[string]uint64
	// own is set while the run under trial acts, and owned says which notes it made.
	own   bool
	owned map[string]bool
	// good is the last configuration that could be read, and restored says that
	// the platform went back to older data, after which shards may be missing.
	good     lentilconfig.Document
	restored bool
	damaged  bool
	cleaner  *Cleanup
	// lagging is set if the node follows only when it is asked.
	lagging bool
	node    lentilconfig.Store
	faults  []string
}

// lateWrite takes effect after some more calls.
type lateWrite struct {
	calls  int
	action Action
	own    bool
}

func newFake() *fake {
	return &fake{
		objects:  make(map[key]stored),
		notes:    make(map[string]lentilnote.Note),
		accepted: make(map[string]uint64),
		owned:    make(map[string]bool),
	}
}

func (f *fake) blame(format string, args ...any) {
	f.faults = append(f.faults, fmt.Sprintf(format, args...))
}

// perform does an action without any fault.
func (f *fake) perform(action Action) (answer Answer) {
	f.pass(1)
	return f.act(action)
}

// pass lets late writes come closer, and those that are due take effect.
func (f *fake) pass(calls int) {
	waiting := f.late
	f.late = nil
	for _, write := range waiting {
		write.calls -= calls
		if write.calls <= 0 {
			own := f.own
			f.own = write.own
			f.act(write.action)
			f.own = own
		} else {
			f.late = append(f.late, write)
		}
	}
}

func (f *fake) act(action Action) (answer Answer) {
	on := key{kind: action.object.Kind(), name: action.object.Name()}
	held, found := f.objects[on]
	switch action.kind {
	case ActionGet:
		if !found {
			return Answer{Err: lentilplatform.ErrNotFound}
		}
		return Answer{Object: f.object(on)}
	case ActionList:
		return Answer{Objects: f.list(on.kind)}
	case ActionCreate:
		if found {
			return Answer{Err: lentilplatform.ErrExists}
		}
		return f.store(on, action.object.Body())
	case ActionUpdate, ActionDelete:
		if !found {
			return Answer{Err: lentilplatform.ErrNotFound}
		}
		if strconv.Itoa(held.version) != action.object.Version() {
			return Answer{Err: lentilplatform.ErrConflict}
		}
		if action.kind == ActionDelete {
			delete(f.objects, on)
			f.whole("a removal of " + on.name)
			return Answer{}
		}
		return f.store(on, action.object.Body())
	case ActionNodes:
		if document, err := f.document(); err == nil && document.Version > 0 {
			f.follow(document)
		}
		return Answer{Nodes: []Node{{Name: "entry-1", Version: f.node.Version(), NoteID: f.node.Configuration().NoteID()}}}
	case ActionDocument:
		return Answer{Document: f.node.Configuration().Document()}
	default:
		return Answer{}
	}
}

// object returns what a client would have read.
func (f *fake) object(on key) lentilplatform.Object {
	held := f.objects[on]
	return lentilplatform.StoredObject(on.kind, on.name, strconv.Itoa(held.version), held.body)
}

func (f *fake) list(kind lentilplatform.Kind) (objects []lentilplatform.Object) {
	for on := range f.objects {
		if on.kind == kind {
			objects = append(objects, f.object(on))
		}
	}
	slices.SortFunc(objects, func(a, b lentilplatform.Object) int {
		return f.objects[key{kind, a.Name()}].version - f.objects[key{kind, b.Name()}].version
	})
	return objects
}

func (f *fake) store(on key, body json.RawMessage) (answer Answer) {
	f.revision++
	f.objects[on] = stored{body: body, version: f.revision}
	if on.kind == lentilplatform.KindHead || on.kind == lentilplatform.KindShard && f.damaged {
		f.judge()
	}
	return Answer{Object: f.object(on)}
}

// document returns the configuration that the platform holds.
func (f *fake) document() (document lentilconfig.Document, err error) {
	held, found := f.objects[key{lentilplatform.KindHead, lentilconfig.HeadName}]
	if !found {
		return document, nil
	}
	head, err := lentilconfig.ParseHeadObject(held.body)
	if err != nil {
		return document, err
	}
	assembly := lentilconfig.NewAssembly(head.HeadDoc)
	for _, name := range assembly.Missing() {
		shard, err := lentilconfig.ParseShardObject(name, f.objects[key{lentilplatform.KindShard, string(name)}].body)
		if err != nil {
			return document, err
		}
		if err = assembly.Add(name, shard.Body()); err != nil {
			return document, err
		}
	}
	return assembly.Document()
}

// whole reports a fault if the platform's configuration can't be read. After a
// return to older data it may be so for a while, until a run has mended it.
func (f *fake) whole(after string) {
	_, err := f.document()
	if err != nil && !f.restored {
		f.blame("after %s: %v", after, err)
	}
	f.damaged = err != nil
}

// judge checks a move of the head and lets the node follow.
func (f *fake) judge() {
	before := f.good
	if f.damaged {
		before = f.node.Configuration().Document() // what was put back
	}
	after, err := f.document()
	f.damaged = err != nil && f.restored
	if err != nil && !f.restored {
		f.blame("after a move of the head: %v", err)
	}
	if err != nil {
		return
	}
	f.good = after
	if !f.lagging && !f.follow(after) {
		return
	}
	if after.Version == before.Version || after.Version == f.node.Version() && f.accepted[after.NoteID] == after.Version {
		return // a cleanup, or what the nodes had was put back
	}
	if earlier, twice := f.accepted[after.NoteID]; twice {
		f.blame("note %s made version %d and version %d", after.NoteID, earlier, after.Version)
	}
	f.accepted[after.NoteID] = after.Version
	f.owned[after.NoteID] = f.own
	plan, err := f.notes[after.NoteID].Plan(before)
	if err != nil || digest(plan.Next()) != digest(after) {
		f.blame("version %d isn't what note %s makes of version %d: %v", after.Version, after.NoteID, before.Version, err)
	}
}

// follow lets the node take what the platform holds, and reports whether it did.
func (f *fake) follow(document lentilconfig.Document) bool {
	err := f.node.Offer(document)
	refused := errors.Is(err, lentilconfig.ErrFork) || errors.Is(err, lentilconfig.ErrOlder)
	if err != nil && (!refused || !f.restored) {
		f.blame("the node refuses version %d: %v", document.Version, err)
	}
	for _, mark := range document.Recent {
		if refused && !f.inForce(mark.NoteID, mark.Version) && f.accepted[mark.NoteID] == mark.Version {
			delete(f.accepted, mark.NoteID) // accepted on older data; it has to be mended
			delete(f.owned, mark.NoteID)
		}
	}
	return err == nil
}

func digest(document lentilconfig.Document) lentilconfig.Digest {
	head, _, err := lentilconfig.Split(document)
	if err != nil {
		panic(err)
	}
	return head.Digest()
}

// drive runs a machine, with a fault before or at each call that the plan names.
func (f *fake) drive(run *Run, now time.Time, disturb func(call int, action Action) (answer Answer, done bool, pause time.Duration)) {
	run.Start(now)
	for call := 0; call < 2000; call++ {
		action := run.Action()
		switch action.Kind() {
		case ActionDone:
			return
		case ActionWait:
			now = now.Add(action.Wait())
			run.Handle(now, Answer{})
			continue
		}
		answer, done, pause := disturb(call, action)
		if !done {
			answer = f.perform(action)
		}
		now = now.Add(pause + time.Millisecond)
		run.Handle(now, answer)
	}
	f.blame("the run doesn't end: it stands at %v", run.Step())
}

func undisturbed(int, Action) (answer Answer, done bool, pause time.Duration) {
	return Answer{}, false, 0
}

// apply runs a note without faults.
func (f *fake) apply(note lentilnote.Note, seed uint64) Report {
	own := f.own
	f.own = false
	defer func() { f.own = own }()
	run := f.newRun(note, seed)
	f.drive(run, time.Unix(1_000_000, 0), undisturbed)
	return run.Report()
}

func (f *fake) newRun(note lentilnote.Note, seed uint64) *Run {
	f.notes[note.ID()] = note
	source := rand.New(rand.NewPCG(seed, 14))
	return &Run{Note: note, Random: source.Float64, AskNodes: true}
}

// clean runs a cleanup without faults.
func (f *fake) clean() {
	var cleanup Cleanup
	for cleanup.Action().Kind() != ActionDone {
		cleanup.Handle(f.perform(cleanup.Action()))
	}
	if cleanup.Err() != nil && !errors.Is(cleanup.Err(), lentilplatform.ErrConflict) && !errors.Is(cleanup.Err(), lentilplatform.ErrNotFound) {
		f.blame("cleanup: %v", cleanup.Err())
	}
}

// note returns a note of the given id that adds a service with copies or drains one.
func note(id string, doc lentilnote.Doc) lentilnote.Note {
	doc.ID = id
	doc.Author = "author-of-" + id
	made, err := lentilnote.New(doc)
	if err != nil {
		panic(err)
	}
	return made
}

func draining(copies ...string) (doc lentilnote.Doc) {
	yes := true
	for _, name := range copies {
		doc.Copies.Changed = append(doc.Copies.Changed, lentilnote.ChangedCopyDoc{Name: name, Draining: &yes})
	}
	return doc
}

func founding() (doc lentilnote.Doc) {
	doc.Domains.Added = []lentilnote.AddedDomainDoc{{Name: "palermo", Region: "sicilia"}, {Name: "catania", Region: "sicilia"}}
	doc.Services.Added = []lentilnote.AddedServiceDoc{{
		Name: "iscrizioni", Address: netip.MustParseAddrPort("192.0.2.10:8443"), Slots: 2, Connections: 2000,
	}}
	for i := range 7 {
		doc.Copies.Added = append(doc.Copies.Added, lentilconfig.CopyDoc{
			Name: fmt.Sprintf("iscrizioni-%d", i+1), Service: "iscrizioni", Domain: []string{"palermo", "catania"}[i%2],
		})
	}
	return doc
}
