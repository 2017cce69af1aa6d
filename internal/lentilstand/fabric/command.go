package fabric

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/joomcode/errorx"
	"github.com/urfave/cli/v3"

	"lentilstair.example/lentilstair/internal/lentilserver"
)

// stopTimeout bounds how long answers in progress may take at the end.
const stopTimeout = time.Second

// New returns the command `fabric`.
func New() *cli.Command {
	return &cli.Command{
		Name:  "fabric",
		Usage: "hand each datagram of callers to any balancer that is ready",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "service", Usage: "bind the service's `ADDRESS`", Required: true},
			&cli.StringSliceFlag{Name: "balancer", Usage: "`IP=URL` of a balancer's listen address and ready endpoint", Required: true},
			&cli.StringFlag{Name: "admin", Usage: "serve /faults (GET, PUT) and /counts at `ADDRESS`"},
			&cli.FloatFlag{Name: "loss", Usage: "lose this `SHARE` of datagrams"},
			&cli.FloatFlag{Name: "duplicate", Usage: "double this `SHARE` of datagrams"},
			&cli.FloatFlag{Name: "reorder", Usage: "hold this `SHARE` of datagrams back"},
			&cli.IntFlag{Name: "delay", Usage: "delay every datagram by `MILLISECONDS`"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "`NUMBER` that the random choices start from"},
		},
		Action: run,
	}
}

func run(ctx context.Context, c *cli.Command) (err error) {
	options := Options{Seed: c.Uint64("seed")}
	for _, text := range c.StringSlice("service") {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			return err
		}
		options.Services = append(options.Services, address)
	}
	for _, text := range c.StringSlice("balancer") {
		balancer, err := parseBalancer(text)
		if err != nil {
			return err
		}
		options.Balancers = append(options.Balancers, balancer)
	}
	f, err := Start(options)
	if err != nil {
		return err
	}
	defer f.Close()
	f.SetFaults(FaultsDoc{
		Loss: c.Float("loss"), Duplicate: c.Float("duplicate"), Reorder: c.Float("reorder"), DelayMillis: c.Int("delay"),
	})
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if c.String("admin") == "" {
		<-ctx.Done()
		return nil
	}
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", c.String("admin"))
	if err != nil {
		return err
	}
	return lentilserver.Serve(ctx, listener, f.adminHandler(), stopTimeout)
}

// parseBalancer reads IP=URL.
func parseBalancer(text string) (balancer Balancer, err error) {
	ip, url, _ := strings.Cut(text, "=")
	balancer.ReadyURL = url
	if balancer.Address, err = netip.ParseAddr(ip); err != nil {
		return Balancer{}, errorx.Decorate(err, "balancer %q", text)
	}
	return balancer, nil
}

// adminHandler returns the endpoint for faults and counts.
func (f *Fabric) adminHandler() (handler http.Handler) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, f.Faults()) })
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, f.Counts()) })
	mux.HandleFunc("PUT /faults", func(w http.ResponseWriter, r *http.Request) {
		var faults FaultsDoc
		if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		f.SetFaults(faults)
		writeJSON(w, faults)
	})
	return mux
}

func writeJSON(w http.ResponseWriter, doc any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(doc)
}
