package upstream

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"lentilstair.example/lentilstair/internal/lentilserver"
)

const (
	// maxFiller is the maximum length of the filler that a request may ask for, in bytes.
	maxFiller = 8 << 20
	// stopTimeout is the time for requests and streams in progress at shutdown.
	stopTimeout = 10 * time.Minute
)

// New returns the command `upstream`.
func New() *cli.Command {
	return &cli.Command{
		Name:  "upstream",
		Usage: "run a stand-in for a licensed copy",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Usage: "`ADDRESS` to serve at", Required: true},
			&cli.StringFlag{Name: "name", Usage: "`NAME` of the copy", Required: true},
			&cli.IntFlag{Name: "slots", Value: 2, Usage: "`NUMBER` of requests that the warm copy can process at once"},
			&cli.IntFlag{Name: "connections", Value: 2000, Usage: "maximum `NUMBER` of streams open at once"},
			&cli.DurationFlag{Name: "work", Value: 50 * time.Millisecond, Usage: "`TIME` that a request takes on a warm copy with a free slot"},
			&cli.DurationFlag{Name: "cold", Value: 5 * time.Second, Usage: "`TIME` for which the copy is cold after its start"},
			&cli.FloatFlag{Name: "cold-factor", Value: 4, Usage: "`FACTOR` by which requests take longer while the copy is cold"},
			&cli.DurationFlag{Name: "fall", Value: 2 * time.Second, Usage: "`TIME` for which a cold copy fails all requests after an overload"},
			&cli.DurationFlag{Name: "tick", Value: 100 * time.Millisecond, Usage: "`TIME` between two ticks of a stream"},
			&cli.StringFlag{Name: "journal", Usage: "`FILE` to which the id of each request that may not be repeated is appended when it runs"},
			&cli.StringFlag{Name: "faults", Usage: "`JSON` of the initial faults, as for PUT /faults"},
		},
		Action: run,
	}
}

func run(ctx context.Context, c *cli.Command) (err error) {
	options := Options{
		Name: c.String("name"), Slots: c.Int("slots"), MaxStreams: c.Int("connections"), WorkDuration: c.Duration("work"),
		ColdDuration: c.Duration("cold"), ColdFactor: c.Float("cold-factor"), OutageDuration: c.Duration("fall"), TickInterval: c.Duration("tick"),
	}
	if name := c.String("journal"); name != "" {
		file, err := os.OpenFile(name, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600) //nolint:gosec // the operator names the file
		if err != nil {
			return err
		}
		defer func() { _ = file.Close() }()
		options.Journal = file
	}
	server := NewCopy(options)
	if text := c.String("faults"); text != "" {
		var faults FaultsDoc
		if err = json.Unmarshal([]byte(text), &faults); err != nil {
			return err
		}
		server.SetFaults(faults)
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", c.String("listen"))
	if err != nil {
		return err
	}
	return lentilserver.Serve(ctx, listener, server.Handler(), stopTimeout)
}

func (c *Copy) serveHealth(w http.ResponseWriter, _ *http.Request) {
	c.mu.Lock()
	health := "ok"
	if c.faults.Fail || time.Now().Before(c.outageEnds) {
		health = "down"
	}
	if c.faults.HealthOverride != "" {
		health = c.faults.HealthOverride
	}
	c.mu.Unlock()
	writeJSON(w, HealthDoc{Health: health})
}

// HealthDoc is the answer of /health.
type HealthDoc struct {
	Health string `json:"health"`
}

// LoadDoc is the answer of /load.
type LoadDoc struct {
	// Load is the number of requests in flight divided by the number of slots.
	Load float64 `json:"load"`
}

func (c *Copy) serveLoad(w http.ResponseWriter, _ *http.Request) {
	c.mu.Lock()
	load := float64(c.state.InFlight) / float64(max(c.options.Slots, 1))
	if c.faults.LoadOverride != nil {
		load = *c.faults.LoadOverride
	}
	c.mu.Unlock()
	writeJSON(w, LoadDoc{Load: load})
}

func (c *Copy) serveFaults(w http.ResponseWriter, r *http.Request) {
	var faults FaultsDoc
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	c.SetFaults(faults)
	writeJSON(w, faults)
}

// filler returns a text of the length that the request asks for with the form value
// "bytes", up to maxFiller.
func filler(r *http.Request) (text string) {
	length, err := strconv.Atoi(r.FormValue("bytes"))
	if err != nil || length <= 0 {
		return ""
	}
	return strings.Repeat("x", min(length, maxFiller))
}

func writeJSON(w http.ResponseWriter, doc any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(doc)
}
