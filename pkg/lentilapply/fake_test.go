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
	errUnavailable = lentilplatform.ErrUnavailable
	errLimited     = lentilplatform.ErrLimited
	errUnknown     = lentilplatform.ErrOutcomeUnknown
)

type objectKey struct {
	kind lentilplatform.Kind
	name string
}

// storedObject is an object with the version that the fake gave it.
type storedObject struct {
	body    json.RawMessage
	version int
}

// fakePlatform is a platform with one node that follows it, and a judge of all moves of
// the head: each must be what its note makes of the configuration before.
type fakePlatform struct {
	objects          map[objectKey]storedObject
	restorePoint     map[objectKey]storedObject
	latestSnapshot   map[objectKey]storedObject
	revision         int
	lateWrites       []lateWrite
	notes            map[string]lentilnote.Note
	acceptedVersions map[string]uint64
	// ownRun is set while the run under trial acts, and owned says which notes it made.
	ownRun   bool
	ownNotes map[string]bool
	// lastReadable is the last configuration that could be read, and restored says that
	// the platform went back to older data, after which shards may be missing.
	lastReadable lentilconfig.Document
	restored     bool
	unreadable   bool
	cleanup      *Cleanup
	// lazyNode is set if the node follows only when it is asked.
	lazyNode   bool
	node       lentilconfig.Store
	violations []string
}

// lateWrite takes effect after some more calls.
type lateWrite struct {
	remainingCalls int
	action         Action
	ownRun         bool
}

func newFakePlatform() *fakePlatform {
	return &fakePlatform{
		objects:          make(map[objectKey]storedObject),
		notes:            make(map[string]lentilnote.Note),
		acceptedVersions: make(map[string]uint64),
		ownNotes:         make(map[string]bool),
	}
}

func (f *fakePlatform) addViolation(format string, args ...any) {
	f.violations = append(f.violations, fmt.Sprintf(format, args...))
}

// perform does an action without any fault.
func (f *fakePlatform) perform(action Action) (answer Answer) {
	f.advanceCalls(1)
	return f.execute(action)
}

// advanceCalls lets late writes come closer, and those that are due take effect.
func (f *fakePlatform) advanceCalls(calls int) {
	waiting := f.lateWrites
	f.lateWrites = nil
	for _, write := range waiting {
		write.remainingCalls -= calls
		if write.remainingCalls <= 0 {
			own := f.ownRun
			f.ownRun = write.ownRun
			f.execute(write.action)
			f.ownRun = own
		} else {
			f.lateWrites = append(f.lateWrites, write)
		}
	}
}

func (f *fakePlatform) execute(action Action) (answer Answer) {
	on := objectKey{kind: action.object.Kind(), name: action.object.Name()}
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
		if strconv.Itoa(held.version) != action.object.ResourceVersion() {
			return Answer{Err: lentilplatform.ErrConflict}
		}
		if action.kind == ActionDelete {
			delete(f.objects, on)
			f.checkReadable("a removal of " + on.name)
			return Answer{}
		}
		return f.store(on, action.object.Body())
	case ActionQueryNodes:
		if document, err := f.document(); err == nil && document.Version > 0 {
			f.updateNode(document)
		}
		return Answer{Nodes: []Node{{Name: "entry-1", Version: f.node.Version(), NoteID: f.node.Configuration().NoteID()}}}
	case ActionFetchConfiguration:
		return Answer{Document: f.node.Configuration().Document()}
	default:
		return Answer{}
	}
}

// object returns what a client would have read.
func (f *fakePlatform) object(on objectKey) lentilplatform.Object {
	held := f.objects[on]
	return lentilplatform.NewStoredObject(on.kind, on.name, strconv.Itoa(held.version), held.body)
}

func (f *fakePlatform) list(kind lentilplatform.Kind) (objects []lentilplatform.Object) {
	for on := range f.objects {
		if on.kind == kind {
			objects = append(objects, f.object(on))
		}
	}
	slices.SortFunc(objects, func(a, b lentilplatform.Object) int {
		return f.objects[objectKey{kind, a.Name()}].version - f.objects[objectKey{kind, b.Name()}].version
	})
	return objects
}

func (f *fakePlatform) store(on objectKey, body json.RawMessage) (answer Answer) {
	f.revision++
	f.objects[on] = storedObject{body: body, version: f.revision}
	if on.kind == lentilplatform.KindHead || on.kind == lentilplatform.KindShard && f.unreadable {
		f.checkHeadUpdate()
	}
	return Answer{Object: f.object(on)}
}

// document returns the configuration that the platform holds.
func (f *fakePlatform) document() (document lentilconfig.Document, err error) {
	held, found := f.objects[objectKey{lentilplatform.KindHead, lentilconfig.HeadName}]
	if !found {
		return document, nil
	}
	head, err := lentilconfig.ParseHeadObject(held.body)
	if err != nil {
		return document, err
	}
	assembly := lentilconfig.NewAssembly(head.HeadDoc)
	for _, name := range assembly.Missing() {
		shard, err := lentilconfig.ParseShardObject(name, f.objects[objectKey{lentilplatform.KindShard, string(name)}].body)
		if err != nil {
			return document, err
		}
		if err = assembly.Add(name, shard.Body()); err != nil {
			return document, err
		}
	}
	return assembly.Document()
}

// checkReadable reports a fault if the platform's configuration can't be read. After a
// return to older data it may be so for a while, until a run has mended it.
func (f *fakePlatform) checkReadable(after string) {
	_, err := f.document()
	if err != nil && !f.restored {
		f.addViolation("after %s: %v", after, err)
	}
	f.unreadable = err != nil
}

// checkHeadUpdate checks a move of the head and lets the node follow.
func (f *fakePlatform) checkHeadUpdate() {
	before := f.lastReadable
	if f.unreadable {
		before = f.node.Configuration().Document() // what was put back
	}
	after, err := f.document()
	f.unreadable = err != nil && f.restored
	if err != nil && !f.restored {
		f.addViolation("after a move of the head: %v", err)
	}
	if err != nil {
		return
	}
	f.lastReadable = after
	if !f.lazyNode && !f.updateNode(after) {
		return
	}
	if after.Version == before.Version || after.Version == f.node.Version() && f.acceptedVersions[after.NoteID] == after.Version {
		return // a cleanup, or what the nodes had was put back
	}
	if earlier, twice := f.acceptedVersions[after.NoteID]; twice {
		f.addViolation("note %s made version %d and version %d", after.NoteID, earlier, after.Version)
	}
	f.acceptedVersions[after.NoteID] = after.Version
	f.ownNotes[after.NoteID] = f.ownRun
	plan, err := f.notes[after.NoteID].Plan(before)
	if err != nil || headDigest(plan.Next()) != headDigest(after) {
		f.addViolation("version %d isn't what note %s makes of version %d: %v", after.Version, after.NoteID, before.Version, err)
	}
}

// updateNode lets the node take what the platform holds, and reports whether it did.
func (f *fakePlatform) updateNode(document lentilconfig.Document) bool {
	err := f.node.Offer(document)
	refused := errors.Is(err, lentilconfig.ErrFork) || errors.Is(err, lentilconfig.ErrOlder)
	if err != nil && (!refused || !f.restored) {
		f.addViolation("the node refuses version %d: %v", document.Version, err)
	}
	for _, mark := range document.Recent {
		if refused && !f.inForce(mark.NoteID, mark.Version) && f.acceptedVersions[mark.NoteID] == mark.Version {
			delete(f.acceptedVersions, mark.NoteID) // accepted on older data; it has to be mended
			delete(f.ownNotes, mark.NoteID)
		}
	}
	return err == nil
}

func headDigest(document lentilconfig.Document) lentilconfig.Digest {
	head, _, err := lentilconfig.Split(document)
	if err != nil {
		panic(err)
	}
	return head.Digest()
}

// runWithFaults runs a machine, with a fault before or at each call that the plan names.
func (f *fakePlatform) runWithFaults(run *Run, now time.Time, disturb func(call int, action Action) (answer Answer, done bool, pause time.Duration)) {
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
	f.addViolation("the run doesn't end: it stands at %v", run.Step())
}

func noFault(int, Action) (answer Answer, done bool, pause time.Duration) {
	return Answer{}, false, 0
}

// applyNote runs a note without faults.
func (f *fakePlatform) applyNote(note lentilnote.Note, seed uint64) Report {
	own := f.ownRun
	f.ownRun = false
	defer func() { f.ownRun = own }()
	run := f.newRun(note, seed)
	f.runWithFaults(run, time.Unix(1_000_000, 0), noFault)
	return run.Report()
}

func (f *fakePlatform) newRun(note lentilnote.Note, seed uint64) *Run {
	f.notes[note.ID()] = note
	source := rand.New(rand.NewPCG(seed, 14))
	return &Run{Note: note, Random: source.Float64, AskNodes: true}
}

// runCleanup runs a cleanup without faults.
func (f *fakePlatform) runCleanup() {
	var cleanup Cleanup
	for cleanup.Action().Kind() != ActionDone {
		cleanup.Handle(f.perform(cleanup.Action()))
	}
	if cleanup.Err() != nil && !errors.Is(cleanup.Err(), lentilplatform.ErrConflict) && !errors.Is(cleanup.Err(), lentilplatform.ErrNotFound) {
		f.addViolation("cleanup: %v", cleanup.Err())
	}
}

// newNote returns a newNote of the given id that adds a service with copies or drains one.
func newNote(id string, doc lentilnote.Doc) lentilnote.Note {
	doc.ID = id
	doc.Author = "author-of-" + id
	made, err := lentilnote.New(doc)
	if err != nil {
		panic(err)
	}
	return made
}

func drainDoc(copies ...string) (doc lentilnote.Doc) {
	yes := true
	for _, name := range copies {
		doc.Copies.Changed = append(doc.Copies.Changed, lentilnote.ChangedCopyDoc{Name: name, Draining: &yes})
	}
	return doc
}

func initialDoc() (doc lentilnote.Doc) {
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
