package caller

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// ReportDoc is the JSON form of a group's report.
type ReportDoc struct {
	Seconds     float64     `json:"seconds"`
	Connections int         `json:"connections"`
	Streams     StreamsDoc  `json:"streams"`
	Repeatable  RequestsDoc `json:"repeatable"`
	Once        RequestsDoc `json:"once"`
	// Copies counts answers by copy.
	Copies map[string]int `json:"copies"`
	// Refusals counts refused requests by reason.
	Refusals map[string]int `json:"refusals,omitempty"`
	// Faults describes the first maxFaults failures as text.
	Faults []string `json:"faults,omitempty"`
}

// StreamsDoc is the JSON form of the statistics on streams.
type StreamsDoc struct {
	Opened int `json:"opened"`
	// Broken counts streams that ended before the caller ended them.
	Broken int `json:"broken"`
	// BrokenByCopy counts broken streams by the copy that served them.
	BrokenByCopy map[string]int `json:"brokenByCopy,omitempty"`
	// Gaps counts ticks that were malformed, out of sequence or for another stream.
	Gaps  int `json:"gaps"`
	Ticks int `json:"ticks"`
	// Refused counts attempts to open a stream that got an error or another status than 200.
	Refused int `json:"refused"`
	// LongestGapMillis is the longest time between two ticks of a stream. The time from
	// the response header to the first tick counts too.
	LongestGapMillis int64 `json:"longestGapMillis"`
}

// RequestsDoc is the JSON form of the statistics on requests of one kind.
type RequestsDoc struct {
	Sent int `json:"sent"`
	// Answered counts requests with a complete answer of a copy to that request.
	Answered int `json:"answered"`
	// NotRun and Unknown count requests that an agent answered with that outcome.
	NotRun  int `json:"notRun"`
	Unknown int `json:"unknown"`
	// Wrong counts answers to another request and incomplete answers.
	Wrong int `json:"wrong"`
	// Failed counts requests without an answer in time or with a broken answer.
	Failed int `json:"failed"`
	// Abandoned counts the failed requests whose connection an agent closed because
	// operators took its failure domain out of service.
	Abandoned int `json:"givenUp"`
	// CopyErrors counts answers of the copy itself with another status than 200.
	CopyErrors int `json:"copyErrors"`
	// Late counts answered requests whose answer came after the deadline.
	Late int `json:"late"`
	// MillisP50, MillisP99 and MillisMax are percentiles and maximum of the time until the
	// answer, over answered requests.
	MillisP50 float64 `json:"millisP50"`
	MillisP99 float64 `json:"millisP99"`
	MillisMax float64 `json:"millisMax"`
	// RefusalMillisMax is the longest time until a refusal with the outcome notRun.
	RefusalMillisMax float64 `json:"refusalMillisMax"`
	// The lists of ids are filled only for requests that may not be repeated. FailedIDs
	// also has those that count as Wrong or CopyErrors.
	AnsweredIDs []string `json:"answeredIds,omitempty"`
	NotRunIDs   []string `json:"notRunIds,omitempty"`
	UnknownIDs  []string `json:"unknownIds,omitempty"`
	FailedIDs   []string `json:"failedIds,omitempty"`
}

// result is the result of a request.
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

// domainOutReason is the reason phrase with which agents close connections when
// operators take their failure domain out of service.
const domainOutReason = "failure domain out"

// maxFaults is the maximum number of descriptions in ReportDoc.Faults.
const maxFaults = 20

// recorder collects the results of all callers of a group.
type recorder struct {
	mu              sync.Mutex
	report          ReportDoc
	repeatableTimes []time.Duration
	onceTimes       []time.Duration
}

// recordRequest counts a request. once is set for a request that may not be repeated.
func (r *recorder) recordRequest(once bool, id string, res result, took time.Duration, copyName, detail string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	doc, times := &r.report.Repeatable, &r.repeatableTimes
	if once {
		doc, times = &r.report.Once, &r.onceTimes
	}
	doc.Sent++
	switch res {
	case resultAnswered:
		doc.Answered++
		*times = append(*times, took)
		r.countCopy(copyName)
	case resultNotRun:
		doc.NotRun++
		doc.RefusalMillisMax = max(doc.RefusalMillisMax, millis(took))
		r.countRefusal(detail)
	case resultUnknown:
		doc.Unknown++
		r.addFault(id + ": outcome unknown: " + detail)
	case resultCopyError:
		doc.CopyErrors++
	case resultWrong:
		doc.Wrong++
		r.addFault(id + ": wrong answer: " + detail)
	default:
		doc.Failed++
		if strings.Contains(detail, domainOutReason) {
			doc.Abandoned++
		}
		r.addFault(id + ": failed: " + detail)
	}
	if once {
		doc.addID(res, id)
	}
}

// addID adds the id of a request that may not be repeated to the list for its result.
func (d *RequestsDoc) addID(res result, id string) {
	switch res {
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

// recordLate counts an answer that came after the deadline.
func (r *recorder) recordLate(once bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if once {
		r.report.Once.Late++
	} else {
		r.report.Repeatable.Late++
	}
}

// updateStreams applies update to the statistics on streams.
func (r *recorder) updateStreams(update func(*StreamsDoc)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	update(&r.report.Streams)
}

// recordBrokenStream counts a stream that ended before its caller ended it.
func (r *recorder) recordBrokenStream(id, copyName, detail string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Streams.Broken++
	if r.report.Streams.BrokenByCopy == nil {
		r.report.Streams.BrokenByCopy = make(map[string]int)
	}
	r.report.Streams.BrokenByCopy[copyName]++
	r.addFault(id + ": stream broken: " + detail)
}

// countCopy counts an answer of a copy. The lock must be held.
func (r *recorder) countCopy(name string) {
	if r.report.Copies == nil {
		r.report.Copies = make(map[string]int)
	}
	r.report.Copies[name]++
}

// countRefusal counts a refusal by reason. The lock must be held.
func (r *recorder) countRefusal(reason string) {
	if r.report.Refusals == nil {
		r.report.Refusals = make(map[string]int)
	}
	r.report.Refusals[reason]++
}

// addFault adds a description, up to maxFaults. The lock must be held.
func (r *recorder) addFault(text string) {
	if len(r.report.Faults) < maxFaults {
		r.report.Faults = append(r.report.Faults, text)
	}
}

// finish completes the report and returns it. elapsed is the duration of the run.
func (r *recorder) finish(elapsed time.Duration) (report ReportDoc) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Seconds = elapsed.Seconds()
	r.report.Repeatable.setTimes(r.repeatableTimes)
	r.report.Once.setTimes(r.onceTimes)
	return r.report
}

// setTimes sets the percentiles and the maximum of the times until the answer.
func (d *RequestsDoc) setTimes(times []time.Duration) {
	if len(times) == 0 {
		return
	}
	slices.Sort(times)
	d.MillisP50 = millis(times[len(times)/2])
	d.MillisP99 = millis(times[len(times)*99/100])
	d.MillisMax = millis(times[len(times)-1])
}

func millis(d time.Duration) (ms float64) { return float64(d.Microseconds()) / 1000 }
