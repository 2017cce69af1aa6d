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

// stopTimeout is the time for admin requests in progress at shutdown.
const stopTimeout = time.Second

// New returns the command `fabric`.
func New() *cli.Command {
	return &cli.Command{
		Name:  "fabric",
		Usage: "forward each datagram of callers to a random balancer that is ready",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "service", Usage: "`ADDRESS` of a service to bind", Required: true},
			&cli.StringSliceFlag{Name: "balancer", Usage: "`IP=URL` of a balancer: its listen address and its readiness endpoint", Required: true},
			&cli.StringFlag{Name: "admin", Usage: "serve /faults (GET, PUT) and /counts at `ADDRESS`"},
			&cli.FloatFlag{Name: "loss", Usage: "drop this `SHARE` of datagrams"},
			&cli.FloatFlag{Name: "duplicate", Usage: "duplicate this `SHARE` of datagrams"},
			&cli.FloatFlag{Name: "reorder", Usage: "delay this `SHARE` of datagrams to reorder them"},
			&cli.IntFlag{Name: "delay", Usage: "delay every datagram by `MILLISECONDS`"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "`NUMBER` that seeds the random choices"},
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

// parseBalancer parses the form IP=URL of the flag balancer.
func parseBalancer(text string) (balancer Balancer, err error) {
	ip, url, _ := strings.Cut(text, "=")
	balancer.ReadyURL = url
	if balancer.Address, err = netip.ParseAddr(ip); err != nil {
		return Balancer{}, errorx.Decorate(err, "balancer %q", text)
	}
	return balancer, nil
}

// adminHandler returns the handler of the admin endpoints /faults and /counts.
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
