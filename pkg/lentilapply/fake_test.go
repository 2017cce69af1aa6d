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

// Errors of the platform that the tests inject.
var (
	errUnavailable = lentilplatform.ErrUnavailable
	errLimited     = lentilplatform.ErrLimited
	errUnknown     = lentilplatform.ErrOutcomeUnknown
)

type objectKey struct {
	kind lentilplatform.Kind
	name string
}

// storedObject is a stored body with the resource version that the fake assigned.
type storedObject struct {
	body    json.RawMessage
	version int
}

// fakePlatform is a platform in memory with one node that reads its configuration. It
// checks each update of the head: the new configuration must be the one that its note
// makes of the previous configuration. restoreSnapshot restores the objects of
// restorePoint. latestSnapshot holds the objects at the start of the run under test.
type fakePlatform struct {
	objects          map[objectKey]storedObject
	restorePoint     map[objectKey]storedObject
	latestSnapshot   map[objectKey]storedObject
	revision         int
	lateWrites       []lateWrite
	notes            map[string]lentilnote.Note
	acceptedVersions map[string]uint64
	// ownRun is set while the run under test acts. ownNotes holds the accepted notes and
	// whether that run wrote their version.
	ownRun   bool
	ownNotes map[string]bool
	// lastReadable is the last configuration that could be read.
	lastReadable lentilconfig.Document
	// restored is set after the platform was restored from older data. Shards may then
	// be missing, and unreadable is set while they are.
	restored   bool
	unreadable bool
	cleanup    *Cleanup
	// lazyNode is set if the node reads the configuration only when it is queried.
	lazyNode   bool
	node       lentilconfig.Store
	violations []string
}

// lateWrite is a write that takes effect after remainingCalls more calls.
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

// perform carries out an action without a fault.
func (f *fakePlatform) perform(action Action) (answer Answer) {
	f.advanceCalls(1)
	return f.execute(action)
}

// advanceCalls counts the given number of calls, and carries out the late writes that
// are then due.
func (f *fakePlatform) advanceCalls(calls int) {
	pending := f.lateWrites
	f.lateWrites = nil
	for _, write := range pending {
		write.remainingCalls -= calls
		if write.remainingCalls <= 0 {
			ownRun := f.ownRun
			f.ownRun = write.ownRun
			f.execute(write.action)
			f.ownRun = ownRun
		} else {
			f.lateWrites = append(f.lateWrites, write)
		}
	}
}

func (f *fakePlatform) execute(action Action) (answer Answer) {
	key := objectKey{kind: action.object.Kind(), name: action.object.Name()}
	stored, found := f.objects[key]
	switch action.kind {
	case ActionGet:
		if !found {
			return Answer{Err: lentilplatform.ErrNotFound}
		}
		return Answer{Object: f.object(key)}
	case ActionList:
		return Answer{Objects: f.list(key.kind)}
	case ActionCreate:
		if found {
			return Answer{Err: lentilplatform.ErrExists}
		}
		return f.store(key, action.object.Body())
	case ActionUpdate, ActionDelete:
		if !found {
			return Answer{Err: lentilplatform.ErrNotFound}
		}
		if strconv.Itoa(stored.version) != action.object.ResourceVersion() {
			return Answer{Err: lentilplatform.ErrConflict}
		}
		if action.kind == ActionDelete {
			delete(f.objects, key)
			f.checkReadable("a removal of " + key.name)
			return Answer{}
		}
		return f.store(key, action.object.Body())
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

// object returns a stored object as a client reads it.
func (f *fakePlatform) object(key objectKey) lentilplatform.Object {
	stored := f.objects[key]
	return lentilplatform.NewStoredObject(key.kind, key.name, strconv.Itoa(stored.version), stored.body)
}

func (f *fakePlatform) list(kind lentilplatform.Kind) (objects []lentilplatform.Object) {
	for key := range f.objects {
		if key.kind == kind {
			objects = append(objects, f.object(key))
		}
	}
	slices.SortFunc(objects, func(a, b lentilplatform.Object) int {
		return f.objects[objectKey{kind, a.Name()}].version - f.objects[objectKey{kind, b.Name()}].version
	})
	return objects
}

func (f *fakePlatform) store(key objectKey, body json.RawMessage) (answer Answer) {
	f.revision++
	f.objects[key] = storedObject{body: body, version: f.revision}
	if key.kind == lentilplatform.KindHead || key.kind == lentilplatform.KindShard && f.unreadable {
		f.checkHeadUpdate()
	}
	return Answer{Object: f.object(key)}
}

// document returns the configuration stored in the platform.
func (f *fakePlatform) document() (document lentilconfig.Document, err error) {
	stored, found := f.objects[objectKey{lentilplatform.KindHead, lentilconfig.HeadObjectName}]
	if !found {
		return document, nil
	}
	head, err := lentilconfig.ParseHeadObject(stored.body)
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

// checkReadable adds a violation if the platform's configuration can't be read. After
// a restore from older data this is allowed until a run has repaired it.
func (f *fakePlatform) checkReadable(after string) {
	_, err := f.document()
	if err != nil && !f.restored {
		f.addViolation("after %s: %v", after, err)
	}
	f.unreadable = err != nil
}

// checkHeadUpdate checks an update of the head, and lets the node read the new
// configuration unless it is lazy.
func (f *fakePlatform) checkHeadUpdate() {
	before := f.lastReadable
	if f.unreadable {
		before = f.node.Configuration().Document() // the configuration that was restored from the node
	}
	after, err := f.document()
	f.unreadable = err != nil && f.restored
	if err != nil && !f.restored {
		f.addViolation("after an update of the head: %v", err)
	}
	if err != nil {
		return
	}
	f.lastReadable = after
	if !f.lazyNode && !f.updateNode(after) {
		return
	}
	if after.Version == before.Version || after.Version == f.node.Version() && f.acceptedVersions[after.NoteID] == after.Version {
		return // the update is of a cleanup, or restores the node's configuration
	}
	if earlier, found := f.acceptedVersions[after.NoteID]; found {
		f.addViolation("note %s made version %d and version %d", after.NoteID, earlier, after.Version)
	}
	f.acceptedVersions[after.NoteID] = after.Version
	f.ownNotes[after.NoteID] = f.ownRun
	plan, err := f.notes[after.NoteID].Plan(before)
	if err != nil || headDigest(plan.Next()) != headDigest(after) {
		f.addViolation("version %d isn't what note %s makes of version %d: %v", after.Version, after.NoteID, before.Version, err)
	}
}

// updateNode offers the platform's configuration to the node, and reports whether the
// node has accepted it.
func (f *fakePlatform) updateNode(document lentilconfig.Document) bool {
	err := f.node.Offer(document)
	outdated := errors.Is(err, lentilconfig.ErrFork) || errors.Is(err, lentilconfig.ErrOlder)
	if err != nil && (!outdated || !f.restored) {
		f.addViolation("the node refuses version %d: %v", document.Version, err)
	}
	for _, entry := range document.RecentNotes {
		if outdated && !f.inForce(entry.NoteID, entry.Version) && f.acceptedVersions[entry.NoteID] == entry.Version {
			delete(f.acceptedVersions, entry.NoteID) // accepted on older data, so it must be applied again
			delete(f.ownNotes, entry.NoteID)
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

// runWithFaults drives a run to its end in simulated time. It calls inject before each
// call to the platform or the nodes. If inject returns done, its answer replaces the
// call. The pause that it returns passes before the run gets the answer.
func (f *fakePlatform) runWithFaults(run *Run, now time.Time, inject func(call int, action Action) (answer Answer, done bool, pause time.Duration)) {
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
		answer, done, pause := inject(call, action)
		if !done {
			answer = f.perform(action)
		}
		now = now.Add(pause + time.Millisecond)
		run.Handle(now, answer)
	}
	f.addViolation("the run doesn't end: it is at %v", run.Step())
}

func noFault(int, Action) (answer Answer, done bool, pause time.Duration) {
	return Answer{}, false, 0
}

// applyNote applies a note without faults, as a run other than the one under test.
func (f *fakePlatform) applyNote(note lentilnote.Note, seed uint64) Report {
	ownRun := f.ownRun
	f.ownRun = false
	defer func() { f.ownRun = ownRun }()
	run := f.newRun(note, seed)
	f.runWithFaults(run, time.Unix(1_000_000, 0), noFault)
	return run.Report()
}

func (f *fakePlatform) newRun(note lentilnote.Note, seed uint64) *Run {
	f.notes[note.ID()] = note
	random := rand.New(rand.NewPCG(seed, 14))
	return &Run{Note: note, Random: random.Float64, CanQueryNodes: true}
}

// runCleanup runs a cleanup without faults. It may end early on a conflict.
func (f *fakePlatform) runCleanup() {
	var cleanup Cleanup
	for cleanup.Action().Kind() != ActionDone {
		cleanup.Handle(f.perform(cleanup.Action()))
	}
	if cleanup.Err() != nil && !errors.Is(cleanup.Err(), lentilplatform.ErrConflict) && !errors.Is(cleanup.Err(), lentilplatform.ErrNotFound) {
		f.addViolation("cleanup: %v", cleanup.Err())
	}
}

// newNote returns a note with the given id and content.
func newNote(id string, doc lentilnote.Doc) lentilnote.Note {
	doc.ID = id
	doc.Author = "author-of-" + id
	note, err := lentilnote.New(doc)
	if err != nil {
		panic(err)
	}
	return note
}

func drainDoc(copies ...string) (doc lentilnote.Doc) {
	draining := true
	for _, name := range copies {
		doc.Copies.Changed = append(doc.Copies.Changed, lentilnote.ChangedCopyDoc{Name: name, Draining: &draining})
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
