// Package upstream is a stand-in for an upstream copy, for tests, the demo and the
// measurements: an HTTP server with a few slots. It starts cold, and a cold copy that gets
// too many requests fails for a time.
//
//	/work   repeatable; takes some time and echoes the caller's id
//	/enrol  may not be repeated; as /work, and records the id in a journal
//	/watch  a stream of numbered ticks
//	/health and /load  the health and load that the copy reports, which faults can override
//	/state, /journal, /faults  for tests
//
// Faults are set by flags and by PUT /faults.
package upstream

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// FaultsDoc is the JSON form of the injected faults.
type FaultsDoc struct {
	// ResetToCold makes the copy cold again, each time that faults with it are set.
	ResetToCold bool `json:"cold"`
	// Shed refuses all requests with 503. Hang accepts requests but never answers them.
	// Fail answers all requests with 500.
	Shed bool `json:"shed"`
	Hang bool `json:"hang"`
	Fail bool `json:"fail"`
	// Slowdown multiplies the time that a request takes; zero means one.
	Slowdown float64 `json:"slow"`
	// HealthOverride and LoadOverride, if set, replace the reported health and load.
	HealthOverride string   `json:"lieHealth"`
	LoadOverride   *float64 `json:"lieLoad"`
}

// StateDoc is the JSON form of a copy's state and counters, for tests.
type StateDoc struct {
	Name         string `json:"name"`
	InFlight     int    `json:"inFlight"`
	OpenStreams  int    `json:"watches"`
	PeakInFlight int    `json:"peak"`
	// Completed counts the admitted requests that ended, including those that their caller
	// cancelled.
	Completed uint64 `json:"done"`
	Shed      uint64 `json:"shed"`
	Cold      bool   `json:"cold"`
	// OverCapacity counts requests that started while the copy was at or above its capacity.
	OverCapacity uint64 `json:"overBorne"`
	// Outages counts how often overload made the cold copy fail.
	Outages uint64 `json:"falls"`
	// BusyMillis is the total time from start to end over all completed requests.
	BusyMillis int64 `json:"busyMillis"`
}

// Options configure a copy.
type Options struct {
	Name string
	// Slots is the number of requests that a warm copy can process at once. A request above
	// that number takes longer.
	Slots int
	// MaxStreams is the maximum number of streams open at once.
	MaxStreams int
	// WorkDuration is the time that a warm copy with a free slot takes for a request.
	WorkDuration time.Duration
	// ColdDuration is the time for which the copy is cold after its start. A cold copy has
	// a capacity of one request and takes ColdFactor times as long for it.
	ColdDuration time.Duration
	ColdFactor   float64
	// OutageDuration is the time for which a cold copy fails all requests after an overload.
	OutageDuration time.Duration
	// TickInterval is the interval between the ticks of a stream.
	TickInterval time.Duration
	// Journal receives a line with the id of each request that runs at /enrol, written
	// before the answer.
	Journal io.Writer
}

// Copy is a stand-in for an upstream copy.
type Copy struct {
	options Options

	mu         sync.Mutex
	faults     FaultsDoc
	state      StateDoc
	coldEnds   time.Time
	outageEnds time.Time
	runCounts  map[string]int
}

// NewCopy returns a copy that has just started and is cold.
func NewCopy(options Options) (c *Copy) {
	c = &Copy{options: options, runCounts: make(map[string]int), state: StateDoc{Name: options.Name}}
	c.coldEnds = time.Now().Add(options.ColdDuration)
	return c
}

// SetFaults replaces the injected faults.
func (c *Copy) SetFaults(faults FaultsDoc) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = faults
	if faults.ResetToCold {
		c.coldEnds = time.Now().Add(c.options.ColdDuration)
	}
}

// State returns the copy's state and counters.
func (c *Copy) State() (state StateDoc) {
	c.mu.Lock()
	defer c.mu.Unlock()
	state = c.state
	state.Cold = time.Now().Before(c.coldEnds)
	return state
}

// Journal returns the number of runs of each id at /enrol.
func (c *Copy) Journal() (runs map[string]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	runs = make(map[string]int, len(c.runCounts))
	for id, n := range c.runCounts {
		runs[id] = n
	}
	return runs
}

// Handler returns the handler of all the copy's endpoints.
func (c *Copy) Handler() (handler http.Handler) {
	mux := http.NewServeMux()
	mux.HandleFunc("/work", c.serveWork)
	mux.HandleFunc("/enrol", c.serveEnrol)
	mux.HandleFunc("/watch", c.serveWatch)
	mux.HandleFunc("GET /health", c.serveHealth)
	mux.HandleFunc("GET /load", c.serveLoad)
	mux.HandleFunc("GET /state", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, c.State()) })
	mux.HandleFunc("GET /journal", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, c.Journal()) })
	mux.HandleFunc("PUT /faults", c.serveFaults)
	return mux
}

// capacity returns the number of requests that the copy can process at once without
// slowing down. The lock must be held.
func (c *Copy) capacity(now time.Time) (requests int) {
	if now.Before(c.coldEnds) {
		return 1
	}
	return c.options.Slots
}

// startRequest admits a request and returns the time that it takes. If the status isn't 200,
// the request is refused with it. A cold copy with more than twice its capacity of requests
// in flight has an outage, in which it refuses later requests.
func (c *Copy) startRequest() (duration time.Duration, status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	switch {
	case c.faults.Fail, now.Before(c.outageEnds):
		return 0, http.StatusInternalServerError
	case c.faults.Shed:
		c.state.Shed++
		return 0, http.StatusServiceUnavailable
	}
	c.state.InFlight++
	c.state.PeakInFlight = max(c.state.PeakInFlight, c.state.InFlight)
	capacity := c.capacity(now)
	cold := now.Before(c.coldEnds)
	if c.state.InFlight > capacity {
		c.state.OverCapacity++
	}
	if cold && c.state.InFlight > 2*capacity {
		c.state.Outages++
		c.outageEnds = now.Add(c.options.OutageDuration)
	}
	duration = c.options.WorkDuration
	if cold {
		duration = scale(duration, c.options.ColdFactor)
	}
	if c.state.InFlight > capacity {
		duration = scale(duration, float64(c.state.InFlight)/float64(capacity))
	}
	return scale(duration, c.faults.Slowdown), http.StatusOK
}

// scale multiplies a duration by a factor. A factor of zero counts as one.
func scale(d time.Duration, factor float64) (scaled time.Duration) {
	if factor == 0 {
		return d
	}
	return time.Duration(float64(d) * factor)
}

// finishRequest frees the slot of a request that began at the given time.
func (c *Copy) finishRequest(start time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state.InFlight--
	c.state.Completed++
	c.state.BusyMillis += time.Since(start).Milliseconds()
}

// processRequest waits for the time that a request takes. ok is false if the request was
// refused, in which case it is answered, or if its caller cancelled it.
func (c *Copy) processRequest(w http.ResponseWriter, r *http.Request) (ok bool) {
	start := time.Now()
	duration, status := c.startRequest()
	if status != http.StatusOK {
		writeRefusal(w, status)
		return false
	}
	defer c.finishRequest(start)
	if c.hangs() {
		<-r.Context().Done()
		return false
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// writeRefusal answers a request that did not run. A copy that sheds reports the outcome
// notRun.
func writeRefusal(w http.ResponseWriter, status int) {
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Lentil-Outcome", "notRun")
	}
	http.Error(w, "the copy refuses the request", status)
}

func (c *Copy) hangs() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.faults.Hang
}

// EchoDoc is the answer of /work and /enrol.
type EchoDoc struct {
	ID   string `json:"id"`
	Copy string `json:"copy"`
	// Runs is the number of runs of the id on this copy, including this one. It is zero at
	// /work.
	Runs int `json:"runs,omitempty"`
	// Filler has the length that the request asked for.
	Filler string `json:"filler,omitempty"`
}

func (c *Copy) serveWork(w http.ResponseWriter, r *http.Request) {
	if !c.processRequest(w, r) {
		return
	}
	writeJSON(w, EchoDoc{ID: r.FormValue("id"), Copy: c.options.Name, Filler: filler(r)})
}

// serveEnrol runs a request that may not be repeated. Unlike at /work, a request that has
// started runs to its end even if its caller cancels it, unless the copy hangs.
func (c *Copy) serveEnrol(w http.ResponseWriter, r *http.Request) {
	id := r.FormValue("id")
	// The run is recorded at its start, since the request may take effect from then on.
	start := time.Now()
	duration, status := c.startRequest()
	if status != http.StatusOK {
		writeRefusal(w, status)
		return
	}
	defer c.finishRequest(start)
	runs := c.recordRun(id)
	if c.hangs() {
		<-r.Context().Done()
		return
	}
	time.Sleep(duration)
	writeJSON(w, EchoDoc{ID: id, Copy: c.options.Name, Runs: runs})
}

// recordRun records a run of id in the journal and returns the number of its runs.
func (c *Copy) recordRun(id string) (runs int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runCounts[id]++
	if c.options.Journal != nil {
		_, _ = fmt.Fprintln(c.options.Journal, id)
	}
	return c.runCounts[id]
}

// TickDoc is a line of a stream.
type TickDoc struct {
	ID       string `json:"id"`
	Sequence uint64 `json:"sequence"`
	Copy     string `json:"copy"`
}

func (c *Copy) serveWatch(w http.ResponseWriter, r *http.Request) {
	if !c.countStream(1) {
		http.Error(w, "too many streams", http.StatusServiceUnavailable)
		return
	}
	defer c.countStream(-1)
	ticker := time.NewTicker(c.options.TickInterval)
	defer ticker.Stop()
	w.Header().Set("Content-Type", "application/x-ndjson")
	encoder := json.NewEncoder(w)
	controller := http.NewResponseController(w)
	for sequence := uint64(1); ; sequence++ {
		if encoder.Encode(TickDoc{ID: r.FormValue("id"), Sequence: sequence, Copy: c.options.Name}) != nil || controller.Flush() != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-ticker.C:
		}
	}
}

// countStream adds change to the number of open streams. ok is false if MaxStreams allows
// no further stream.
func (c *Copy) countStream(change int) (ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if change > 0 && c.state.OpenStreams >= c.options.MaxStreams {
		return false
	}
	c.state.OpenStreams += change
	return true
}
