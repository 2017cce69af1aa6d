package lentilagent

import (
	"context"
	"errors"
	"net/http"
	"time"

	"lentilstair.example/lentilstair/pkg/lentiladmit"
	"lentilstair.example/lentilstair/pkg/lentilconfig"
	"lentilstair.example/lentilstair/pkg/lentilhandoff"
	"lentilstair.example/lentilstair/pkg/lentilhedge"
	"lentilstair.example/lentilstair/pkg/lentillimit"
	"lentilstair.example/lentilstair/pkg/lentilrecord"
)

// HedgeReport describes an extra attempt that was sent to a peer.
type HedgeReport struct {
	id    uint64
	first string
	extra string
	delay time.Duration
	won   string
}

// ID returns the number of the request at this agent.
func (h HedgeReport) ID() uint64 { return h.id }

// First returns the copy of the first attempt.
func (h HedgeReport) First() string { return h.first }

// Extra returns the copy of the extra attempt.
func (h HedgeReport) Extra() string { return h.extra }

// Delay returns the time after which the extra attempt began.
func (h HedgeReport) Delay() time.Duration { return h.delay }

// Winner returns the copy whose answer the caller got, or "" if neither attempt succeeded.
func (h HedgeReport) Winner() string { return h.won }

// hedgeGrant is the coordinator's reply to hedgeDue. The extra attempt may be made if its verdict
// is VerdictAllowed. A zero verdict means that the request or its peers don't allow one.
type hedgeGrant struct {
	verdict lentilhedge.Verdict
	peer    lentilrecord.Record
}

// The messages about extra attempts.
type (
	// hedgeDue reports that the first attempt has taken longer than the delay.
	hedgeDue struct{ exchange *exchange }
	// firstFailed reports that the first attempt failed while the extra one is in progress.
	firstFailed struct {
		exchange   *exchange
		outcome    lentillimit.Outcome
		mayHaveRun bool
	}
	// hedgeEnded reports the result of an extra attempt.
	hedgeEnded struct {
		exchange *exchange
		peer     lentilrecord.Owner
		result   lentiladmit.RelayResult
		load     lentilhandoff.Load
		hasLoad  bool
	}
)

// callResult is the result of one attempt, up to the headers of its answer.
type callResult struct {
	response *http.Response
	sent     bool
	err      error
}

// close closes the body of the answer, if there is one.
func (r callResult) close() {
	if r.response != nil {
		_ = r.response.Body.Close()
	}
}

// hedgedCall is a call to the copy that an extra attempt at a peer may overtake.
type hedgedCall struct {
	agent    *Agent
	in       *callerRequest
	exchange *exchange
	ctx      context.Context
	peer     lentilrecord.Record
	report   HedgeReport

	first, extra             chan callResult
	cancelFirst, cancelExtra context.CancelFunc
	// failedFirst is the result of the first attempt, if it has failed.
	failedFirst *callResult
	extraEnded  bool
}

// proxyHedged sends a request to the copy, and one extra attempt to a peer if the copy takes
// longer than the delay. done is as that of proxyToCopy.
func (a *Agent) proxyHedged(ctx context.Context, w http.ResponseWriter, in *callerRequest, x *exchange, delay time.Duration) (done bool) {
	h := &hedgedCall{agent: a, in: in, exchange: x, ctx: ctx, report: HedgeReport{id: x.id, first: a.options.Copy, delay: delay}}
	h.first, h.cancelFirst = h.start(func(ctx context.Context) (r callResult) {
		r.response, r.sent, r.err = a.callCopy(ctx, in) //nolint:bodyclose // callResult.close closes it
		return r
	})
	defer h.cancelFirst()
	timer, stop := a.options.WithTimeout(ctx, delay)
	defer stop()
	select {
	case r := <-h.first:
		return a.concludeCall(ctx, w, in, x, r)
	case <-timer.Done():
	}
	if r, granted := h.awaitGrant(); !granted {
		return a.concludeCall(ctx, w, in, x, r)
	}
	h.extra, h.cancelExtra = h.start(func(ctx context.Context) (r callResult) {
		r.response, r.sent, r.err = a.sendToPeer(ctx, in, h.peer.Control(), in.target) //nolint:bodyclose // callResult.close closes it
		return r
	})
	defer h.cancelExtra()
	a.stats.add(HedgesSent)
	defer func() { a.options.OnHedge(h.report) }()
	return h.race(w)
}

// start runs an attempt in a goroutine. cancel ends the attempt and the body of its answer.
func (h *hedgedCall) start(attempt func(ctx context.Context) callResult) (result chan callResult, cancel context.CancelFunc) {
	ctx, cancel := context.WithCancel(h.ctx)
	result = make(chan callResult, 1)
	go func() { result <- attempt(ctx) }()
	return result, cancel
}

// awaitGrant asks the coordinator for the extra attempt. Without one, it waits for the first
// attempt and returns its result.
func (h *hedgedCall) awaitGrant() (r callResult, granted bool) {
	h.agent.notify(hedgeDue{h.exchange})
	var grant hedgeGrant
	select {
	case r = <-h.first:
		// The answer doesn't wait for the coordinator. A grant that it has given meanwhile stays
		// unused and charged to the budget.
		return r, false
	case grant = <-h.exchange.hedgeGrants:
	}
	switch grant.verdict {
	case lentilhedge.VerdictAllowed:
		h.peer = grant.peer
		h.report.extra = grant.peer.Owner().Copy
		return r, true
	case lentilhedge.VerdictOverBudget:
		h.agent.stats.add(HedgesOverBudget)
	}
	return <-h.first, false
}

// race waits for both attempts and answers with the first success. A failure waits for the other
// attempt.
func (h *hedgedCall) race(w http.ResponseWriter) (done bool) {
	for {
		select {
		case r := <-h.first:
			if h.extraEnded || isSuccess(r) {
				return h.concludeFirst(w, r)
			}
			h.recordFailedFirst(r)
		case r := <-h.extra:
			if isSuccess(r) {
				h.answerFromExtra(w, r)
				return true
			}
			h.extraEnded = true
			r.close()
			if h.failedFirst != nil {
				return h.concludeBothFailed(w, r)
			}
			h.notifyExtraEnded(r, extraResult(r))
		}
	}
}

// isSuccess reports whether an attempt got an answer that shows no failure of the copy and that
// no agent gave itself.
func isSuccess(r callResult) bool {
	return r.err == nil && statusOutcome(r.response.StatusCode) == lentillimit.OutcomeDone && r.response.Header.Get(HeaderOutcome) == ""
}

// extraResult returns the result of an extra attempt that didn't succeed.
func extraResult(r callResult) (result lentiladmit.RelayResult) {
	if r.err != nil && !r.sent || r.err == nil && r.response.StatusCode == http.StatusServiceUnavailable && claimsNotRun(r.response) {
		return lentiladmit.RelayNotRun
	}
	return lentiladmit.RelayAnswerLost
}

// concludeFirst answers with the result of the first attempt and cancels the extra one.
func (h *hedgedCall) concludeFirst(w http.ResponseWriter, r callResult) (done bool) {
	if !h.extraEnded {
		h.cancelExtra()
		h.agent.stats.add(HedgesCancelled)
		go func() { (<-h.extra).close() }()
	}
	if isSuccess(r) {
		h.report.won = h.report.first
	}
	return h.agent.concludeCall(h.ctx, w, h.in, h.exchange, r)
}

// recordFailedFirst reports the failure of the first attempt. The Limiter learns of it at once.
func (h *hedgedCall) recordFailedFirst(r callResult) {
	h.failedFirst = &r
	m := firstFailed{exchange: h.exchange, mayHaveRun: true}
	switch {
	case r.err != nil:
		m.outcome = failedCallOutcome(h.ctx, h.exchange)
		m.mayHaveRun = r.sent || m.outcome != lentillimit.OutcomeFailed
	case isShedStatus(r.response.StatusCode) || claimsNotRun(r.response):
		r.close()
		m.outcome, m.mayHaveRun = lentillimit.OutcomeShed, false
	default:
		m.outcome = statusOutcome(r.response.StatusCode)
	}
	h.agent.notify(m)
}

// answerFromExtra answers with the extra attempt's success and cancels the first attempt.
func (h *hedgedCall) answerFromExtra(w http.ResponseWriter, r callResult) {
	defer r.close()
	h.notifyExtraEnded(r, lentiladmit.RelayAnswered)
	if h.failedFirst != nil {
		h.failedFirst.close()
	} else {
		h.cancelFirst()
		go h.recordOvertaken()
	}
	h.agent.stats.add(HedgesWon)
	h.report.won = h.report.extra
	h.agent.copyPeerAnswer(w, r.response)
}

// recordOvertaken waits for the end of a first attempt that was cancelled and frees its slot. An
// attempt that had failed before counts as failed.
func (h *hedgedCall) recordOvertaken() {
	r := <-h.first
	r.close()
	outcome := lentillimit.OutcomeOvertaken
	switch {
	case r.err != nil && !errors.Is(r.err, context.Canceled):
		outcome = lentillimit.OutcomeFailed
	case r.err == nil && statusOutcome(r.response.StatusCode) != lentillimit.OutcomeDone:
		outcome = statusOutcome(r.response.StatusCode)
	}
	h.agent.notify(callFinished{h.exchange, outcome})
}

// concludeBothFailed handles the failure of the extra attempt after that of the first. The caller
// gets the copy's error if there is one. Otherwise the coordinator sends another order.
func (h *hedgedCall) concludeBothFailed(w http.ResponseWriter, extra callResult) (done bool) {
	first := h.failedFirst
	if first.err != nil || isShedStatus(first.response.StatusCode) || claimsNotRun(first.response) {
		h.notifyExtraEnded(extra, extraResult(extra))
		return false
	}
	defer first.close()
	h.notifyExtraEnded(extra, lentiladmit.RelayAnswered)
	if h.agent.copyAnswer(w, first.response) != nil {
		panic(http.ErrAbortHandler)
	}
	return true
}

// notifyExtraEnded reports the end of the extra attempt to the coordinator.
func (h *hedgedCall) notifyExtraEnded(r callResult, result lentiladmit.RelayResult) {
	m := hedgeEnded{exchange: h.exchange, peer: h.peer.Owner(), result: result}
	if r.err == nil {
		m.load, m.hasLoad = parseLoad(r.response.Header)
	}
	h.agent.notify(m)
}

// hedgeDelay returns the delay of an extra attempt at a request, or zero if there can't be one.
func (c *coordinator) hedgeDelay(x *exchange) (delay time.Duration) {
	if !c.admitter.MayHedge(x.id) {
		return 0
	}
	delay, ok := c.hedge.Delay(x.route)
	if !ok {
		return 0
	}
	return delay
}

// recordBegin charges an attempt that begins to the budget of extra attempts. Requests from peers
// are part of those peers' budgets.
func (c *coordinator) recordBegin(x *exchange) {
	switch {
	case c.hedge.Percent == 0, x.relayed, x.kind == lentilconfig.KindStream:
	case x.begun:
		c.hedge.RecordRetry()
	default:
		x.begun = true
		c.hedge.RecordFirst()
	}
	x.dispatchedAt = c.hedge.Clock.Now()
}

// decideHedge replies whether an extra attempt may be made, and at which peer.
func (c *coordinator) decideHedge(x *exchange) {
	var grant hedgeGrant
	if c.admitter.MayHedge(x.id) {
		grant.verdict = c.hedgeVerdict()
	}
	if grant.verdict == lentilhedge.VerdictAllowed {
		grant = c.chooseHedgePeer()
	}
	if grant.verdict == lentilhedge.VerdictAllowed {
		c.admitter.Hedge(x.id)
		c.hedge.RecordExtra()
		c.recordSent(grant.peer)
	}
	select {
	case x.hedgeGrants <- grant:
	default:
	}
}

// hedgeVerdict returns the policy's verdict, or VerdictOverloaded while the copy has less than
// its full capacity or requests wait for it.
func (c *coordinator) hedgeVerdict() (verdict lentilhedge.Verdict) {
	if c.admitter.Limiter.Cold() || c.admitter.Queued() > 0 || c.admitter.Draining() {
		return lentilhedge.VerdictOverloaded
	}
	return c.hedge.Decide()
}

// chooseHedgePeer chooses a warm peer with room.
func (c *coordinator) chooseHedgePeer() (grant hedgeGrant) {
	peer, ok := c.chooser.ChooseForHedge()
	if !ok {
		return hedgeGrant{}
	}
	return hedgeGrant{verdict: lentilhedge.VerdictAllowed, peer: peer}
}

// handleHedgeEnded reports the result of an extra attempt to the admitter and the chooser.
func (c *coordinator) handleHedgeEnded(m hedgeEnded) {
	if m.hasLoad {
		c.chooser.UpdateLoad(m.peer, m.load)
	}
	if m.result == lentiladmit.RelayNotRun {
		c.chooser.RecordRefusal(m.peer)
	}
	c.perform(c.admitter.HedgeEnded(m.exchange.id, m.result))
}

// recordDuration records the time until the headers of the copy's answer, or until the attempt
// was abandoned.
func (c *coordinator) recordDuration(x *exchange, outcome lentillimit.Outcome) {
	if c.hedge.Percent == 0 || x.kind != lentilconfig.KindRepeatable {
		return
	}
	switch outcome {
	case lentillimit.OutcomeDone, lentillimit.OutcomeError, lentillimit.OutcomeTimedOut, lentillimit.OutcomeOvertaken:
		end := x.answeredAt
		if end.IsZero() {
			end = c.hedge.Clock.Now()
		}
		c.hedge.RecordDuration(x.route, end.Sub(x.dispatchedAt))
	}
}
