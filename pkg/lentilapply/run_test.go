package lentilapply

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"lentilstair.example/lentilstair/pkg/lentilnote"
	"lentilstair.example/lentilstair/pkg/lentilplatform"
)

// plannedFault is a fault that is injected at a given call of a run.
type plannedFault struct {
	fault fault
	call  int
}

func (p plannedFault) String() string { return fmt.Sprintf("%s at call %d", p.fault.name, p.call) }

// runTrial applies the test note under the given faults on a prepared platform and
// returns the outcome. It fails the test if the outcome isn't what the platform holds.
func runTrial(t *testing.T, seed uint64, faults ...plannedFault) (outcome Outcome) {
	return runTrialOn(t, newPreparedPlatform(t), seed, faults...)
}

// runTrialOn is runTrial on a given platform. After the run it lets all late writes take
// effect, compares the reported outcome with the platform, and applies the note again.
func runTrialOn(t *testing.T, f *fakePlatform, seed uint64, faults ...plannedFault) (outcome Outcome) {
	f.ownRun = true
	run := f.newRun(newNote("mine", testNoteDoc()), seed)
	f.runWithFaults(run, time.Unix(2_000_000, 0), func(call int, action Action) (answer Answer, done bool, pause time.Duration) {
		for _, planned := range faults {
			if call < planned.call || call >= planned.call+planned.fault.calls || done {
				continue
			}
			var extra time.Duration
			answer, done, extra = planned.fault.inject(f, action)
			pause += extra
		}
		return answer, done, pause
	})
	f.advanceCalls(1000)
	report := run.Report()
	version, accepted := f.acceptedVersions["mine"]
	switch {
	case report.Accepted() && (!accepted || report.Version() != version):
		f.addViolation("reported as accepted in version %d, accepted in version %d", report.Version(), version)
	case report.Accepted() && f.node.Version() < version:
		f.addViolation("version %d is accepted, version %d is in force", version, f.node.Version())
	case !report.Accepted() && report.Outcome() != OutcomeUnknown && f.ownNotes["mine"]:
		f.addViolation("reported as %v, accepted in version %d", report.Outcome(), version)
	}
	again := f.applyNote(newNote("mine", testNoteDoc()), seed+1)
	if accepted && again.Outcome() != OutcomeAlready && again.Outcome() != OutcomeNothing {
		f.addViolation("the second run reports %v: %v", again.Outcome(), again.Err())
	}
	f.restored = false
	f.checkReadable("all")
	if again.Accepted() && !f.inForce("mine", again.Version()) {
		f.addViolation("version %d of the note isn't in force", again.Version())
	}
	if len(f.violations) > 0 {
		t.Errorf("%v, seed %d: %v, error %v\n%s", faults, seed, report.Outcome(), report.Err(), strings.Join(f.violations, "\n"))
	}
	return report.Outcome()
}

// inForce reports whether the node's history holds the note under this version.
func (f *fakePlatform) inForce(id string, version uint64) bool {
	for _, entry := range f.node.Configuration().Document().RecentNotes {
		if entry.NoteID == id && entry.Version == version {
			return true
		}
	}
	return false
}

// maxCalls is more than the calls that a run makes under one fault.
const maxCalls = 24

// TestOneFaultAtEveryStep injects each fault at each call of a run. The note must be
// accepted, unless a conflicting note was or the run was paused beyond its deadline.
func TestOneFaultAtEveryStep(t *testing.T) {
	t.Parallel()
	for _, fault := range faultCases() {
		t.Run(fault.name, func(t *testing.T) {
			counts := make(map[Outcome]int)
			for call := range maxCalls {
				outcome := runTrial(t, 14, plannedFault{fault, call})
				counts[outcome]++
				accepted := outcome == OutcomeAccepted || outcome == OutcomeAlready
				if fault.name == "another note with the same changes" {
					accepted = accepted || outcome == OutcomeNothing
				}
				mayFail := fault.name == "conflicting note" || fault.name == "run paused for an hour while others write"
				if !accepted && !mayFail {
					t.Errorf("%v at call %d", outcome, call)
				}
			}
			if fault.name == "conflicting note" && counts[OutcomeConflict] == 0 {
				t.Error("no run has detected the conflicting note")
			}
			t.Logf("%v", counts)
		})
	}
}

// TestTwoFaults injects random pairs of faults at random calls.
func TestTwoFaults(t *testing.T) {
	t.Parallel()
	faults := faultCases()
	random := rand.New(rand.NewPCG(14, 14))
	counts := make(map[Outcome]int)
	for range 800 {
		first := plannedFault{faults[random.IntN(len(faults))], random.IntN(maxCalls)}
		second := plannedFault{faults[random.IntN(len(faults))], random.IntN(maxCalls)}
		counts[runTrial(t, random.Uint64(), first, second)]++
	}
	t.Logf("%v", counts)
}

// TestTwoFaultsAroundHeadUpdate injects every pair of an outage, a concurrent note and a
// restore of the platform, at the calls around the update of the head. No outcome may
// stay unknown, since the platform and the node answer in the end.
func TestTwoFaultsAroundHeadUpdate(t *testing.T) {
	t.Parallel()
	const first, last = 7, 12
	var selected []fault
	for _, fault := range faultCases() {
		switch fault.name {
		case "down", "unrelated note", "conflicting note", "platform restored to the run's start", "platform restored from older data":
			selected = append(selected, fault)
		}
	}
	counts := make(map[Outcome]int)
	for _, a := range selected {
		for _, b := range selected {
			for i := first; i <= last; i++ {
				for j := i; j <= last; j++ {
					f := newPreparedPlatform(t)
					f.lazyNode = (i+j)%2 == 0
					counts[runTrialOn(t, f, 14, plannedFault{a, i}, plannedFault{b, j})]++
				}
			}
		}
	}
	if counts[OutcomeUnknown] > 0 {
		t.Error("an outcome stays unknown although the platform and the node answer in the end")
	}
	t.Logf("%v", counts)
}

// TestOutcomesWithoutFaults checks the outcome of notes of each kind without faults.
func TestOutcomesWithoutFaults(t *testing.T) {
	t.Parallel()
	other := testNoteDoc()
	other.Reason = "another text"
	withdrawInUse := lentilnote.Doc{Services: lentilnote.ServicesDoc{Withdrawn: []string{"iscrizioni"}}}
	tests := []struct {
		name    string
		prepare func(f *fakePlatform)
		note    lentilnote.Note
		outcome Outcome
		err     error
	}{
		{"accepted", nil, newNote("mine", testNoteDoc()), OutcomeAccepted, nil},
		{"accepted before", func(f *fakePlatform) { f.applyNote(newNote("mine", testNoteDoc()), 3) }, newNote("mine", testNoteDoc()), OutcomeAlready, nil},
		{"another note, same id", func(f *fakePlatform) { f.applyNote(newNote("mine", testNoteDoc()), 3) }, newNote("mine", other), OutcomeRefused, ErrIDReused},
		{"nothing to change", nil, newNote("mine", drainDoc("iscrizioni-6")), OutcomeNothing, nil},
		{"unsound", nil, newNote("mine", withdrawInUse), OutcomeRefused, nil},
		{"object not in the configuration", nil, newNote("mine", drainDoc("iscrizioni-9")), OutcomeRefused, lentilnote.ErrNotFound},
		{"accepted long ago and undone since then", func(f *fakePlatform) {
			f.applyNote(newNote("mine", drainDoc("iscrizioni-1")), 3)
			for i := range 300 {
				draining := i%2 == 1
				doc := lentilnote.Doc{Copies: lentilnote.CopiesDoc{Changed: []lentilnote.ChangedCopyDoc{{Name: "iscrizioni-1", Draining: &draining}}}}
				f.applyNote(newNote(fmt.Sprintf("later-%d", i), doc), 3)
			}
		}, newNote("mine", drainDoc("iscrizioni-1")), OutcomeAlready, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newPreparedPlatform(t)
			if test.prepare != nil {
				test.prepare(f)
			}
			report := f.applyNote(test.note, 5)
			if report.Outcome() != test.outcome || test.err != nil && !errors.Is(report.Err(), test.err) {
				t.Errorf("outcome %v, error %v, want %v, %v", report.Outcome(), report.Err(), test.outcome, test.err)
			}
			if len(f.violations) > 0 {
				t.Error(strings.Join(f.violations, "\n"))
			}
		})
	}
}

// TestLongPlatformOutage checks the reported outcome if the platform stays down beyond
// the deadline. The last write before it may take effect at once, or only after the run
// has ended. In one mode, reads still succeed.
func TestLongPlatformOutage(t *testing.T) {
	modes := []struct {
		name         string
		lateCalls    int // calls until the last write takes effect
		readsSucceed bool
	}{{"all down", 0, false}, {"all down, last write late", 1000, false}, {"writes late, reads succeed", 1000, true}}
	for _, mode := range modes {
		for call := range 12 {
			f := newPreparedPlatform(t)
			run := f.newRun(newNote("mine", testNoteDoc()), 14)
			f.runWithFaults(run, time.Unix(2_000_000, 0), func(at int, action Action) (Answer, bool, time.Duration) {
				read := action.kind == ActionGet || action.kind == ActionList
				switch {
				case at < call || action.kind == ActionQueryNodes || mode.readsSucceed && read:
					return Answer{}, false, 0
				case !mode.readsSucceed && at > call || read:
					return Answer{Err: errUnavailable}, true, time.Second
				}
				f.lateWrites = append(f.lateWrites, lateWrite{remainingCalls: mode.lateCalls, action: action})
				return Answer{Err: errUnknown}, true, time.Second
			})
			f.advanceCalls(1000)
			outcome := run.Report().Outcome()
			_, accepted := f.acceptedVersions["mine"]
			if accepted && outcome != OutcomeUnknown && outcome != OutcomeAccepted || !accepted && outcome != OutcomeUnavailable {
				t.Errorf("%s from call %d: accepted %t, reported %v", mode.name, call, accepted, outcome)
			}
		}
	}
}

// TestOlderDataWithUnresponsiveNodes restores the platform from older data just before
// the update of the head, after which no node answers. The run must not go on with the
// older data.
func TestOlderDataWithUnresponsiveNodes(t *testing.T) {
	f := newPreparedPlatform(t)
	run := f.newRun(newNote("mine", testNoteDoc()), 14)
	restored := false
	f.runWithFaults(run, time.Unix(2_000_000, 0), func(_ int, action Action) (Answer, bool, time.Duration) {
		if run.Step() == StepMove && !restored {
			restored = true
			f.restoreSnapshot()
		}
		if action.kind == ActionQueryNodes && restored {
			return Answer{Err: errUnavailable}, true, time.Second
		}
		return Answer{}, false, 0
	})
	if outcome := run.Report().Outcome(); outcome != OutcomeUnavailable || !errors.Is(run.Report().Err(), ErrPlatformOutdated) {
		t.Errorf("reported %v, error %v", outcome, run.Report().Err())
	}
}

// TestUnconfirmedHeadUpdateWithoutNodes loses the answer to the update of the head,
// restores the platform from older data, and leaves no node to query. The outcome must
// be unknown.
func TestUnconfirmedHeadUpdateWithoutNodes(t *testing.T) {
	f := newPreparedPlatform(t)
	run := f.newRun(newNote("mine", testNoteDoc()), 14)
	run.CanQueryNodes = false
	updated := false
	f.runWithFaults(run, time.Unix(2_000_000, 0), func(_ int, action Action) (Answer, bool, time.Duration) {
		if run.Step() != StepMove || updated {
			return Answer{}, false, 0
		}
		updated = true
		f.perform(action)
		f.restoreSnapshot()
		return Answer{Err: errUnknown}, true, 0
	})
	if outcome := run.Report().Outcome(); outcome != OutcomeUnknown || !errors.Is(run.Report().Err(), ErrPlatformOutdated) {
		t.Errorf("reported %v, error %v", outcome, run.Report().Err())
	}
}

// TestNextNoteCompletesAuditRecord stops a writer right after its update of the head,
// which leaves its audit record pending. The next note must complete that record.
func TestNextNoteCompletesAuditRecord(t *testing.T) {
	f := newPreparedPlatform(t)
	run := f.newRun(newNote("mine", testNoteDoc()), 14)
	run.Start(time.Unix(2_000_000, 0))
	for run.Step() != StepResult {
		run.Handle(time.Unix(2_000_000, 0), f.perform(run.Action()))
	}
	if result := f.auditResult(t, "mine"); result != ResultPending {
		t.Fatalf("the record says %s", result)
	}
	f.applyNote(newNote("other", drainDoc("iscrizioni-3")), 14)
	for id := range f.acceptedVersions {
		if result := f.auditResult(t, id); result != ResultAccepted {
			t.Errorf("the record of %s says %s", id, result)
		}
	}
}

func (f *fakePlatform) auditResult(t *testing.T, id string) string {
	t.Helper()
	doc, err := ParseAudit(f.objects[objectKey{lentilplatform.KindAudit, id}].body)
	if err != nil {
		t.Fatal(err)
	}
	return doc.Result
}

func TestCleanupRemovesUnusedShards(t *testing.T) {
	f := newPreparedPlatform(t)
	before := len(f.list(lentilplatform.KindShard))
	f.runCleanup()
	if after := len(f.list(lentilplatform.KindShard)); before != 4 || after != 1 {
		t.Errorf("%d shards before and %d after", before, after)
	}
	f.checkReadable("a cleanup")
	if len(f.violations) > 0 {
		t.Error(strings.Join(f.violations, "\n"))
	}
}
