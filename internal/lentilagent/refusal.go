package lentilagent

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"lentilstair.example/lentilstair/pkg/lentiladmit"
)

// Headers that the agent sets in answers and reads from requests.
const (
	// HeaderOutcome is the outcome of a request, OutcomeNotRun or OutcomeUnknown, in an
	// answer that the agent itself gives. A copy that certainly didn't run a request may
	// answer with OutcomeNotRun. The agent doesn't pass this header on; the caller sees
	// OutcomeNotRun only if the agent answers so itself.
	HeaderOutcome = "Lentil-Outcome"
	// HeaderTimeout is the caller's timeout in milliseconds. The copy receives the time
	// that is left.
	HeaderTimeout = "Lentil-Timeout"
	// HeaderCopy is the name of the copy beside the agent that answered.
	HeaderCopy = "Lentil-Copy"
)

// Values of HeaderOutcome.
const (
	// OutcomeNotRun means that the request certainly didn't run.
	OutcomeNotRun = "notRun"
	// OutcomeUnknown means that the request may or may not have run.
	OutcomeUnknown = "outcomeUnknown"
)

// OutcomeDoc is the JSON body of an answer with HeaderOutcome.
type OutcomeDoc struct {
	Outcome          string `json:"outcome"`
	Reason           string `json:"reason"`
	RetryAfterMillis int64  `json:"retryAfterMillis,omitempty"`
}

// Reasons that the handlers give in addition to the admitter's.
const (
	reasonNoConfiguration = "noConfiguration"
	reasonTicketMalformed = "ticketMalformed"
	reasonTicketMisused   = "ticketMisused"
	reasonTooLarge        = "tooLarge"
	reasonBodyBroken      = "bodyBroken"
	reasonTicketGone      = "ticketGone"
	reasonCopyFailed      = "copyFailed"
	reasonCopyDown        = "copyDown"
	reasonRelayFailed     = "relayFailed"
	reasonTimedOut        = "timedOut"
	reasonMethod          = "methodNotSupported"
	reasonOtherService    = "otherService"
)

// reasonText maps the admitter's reasons to the reasons in an OutcomeDoc.
var reasonText = map[lentiladmit.Reason]string{
	lentiladmit.ReasonQueueFull:   "queueFull",
	lentiladmit.ReasonDeadline:    "deadline",
	lentiladmit.ReasonConnections: "connections",
	lentiladmit.ReasonDraining:    "draining",
	lentiladmit.ReasonCopy:        reasonCopyDown,
}

// writeRefusal answers that the request was not run and after how long to retry it.
func writeRefusal(w http.ResponseWriter, reason lentiladmit.Reason, retryAfter time.Duration) {
	retryAfter = max(retryAfter, time.Millisecond)
	seconds := int64((retryAfter + time.Second - 1) / time.Second)
	w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	doc := OutcomeDoc{Outcome: OutcomeNotRun, Reason: reasonText[reason], RetryAfterMillis: retryAfter.Milliseconds()}
	writeOutcome(w, http.StatusServiceUnavailable, doc)
}

// writeNotRun answers that the request was not run, without a time to retry it.
func writeNotRun(w http.ResponseWriter, status int, reason string) {
	writeOutcome(w, status, OutcomeDoc{Outcome: OutcomeNotRun, Reason: reason})
}

// refuseAttempt answers that an attempt at a request was not run. With a ticket the outcome of
// the request is unknown, since an earlier attempt may have run it.
func refuseAttempt(w http.ResponseWriter, in *callerRequest, status int, reason string) {
	if in.ticketText != "" {
		writeUnknown(w, reason)
		return
	}
	writeNotRun(w, status, reason)
}

// writeUnknown answers that the request may or may not have run.
func writeUnknown(w http.ResponseWriter, reason string) {
	writeOutcome(w, http.StatusGatewayTimeout, OutcomeDoc{Outcome: OutcomeUnknown, Reason: reason})
}

// writeOutcome writes an answer with HeaderOutcome. It ignores a write error, which means
// that the caller has gone.
func writeOutcome(w http.ResponseWriter, status int, doc OutcomeDoc) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(HeaderOutcome, doc.Outcome)
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(doc)
}
