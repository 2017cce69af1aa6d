package caller

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// ReportDoc is the written form of what callers have seen.
type ReportDoc struct {
	Seconds     float64     `json:"seconds"`
	Connections int         `json:"connections"`
	Streams     StreamsDoc  `json:"streams"`
	Repeatable  RequestsDoc `json:"repeatable"`
	Once        RequestsDoc `json:"once"`
	// Copies counts answers by the copy that gave them.
	Copies map[string]int `json:"copies"`
	// Refusals counts refusals by their reason.
	Refusals map[string]int `json:"refusals,omitempty"`
	// Faults describes the first faults that were seen, for people.
	Faults []string `json:"faults,omitempty"`
}

// StreamsDoc is the written form of what became of streams.
type StreamsDoc struct {
	Opened int `json:"opened"`
	// Broken streams ended before the caller ended them.
	Broken int `json:"broken"`
	// BrokenByCopy counts them by the copy that held them.
	BrokenByCopy map[string]int `json:"brokenByCopy,omitempty"`
	// Gaps is how often a tick was missing or not the caller's own.
	Gaps  int `json:"gaps"`
	Ticks int `json:"ticks"`
	// Refused streams were never opened, and the caller was told so.
	Refused int `json:"refused"`
	// LongestGapMillis is the longest time between two ticks of a stream.
	LongestGapMillis int64 `json:"longestGapMillis"`
}

// RequestsDoc is the written form of what became of requests.
type RequestsDoc struct {
	Sent int `json:"sent"`
	// Answered requests got the whole answer of a copy to themselves.
	Answered int `json:"answered"`
	// NotRun and Unknown requests were refused with that outcome.
	NotRun  int `json:"notRun"`
	Unknown int `json:"unknown"`
	// Wrong answers were to another request, or not whole.
	Wrong int `json:"wrong"`
	// Failed requests got no answer in time or a broken one.
	Failed int `json:"failed"`
	// Abandoned are those of the failed requests whose connection an agent ended because
	// operators had taken its failure domain out.
	Abandoned int `json:"givenUp"`
	// CopyErrors are errors that the copy itself answered.
	CopyErrors int `json:"copyErrors"`
	// Late answers came after the deadline.
	Late int `json:"late"`
	// MillisP50 and the others are the times of answered requests.
	MillisP50 float64 `json:"millisP50"`
	MillisP99 float64 `json:"millisP99"`
	MillisMax float64 `json:"millisMax"`
	// RefusalMillisMax is the longest time until a refusal.
	RefusalMillisMax float64 `json:"refusalMillisMax"`
	// AnsweredIDs and the others name the requests that may not be repeated.
	AnsweredIDs []string `json:"answeredIds,omitempty"`
	NotRunIDs   []string `json:"notRunIds,omitempty"`
	UnknownIDs  []string `json:"unknownIds,omitempty"`
	FailedIDs   []string `json:"failedIds,omitempty"`
}

// result is how a request ended.
type result uint8

//go:generate stringer -type=result -trimprefix=result

const (
	resultAnswered result = iota
	resultNotRun
	resultUnknown
	resultWrong
	resultFailed
	resultCopyError
)

// domainOutReason is what agents say when they end connections because operators
// took their failure domain out.
const domainOutReason = "failure domain out"

// maxFaults bounds the descriptions in a report.
const maxFaults = 20

// recorder adds up what callers see.
type recorder struct {
	mu              sync.Mutex
	report          ReportDoc
	repeatableTimes []time.Duration
	onceTimes       []time.Duration
}

// recordRequest notes how a recordRequest ended.
func (b *recorder) recordRequest(once bool, id string, r result, took time.Duration, copyName, detail string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	doc, times := &b.report.Repeatable, &b.repeatableTimes
	if once {
		doc, times = &b.report.Once, &b.onceTimes
	}
	doc.Sent++
	switch r {
	case resultAnswered:
		doc.Answered++
		*times = append(*times, took)
		b.countCopy(copyName)
	case resultNotRun:
		doc.NotRun++
		doc.RefusalMillisMax = max(doc.RefusalMillisMax, millis(took))
		b.countRefusal(detail)
	case resultUnknown:
		doc.Unknown++
		b.addFault(id + ": outcome unknown: " + detail)
	case resultCopyError:
		doc.CopyErrors++
	case resultWrong:
		doc.Wrong++
		b.addFault(id + ": wrong answer: " + detail)
	default:
		doc.Failed++
		if strings.Contains(detail, domainOutReason) {
			doc.Abandoned++
		}
		b.addFault(id + ": failed: " + detail)
	}
	if once {
		doc.addID(r, id)
	}
}

// addID notes the id of a request that may not be repeated.
func (d *RequestsDoc) addID(r result, id string) {
	switch r {
	case resultAnswered:
		d.AnsweredIDs = append(d.AnsweredIDs, id)
	case resultNotRun:
		d.NotRunIDs = append(d.NotRunIDs, id)
	case resultUnknown:
		d.UnknownIDs = append(d.UnknownIDs, id)
	default:
		d.FailedIDs = append(d.FailedIDs, id)
	}
}

// recordLate notes an answer after the deadline.
func (b *recorder) recordLate(once bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if once {
		b.report.Once.Late++
	} else {
		b.report.Repeatable.Late++
	}
}

// updateStreams changes what is known of streams.
func (b *recorder) updateStreams(change func(*StreamsDoc)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	change(&b.report.Streams)
}

// recordBrokenStream notes a stream that ended too early.
func (b *recorder) recordBrokenStream(id, copyName, detail string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.report.Streams.Broken++
	if b.report.Streams.BrokenByCopy == nil {
		b.report.Streams.BrokenByCopy = make(map[string]int)
	}
	b.report.Streams.BrokenByCopy[copyName]++
	b.addFault(id + ": stream broken: " + detail)
}

// countCopy counts an answer of a copy. The caller holds the lock.
func (b *recorder) countCopy(name string) {
	if b.report.Copies == nil {
		b.report.Copies = make(map[string]int)
	}
	b.report.Copies[name]++
}

// countRefusal counts a countRefusal by its reason. The caller holds the lock.
func (b *recorder) countRefusal(reason string) {
	if b.report.Refusals == nil {
		b.report.Refusals = make(map[string]int)
	}
	b.report.Refusals[reason]++
}

// addFault describes a addFault. The caller holds the lock.
func (b *recorder) addFault(text string) {
	if len(b.report.Faults) < maxFaults {
		b.report.Faults = append(b.report.Faults, text)
	}
}

// finish returns the whole report.
func (b *recorder) finish(took time.Duration) (report ReportDoc) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.report.Seconds = took.Seconds()
	b.report.Repeatable.setTimes(b.repeatableTimes)
	b.report.Once.setTimes(b.onceTimes)
	return b.report
}

// setTimes puts the figures about setTimes in.
func (d *RequestsDoc) setTimes(all []time.Duration) {
	if len(all) == 0 {
		return
	}
	slices.Sort(all)
	d.MillisP50 = millis(all[len(all)/2])
	d.MillisP99 = millis(all[len(all)*99/100])
	d.MillisMax = millis(all[len(all)-1])
}

func millis(d time.Duration) (ms float64) { return float64(d.Microseconds()) / 1000 }
