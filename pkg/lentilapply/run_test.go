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

// plannedFault is a fault at a call.
type plannedFault struct {
	fault fault
	call  int
}

func (p plannedFault) String() string { return fmt.Sprintf("%s at call %d", p.fault.name, p.call) }

// runTrial carries out the note under faults and checks what came of it.
func runTrial(t *testing.T, seed uint64, faults ...plannedFault) (outcome Outcome) {
	return runTrialOn(t, newPreparedPlatform(t), seed, faults...)
}

func runTrialOn(t *testing.T, f *fakePlatform, seed uint64, faults ...plannedFault) (outcome Outcome) {
	f.ownRun = true
	run := f.newRun(newNote("mine", testNoteDoc()), seed)
	f.runWithFaults(run, time.Unix(2_000_000, 0), func(call int, action Action) (answer Answer, done bool, pause time.Duration) {
		for _, p := range faults {
			if call < p.call || call >= p.call+p.fault.calls || done {
				continue
			}
			var more time.Duration
			answer, done, more = p.fault.inject(f, action)
			pause += more
		}
		return answer, done, pause
	})
	f.advanceCalls(1000)
	report := run.Report()
	version, accepted := f.acceptedVersions["mine"]
	switch {
	case report.Accepted() && (!accepted || report.Version() != version):
		f.addViolation("said to be accepted as version %d, is %d", report.Version(), version)
	case report.Accepted() && f.node.Version() < version:
		f.addViolation("version %d is accepted, %d in force", version, f.node.Version())
	case !report.Accepted() && report.Outcome() != OutcomeUnknown && f.ownNotes["mine"]:
		f.addViolation("said to be %v, was accepted as version %d", report.Outcome(), version)
	}
	again := f.applyNote(newNote("mine", testNoteDoc()), seed+1)
	if accepted && again.Outcome() != OutcomeAlready && again.Outcome() != OutcomeNothing {
		f.addViolation("the second run says %v: %v", again.Outcome(), again.Err())
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

// inForce reports whether the node's history holds the note's version.
func (f *fakePlatform) inForce(id string, version uint64) bool {
	for _, mark := range f.node.Configuration().Document().Recent {
		if mark.NoteID == id && mark.Version == version {
			return true
		}
	}
	return false
}

// maxCalls is above the calls that a run takes under one fault.
const maxCalls = 24

// TestOneFaultAtEveryStep brings about each fault at each call of a run. Apart
// from a rival's note and a writer paused beyond its time, the note must get through.
func TestOneFaultAtEveryStep(t *testing.T) {
	t.Parallel()
	for _, fault := range faultCases() {
		t.Run(fault.name, func(t *testing.T) {
			counts := make(map[Outcome]int)
			for call := range maxCalls {
				outcome := runTrial(t, 14, plannedFault{fault, call})
				counts[outcome]++
				through := outcome == OutcomeAccepted || outcome == OutcomeAlready
				if fault.name == "another note that does the same" {
					through = through || outcome == OutcomeNothing
				}
				excused := fault.name == "rival note" || fault.name == "paused for an hour while others write"
				if !through && !excused {
					t.Errorf("%v at call %d", outcome, call)
				}
			}
			if fault.name == "rival note" && counts[OutcomeConflict] == 0 {
				t.Error("no rival's note is seen")
			}
			t.Logf("%v", counts)
		})
	}
}

// TestTwoFaults brings about pairs of faults at any calls.
func TestTwoFaults(t *testing.T) {
	t.Parallel()
	table := faultCases()
	source := rand.New(rand.NewPCG(14, 14))
	counts := make(map[Outcome]int)
	for range 800 {
		first := plannedFault{table[source.IntN(len(table))], source.IntN(maxCalls)}
		second := plannedFault{table[source.IntN(len(table))], source.IntN(maxCalls)}
		counts[runTrial(t, source.Uint64(), first, second)]++
	}
	t.Logf("%v", counts)
}

// TestTwoFaultsAroundHeadUpdate brings about every pair of the faults that make a
// platform forget, or a rival win, at the calls around the move of the head.
func TestTwoFaultsAroundHeadUpdate(t *testing.T) {
	t.Parallel()
	const first, last = 7, 12
	var harsh []fault
	for _, fault := range faultCases() {
		switch fault.name {
		case "down", "other note", "rival note", "data of the run's start", "older data":
			harsh = append(harsh, fault)
		}
	}
	counts := make(map[Outcome]int)
	for _, a := range harsh {
		for _, b := range harsh {
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
		t.Error("an outcome stays unknown though everything can be asked in the end")
	}
	t.Logf("%v", counts)
}

// TestOutcomesWithoutFaults looks at the outcomes without faults of the platform.
func TestOutcomesWithoutFaults(t *testing.T) {
	t.Parallel()
	other := testNoteDoc()
	other.Reason = "another text"
	unsound := lentilnote.Doc{Services: lentilnote.ServicesDoc{Withdrawn: []string{"iscrizioni"}}}
	tests := []struct {
		name    string
		prepare func(f *fakePlatform)
		note    lentilnote.Note
		outcome Outcome
		err     error
	}{
		{"accepted", nil, newNote("mine", testNoteDoc()), OutcomeAccepted, nil},
		{"accepted before", func(f *fakePlatform) { f.applyNote(newNote("mine", testNoteDoc()), 3) }, newNote("mine", testNoteDoc()), OutcomeAlready, nil},
		{"another note of the id", func(f *fakePlatform) { f.applyNote(newNote("mine", testNoteDoc()), 3) }, newNote("mine", other), OutcomeRefused, ErrIDReused},
		{"nothing to change", nil, newNote("mine", drainDoc("iscrizioni-6")), OutcomeNothing, nil},
		{"unsound", nil, newNote("mine", unsound), OutcomeRefused, nil},
		{"not there", nil, newNote("mine", drainDoc("iscrizioni-9")), OutcomeRefused, lentilnote.ErrNotFound},
		{"accepted long ago and undone since", func(f *fakePlatform) {
			f.applyNote(newNote("mine", drainDoc("iscrizioni-1")), 3)
			for i := range 300 {
				no := i%2 == 1
				doc := lentilnote.Doc{Copies: lentilnote.CopiesDoc{Changed: []lentilnote.ChangedCopyDoc{{Name: "iscrizioni-1", Draining: &no}}}}
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

// TestLongPlatformOutage looks at what is said when the time is over. The last
// write before may take effect at once, or after the run has ended; reads may go on.
func TestLongPlatformOutage(t *testing.T) {
	modes := []struct {
		name  string
		late  int
		reads bool
	}{{"all down", 0, false}, {"all down, last write late", 1000, false}, {"writes late, reads up", 1000, true}}
	for _, mode := range modes {
		for call := range 12 {
			f := newPreparedPlatform(t)
			run := f.newRun(newNote("mine", testNoteDoc()), 14)
			f.runWithFaults(run, time.Unix(2_000_000, 0), func(at int, action Action) (Answer, bool, time.Duration) {
				read := action.kind == ActionGet || action.kind == ActionList
				switch {
				case at < call || action.kind == ActionQueryNodes || mode.reads && read:
					return Answer{}, false, 0
				case !mode.reads && at > call || read:
					return Answer{Err: errUnavailable}, true, time.Second
				}
				f.lateWrites = append(f.lateWrites, lateWrite{remainingCalls: mode.late, action: action})
				return Answer{Err: errUnknown}, true, time.Second
			})
			f.advanceCalls(1000)
			outcome := run.Report().Outcome()
			_, accepted := f.acceptedVersions["mine"]
			if accepted && outcome != OutcomeUnknown && outcome != OutcomeAccepted || !accepted && outcome != OutcomeUnavailable {
				t.Errorf("%s from call %d: accepted %t, said %v", mode.name, call, accepted, outcome)
			}
		}
	}
}

// TestOlderDataWithUnresponsiveNodes has no node to ask after the platform went back
// to older data before the move of the head.
func TestOlderDataWithUnresponsiveNodes(t *testing.T) {
	f := newPreparedPlatform(t)
	run := f.newRun(newNote("mine", testNoteDoc()), 14)
	gone := false
	f.runWithFaults(run, time.Unix(2_000_000, 0), func(_ int, action Action) (Answer, bool, time.Duration) {
		if run.Step() == StepMove && !gone {
			gone = true
			f.restoreSnapshot()
		}
		if action.kind == ActionQueryNodes && gone {
			return Answer{Err: errUnavailable}, true, time.Second
		}
		return Answer{}, false, 0
	})
	if outcome := run.Report().Outcome(); outcome != OutcomeUnavailable || !errors.Is(run.Report().Err(), ErrPlatformOutdated) {
		t.Errorf("said %v, error %v", outcome, run.Report().Err())
	}
}

// TestUnconfirmedHeadUpdateWithoutNodes loses the answer to the move of the head, after which the
// platform goes back to older data and no node can be asked.
func TestUnconfirmedHeadUpdateWithoutNodes(t *testing.T) {
	f := newPreparedPlatform(t)
	run := f.newRun(newNote("mine", testNoteDoc()), 14)
	run.AskNodes = false
	moved := false
	f.runWithFaults(run, time.Unix(2_000_000, 0), func(_ int, action Action) (Answer, bool, time.Duration) {
		if run.Step() != StepMove || moved {
			return Answer{}, false, 0
		}
		moved = true
		f.perform(action)
		f.restoreSnapshot()
		return Answer{Err: errUnknown}, true, 0
	})
	if outcome := run.Report().Outcome(); outcome != OutcomeUnknown || !errors.Is(run.Report().Err(), ErrPlatformOutdated) {
		t.Errorf("said %v, error %v", outcome, run.Report().Err())
	}
}

// TestNextNoteCompletesAuditRecord ends a writer right after the head has moved; the next
// note completes the record.
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
