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

// planned is a fault at a call.
type planned struct {
	fault fault
	call  int
}

func (p planned) String() string { return fmt.Sprintf("%s at call %d", p.fault.name, p.call) }

// trial carries out the note under faults and checks what came of it.
func trial(t *testing.T, seed uint64, faults ...planned) (outcome Outcome) {
	return trialOn(t, prepared(t), seed, faults...)
}

func trialOn(t *testing.T, f *fake, seed uint64, faults ...planned) (outcome Outcome) {
	f.own = true
	run := f.newRun(note("mine", mine()), seed)
	f.drive(run, time.Unix(2_000_000, 0), func(call int, action Action) (answer Answer, done bool, pause time.Duration) {
		for _, p := range faults {
			if call < p.call || call >= p.call+p.fault.lasts || done {
				continue
			}
			var more time.Duration
			answer, done, more = p.fault.at(f, action)
			pause += more
		}
		return answer, done, pause
	})
	f.pass(1000)
	report := run.Report()
	version, accepted := f.accepted["mine"]
	switch {
	case report.Accepted() && (!accepted || report.Version() != version):
		f.blame("said to be accepted as version %d, is %d", report.Version(), version)
	case report.Accepted() && f.node.Version() < version:
		f.blame("version %d is accepted, %d in force", version, f.node.Version())
	case !report.Accepted() && report.Outcome() != OutcomeUnknown && f.owned["mine"]:
		f.blame("said to be %v, was accepted as version %d", report.Outcome(), version)
	}
	again := f.apply(note("mine", mine()), seed+1)
	if accepted && again.Outcome() != OutcomeAlready && again.Outcome() != OutcomeNothing {
		f.blame("the second run says %v: %v", again.Outcome(), again.Err())
	}
	f.restored = false
	f.whole("all")
	if again.Accepted() && !f.inForce("mine", again.Version()) {
		f.blame("version %d of the note isn't in force", again.Version())
	}
	if len(f.faults) > 0 {
		t.Errorf("%v, seed %d: %v, error %v\n%s", faults, seed, report.Outcome(), report.Err(), strings.Join(f.faults, "\n"))
	}
	return report.Outcome()
}

// inForce reports whether the node's history holds the note's version.
func (f *fake) inForce(id string, version uint64) bool {
	for _, mark := range f.node.Configuration().Document().Recent {
		if mark.NoteID == id && mark.Version == version {
			return true
		}
	}
	return false
}

// callsMax is above the calls that a run takes under one fault.
const callsMax = 24

// TestOneFaultAtEveryStep brings about each fault at each call of a run. Apart
// from a rival's note and a writer paused beyond its time, the note must get through.
func TestOneFaultAtEveryStep(t *testing.T) {
	t.Parallel()
	for _, fault := range faultTable() {
		t.Run(fault.name, func(t *testing.T) {
			counts := make(map[Outcome]int)
			for call := range callsMax {
				outcome := trial(t, 14, planned{fault, call})
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
	table := faultTable()
	source := rand.New(rand.NewPCG(14, 14))
	counts := make(map[Outcome]int)
	for range 800 {
		first := planned{table[source.IntN(len(table))], source.IntN(callsMax)}
		second := planned{table[source.IntN(len(table))], source.IntN(callsMax)}
		counts[trial(t, source.Uint64(), first, second)]++
	}
	t.Logf("%v", counts)
}

// TestTwoFaultsAroundTheMove brings about every pair of the faults that make a
// platform forget, or a rival win, at the calls around the move of the head.
func TestTwoFaultsAroundTheMove(t *testing.T) {
	t.Parallel()
	const first, last = 7, 12
	var harsh []fault
	for _, fault := range faultTable() {
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
					f := prepared(t)
					f.lagging = (i+j)%2 == 0
					counts[trialOn(t, f, 14, planned{a, i}, planned{b, j})]++
				}
			}
		}
	}
	if counts[OutcomeUnknown] > 0 {
		t.Error("an outcome stays unknown though everything can be asked in the end")
	}
	t.Logf("%v", counts)
}

// TestRunRefuses looks at the outcomes without faults of the platform.
func TestRunRefuses(t *testing.T) {
	t.Parallel()
	other := mine()
	other.Reason = "another text"
	unsound := lentilnote.Doc{Services: lentilnote.ServicesDoc{Withdrawn: []string{"iscrizioni"}}}
	tests := []struct {
		name    string
		prepare func(f *fake)
		note    lentilnote.Note
		outcome Outcome
		err     error
	}{
		{"accepted", nil, note("mine", mine()), OutcomeAccepted, nil},
		{"accepted before", func(f *fake) { f.apply(note("mine", mine()), 3) }, note("mine", mine()), OutcomeAlready, nil},
		{"another note of the id", func(f *fake) { f.apply(note("mine", mine()), 3) }, note("mine", other), OutcomeRefused, ErrReused},
		{"nothing to change", nil, note("mine", draining("iscrizioni-6")), OutcomeNothing, nil},
		{"unsound", nil, note("mine", unsound), OutcomeRefused, nil},
		{"not there", nil, note("mine", draining("iscrizioni-9")), OutcomeRefused, lentilnote.ErrNotThere},
		{"accepted long ago and undone since", func(f *fake) {
			f.apply(note("mine", draining("iscrizioni-1")), 3)
			for i := range 300 {
				no := i%2 == 1
				doc := lentilnote.Doc{Copies: lentilnote.CopiesDoc{Changed: []lentilnote.ChangedCopyDoc{{Name: "iscrizioni-1", Draining: &no}}}}
				f.apply(note(fmt.Sprintf("later-%d", i), doc), 3)
			}
		}, note("mine", draining("iscrizioni-1")), OutcomeAlready, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := prepared(t)
			if test.prepare != nil {
				test.prepare(f)
			}
			report := f.apply(test.note, 5)
			if report.Outcome() != test.outcome || test.err != nil && !errors.Is(report.Err(), test.err) {
				t.Errorf("outcome %v, error %v, want %v, %v", report.Outcome(), report.Err(), test.outcome, test.err)
			}
			if len(f.faults) > 0 {
				t.Error(strings.Join(f.faults, "\n"))
			}
		})
	}
}

// TestPlatformDownForLong looks at what is said when the time is over. The last
// write before may take effect at once, or after the run has ended; reads may go on.
func TestPlatformDownForLong(t *testing.T) {
	modes := []struct {
		name  string
		late  int
		reads bool
	}{{"all down", 0, false}, {"all down, last write late", 1000, false}, {"writes late, reads up", 1000, true}}
	for _, mode := range modes {
		for call := range 12 {
			f := prepared(t)
			run := f.newRun(note("mine", mine()), 14)
			f.drive(run, time.Unix(2_000_000, 0), func(at int, action Action) (Answer, bool, time.Duration) {
				read := action.kind == ActionGet || action.kind == ActionList
				switch {
				case at < call || action.kind == ActionNodes || mode.reads && read:
					return Answer{}, false, 0
				case !mode.reads && at > call || read:
					return Answer{Err: errDown}, true, time.Second
				}
				f.late = append(f.late, lateWrite{calls: mode.late, action: action})
				return Answer{Err: errUnknown}, true, time.Second
			})
			f.pass(1000)
			outcome := run.Report().Outcome()
			_, accepted := f.accepted["mine"]
			if accepted && outcome != OutcomeUnknown && outcome != OutcomeAccepted || !accepted && outcome != OutcomeUnavailable {
				t.Errorf("%s from call %d: accepted %t, said %v", mode.name, call, accepted, outcome)
			}
		}
	}
}

// TestOlderDataWhileNodesAreSilent has no node to ask after the platform went back
// to older data before the move of the head.
func TestOlderDataWhileNodesAreSilent(t *testing.T) {
	f := prepared(t)
	run := f.newRun(note("mine", mine()), 14)
	gone := false
	f.drive(run, time.Unix(2_000_000, 0), func(_ int, action Action) (Answer, bool, time.Duration) {
		if run.Step() == StepMove && !gone {
			gone = true
			f.restore()
		}
		if action.kind == ActionNodes && gone {
			return Answer{Err: errDown}, true, time.Second
		}
		return Answer{}, false, 0
	})
	if outcome := run.Report().Outcome(); outcome != OutcomeUnavailable || !errors.Is(run.Report().Err(), ErrOlderPlatform) {
		t.Errorf("said %v, error %v", outcome, run.Report().Err())
	}
}

// TestDoubtWithoutNodes loses the answer to the move of the head, after which the
// platform goes back to older data and no node can be asked.
func TestDoubtWithoutNodes(t *testing.T) {
	f := prepared(t)
	run := f.newRun(note("mine", mine()), 14)
	run.AskNodes = false
	moved := false
	f.drive(run, time.Unix(2_000_000, 0), func(_ int, action Action) (Answer, bool, time.Duration) {
		if run.Step() != StepMove || moved {
			return Answer{}, false, 0
		}
		moved = true
		f.perform(action)
		f.restore()
		return Answer{Err: errUnknown}, true, 0
	})
	if outcome := run.Report().Outcome(); outcome != OutcomeUnknown || !errors.Is(run.Report().Err(), ErrOlderPlatform) {
		t.Errorf("said %v, error %v", outcome, run.Report().Err())
	}
}

// TestAuditClosesEveryNote ends a writer right after the head has moved; the next
// note completes the record.
func TestAuditClosesEveryNote(t *testing.T) {
	f := prepared(t)
	run := f.newRun(note("mine", mine()), 14)
	run.Start(time.Unix(2_000_000, 0))
	for run.Step() != StepResult {
		run.Handle(time.Unix(2_000_000, 0), f.perform(run.Action()))
	}
	if result := f.result(t, "mine"); result != ResultPending {
		t.Fatalf("the record says %s", result)
	}
	f.apply(note("other", draining("iscrizioni-3")), 14)
	for id := range f.accepted {
		if result := f.result(t, id); result != ResultAccepted {
			t.Errorf("the record of %s says %s", id, result)
		}
	}
}

func (f *fake) result(t *testing.T, id string) string {
	t.Helper()
	doc, err := ParseAudit(f.objects[key{lentilplatform.KindAudit, id}].body)
	if err != nil {
		t.Fatal(err)
	}
	return doc.Result
}

func TestCleanupKeepsOnlyWhatIsUsed(t *testing.T) {
	f := prepared(t)
	before := len(f.list(lentilplatform.KindShard))
	f.clean()
	if after := len(f.list(lentilplatform.KindShard)); before != 4 || after != 1 {
		t.Errorf("%d shards before and %d after", before, after)
	}
	f.whole("a cleanup")
	if len(f.faults) > 0 {
		t.Error(strings.Join(f.faults, "\n"))
	}
}
