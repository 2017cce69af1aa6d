// Package upstream is a stand-in for an upstream copy: an ordinary HTTP server with a few
// slots, which starts cold and falls over if it gets more than it bears.
//
//	/work   repeatable; works for a while and echoes the caller's id
//	/enrol  may not be repeated; the same, and notes in a journal that the id ran
//	/watch  a stream of numbered ticks
//	/health and /load  what the copy says of itself, which may be a lie
//	/state, /journal, /faults  for tests
//
// Faults can be switched on by flags and by PUT /faults.
package upstream

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// FaultsDoc is the written form of what goes wrong on purpose.
type FaultsDoc struct {
	// ResetToCold makes a copy cold again each time it is put.
	ResetToCold bool `json:"cold"`
	// Shed refuses all work with 503, Hang never answers, Fail answers 500.
	Shed bool `json:"shed"`
	Hang bool `json:"hang"`
	Fail bool `json:"fail"`
	// Slowdown multiplies the time of all work; zero is one.
	Slowdown float64 `json:"slow"`
	// HealthOverride and LieLoad replace what the copy says of itself.
	HealthOverride string   `json:"lieHealth"`
	LoadOverride   *float64 `json:"lieLoad"`
}

// StateDoc is the written form of what a test wants to know of a copy.
type StateDoc struct {
	Name         string `json:"name"`
	InFlight     int    `json:"inFlight"`
	OpenStreams  int    `json:"watches"`
	PeakInFlight int    `json:"peak"`
	Completed    uint64 `json:"done"`
	Shed         uint64 `json:"shed"`
	Cold         bool   `json:"cold"`
	// OverCapacity is how often work began that was more than the copy bears now.
	OverCapacity uint64 `json:"overBorne"`
	// Outages is how often the copy fell over.
	Outages uint64 `json:"falls"`
	// BusyMillis is the time spent on work, added up over the slots.
	BusyMillis int64 `json:"busyMillis"`
}

// Options say what the copy is like.
type Options struct {
	Name       string
	Slots      int
	MaxStreams int
	// WorkDuration is how long a warm copy with a free slot takes for a request.
	WorkDuration time.Duration
	// ColdDuration is how long the copy stays cold after its start. A cold copy bears one
	// request at once, and takes ColdFactor times as long for it.
	ColdDuration time.Duration
	ColdFactor   float64
	// OutageDuration is how long a copy that has fallen over fails everything.
	OutageDuration time.Duration
	// TickInterval is the time between two ticks of a stream.
	TickInterval time.Duration
	// Journal gets a line with the id of each run of /enrol before it is answered.
	Journal io.Writer
}

// Copy is a stand-in for a copy.
type Copy struct {
	options Options

	mu         sync.Mutex
	faults     FaultsDoc
	state      StateDoc
	coldEnds   time.Time
	outageEnds time.Time
	runCounts  map[string]int
}

// NewCopy returns a copy that has just started.
func NewCopy(options Options) (c *Copy) {
	c = &Copy{options: options, runCounts: make(map[string]int), state: StateDoc{Name: options.Name}}
	c.coldEnds = time.Now().Add(options.ColdDuration)
	return c
}

// SetFaults says what goes wrong from now on.
func (c *Copy) SetFaults(faults FaultsDoc) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = faults
	if faults.ResetToCold {
		c.coldEnds = time.Now().Add(c.options.ColdDuration)
	}
}

// State returns what the copy does.
func (c *Copy) State() (state StateDoc) {
	c.mu.Lock()
	defer c.mu.Unlock()
	state = c.state
	state.Cold = time.Now().Before(c.coldEnds)
	return state
}

// Journal returns how often each id ran at /enrol.
func (c *Copy) Journal() (runs map[string]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	runs = make(map[string]int, len(c.runCounts))
	for id, n := range c.runCounts {
		runs[id] = n
	}
	return runs
}

// Handler returns the copy's routes.
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

// capacity returns how many requests the copy capacity now. The caller holds the lock.
func (c *Copy) capacity(now time.Time) (requests int) {
	if now.Before(c.coldEnds) {
		return 1
	}
	return c.options.Slots
}

// startRequest takes a request in and returns how long it takes. ok is false if the copy refuses it.
func (c *Copy) startRequest() (took time.Duration, status int) {
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
	bears := c.capacity(now)
	cold := now.Before(c.coldEnds)
	if c.state.InFlight > bears {
		c.state.OverCapacity++
	}
	if cold && c.state.InFlight > 2*bears {
		c.state.Outages++
		c.outageEnds = now.Add(c.options.OutageDuration)
	}
	took = c.options.WorkDuration
	if cold {
		took = scale(took, c.options.ColdFactor)
	}
	if c.state.InFlight > bears {
		took = scale(took, float64(c.state.InFlight)/float64(bears))
	}
	return scale(took, c.faults.Slowdown), http.StatusOK
}

// scale multiplies a time; a factor of zero is one.
func scale(d time.Duration, factor float64) (scaled time.Duration) {
	if factor == 0 {
		return d
	}
	return time.Duration(float64(d) * factor)
}

// finishRequest lets a request go.
func (c *Copy) finishRequest(began time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state.InFlight--
	c.state.Completed++
	c.state.BusyMillis += time.Since(began).Milliseconds()
}

// processRequest does the processRequest of a request. ok is false if it was answered or given up.
func (c *Copy) processRequest(w http.ResponseWriter, r *http.Request) (ok bool) {
	began := time.Now()
	took, status := c.startRequest()
	if status != http.StatusOK {
		writeRefusal(w, status)
		return false
	}
	defer c.finishRequest(began)
	if c.hangs() {
		<-r.Context().Done()
		return false
	}
	timer := time.NewTimer(took)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// writeRefusal answers a request that was not run; a copy that sheds says so.
func writeRefusal(w http.ResponseWriter, status int) {
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Lentil-Outcome", "notRun")
	}
	http.Error(w, "the copy can't", status)
}

func (c *Copy) hangs() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.faults.Hang
}

// EchoDoc is the answer to /work and /enrol.
type EchoDoc struct {
	ID   string `json:"id"`
	Copy string `json:"copy"`
	// Runs is how often the id has run here, this time included; zero at /work.
	Runs int `json:"runs,omitempty"`
	// Filler makes the answer as long as the request asked for.
	Filler string `json:"filler,omitempty"`
}

func (c *Copy) serveWork(w http.ResponseWriter, r *http.Request) {
	if !c.processRequest(w, r) {
		return
	}
	writeJSON(w, EchoDoc{ID: r.FormValue("id"), Copy: c.options.Name, Filler: filler(r)})
}

func (c *Copy) serveEnrol(w http.ResponseWriter, r *http.Request) {
	id := r.FormValue("id")
	// The work is noted at its start: from here on it may take effect.
	began := time.Now()
	took, status := c.startRequest()
	if status != http.StatusOK {
		writeRefusal(w, status)
		return
	}
	defer c.finishRequest(began)
	runs := c.recordRun(id)
	if c.hangs() {
		<-r.Context().Done()
		return
	}
	time.Sleep(took)
	writeJSON(w, EchoDoc{ID: id, Copy: c.options.Name, Runs: runs})
}

// recordRun writes a run into the journal.
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

// countStream counts a stream in or out. ok is false if there is no room for one more.
func (c *Copy) countStream(change int) (ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if change > 0 && c.state.OpenStreams >= c.options.MaxStreams {
		return false
	}
	c.state.OpenStreams += change
	return true
}
