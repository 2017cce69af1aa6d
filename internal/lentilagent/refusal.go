package lentilagent

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"lentilstair.example/lentilstair/pkg/lentiladmit"
)

// Header names that the agent adds to answers and reads from requests.
const (
	// HeaderOutcome says in an answer that the agent itself gave what became of
	// the request: OutcomeNotRun or OutcomeUnknown. A copy that surely didn't run a
	// request may say OutcomeNotRun; callers then see it from the agent, if at all.
	HeaderOutcome = "Lentil-Outcome"
	// HeaderTimeout is how many milliseconds the caller waits for the answer. The
	// copy gets what is left of it.
	HeaderTimeout = "Lentil-Timeout"
	// HeaderCopy names the copy beside the agent that answered.
	HeaderCopy = "Lentil-Copy"
)

// Values of HeaderOutcome.
const (
	// OutcomeNotRun means that the request was surely not run.
	OutcomeNotRun = "notRun"
	// OutcomeUnknown means that the request may or may not have been run.
	OutcomeUnknown = "outcomeUnknown"
)

// RefusalDoc is the body of an answer with HeaderOutcome.
type RefusalDoc struct {
	Outcome          string `json:"outcome"`
	Reason           string `json:"reason"`
	RetryAfterMillis int64  `json:"retryAfterMillis,omitempty"`
}

// Reasons beside those of lentiladmit.
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
)

// reasonText is the written form of the admitter's reasons.
var reasonText = map[lentiladmit.Reason]string{
	lentiladmit.ReasonQueueFull:   "queueFull",
	lentiladmit.ReasonDeadline:    "deadline",
	lentiladmit.ReasonConnections: "connections",
	lentiladmit.ReasonDraining:    "draining",
	lentiladmit.ReasonCopy:        reasonCopyDown,
}

// writeRefusal answers that the request was not run and when to come back.
func writeRefusal(w http.ResponseWriter, reason lentiladmit.Reason, after time.Duration) {
	after = max(after, time.Millisecond)
	seconds := int64((after + time.Second - 1) / time.Second)
	w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	doc := RefusalDoc{Outcome: OutcomeNotRun, Reason: reasonText[reason], RetryAfterMillis: after.Milliseconds()}
	writeOutcome(w, http.StatusServiceUnavailable, doc)
}

// writeNotRun answers that the request was not run, for a reason that waiting doesn't mend.
func writeNotRun(w http.ResponseWriter, status int, reason string) {
	writeOutcome(w, status, RefusalDoc{Outcome: OutcomeNotRun, Reason: reason})
}

// writeUnknown answers that nobody can know whether the request was run.
func writeUnknown(w http.ResponseWriter, reason string) {
	writeOutcome(w, http.StatusGatewayTimeout, RefusalDoc{Outcome: OutcomeUnknown, Reason: reason})
}

// writeOutcome sends a refusal. The caller is gone if that fails, so the error is not needed.
func writeOutcome(w http.ResponseWriter, status int, doc RefusalDoc) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(HeaderOutcome, doc.Outcome)
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(doc)
}
