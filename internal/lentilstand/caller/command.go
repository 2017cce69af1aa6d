package caller

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/joomcode/errorx"
	"github.com/urfave/cli/v3"
)

// New returns the command `caller`.
func New() *cli.Command {
	return &cli.Command{
		Name:  "caller",
		Usage: "call a service as many callers do, and print as JSON what they saw",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "target", Usage: "`URL` of the service", Required: true},
			&cli.StringFlag{Name: "ca", Usage: "`FILE` with the certificate to trust"},
			&cli.StringFlag{Name: "server-name", Value: "localhost", Usage: "`NAME` in the service's certificate"},
			&cli.StringFlag{Name: "name", Value: "caller", Usage: "`NAME` that begins the ids of requests"},
			&cli.DurationFlag{Name: "duration", Value: 10 * time.Second, Usage: "`TIME` to call for; SIGTERM ends it early"},
			&cli.IntFlag{Name: "connections", Value: 4, Usage: "`NUMBER` of callers"},
			&cli.IntFlag{Name: "streams", Value: 4, Usage: "`NUMBER` of streams to keep open"},
			&cli.FloatFlag{Name: "repeatable", Value: 10, Usage: "`REQUESTS` that may be repeated, a second"},
			&cli.FloatFlag{Name: "once", Value: 5, Usage: "`REQUESTS` that may not be repeated, a second"},
			&cli.DurationFlag{Name: "timeout", Value: 5 * time.Second, Usage: "`TIME` to wait for an answer"},
			&cli.IntFlag{Name: "bytes", Value: 0, Usage: "`LENGTH` of the answers that may be repeated"},
			&cli.IntFlag{Name: "attempts", Value: 2, Usage: "`NUMBER` of further attempts under the same ticket"},
			&cli.DurationFlag{Name: "reconnect", Usage: "`TIME` after which a caller opens a new connection"},
			&cli.DurationFlag{Name: "stream-length", Usage: "`TIME` after which a caller ends a stream and opens the next"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "`NUMBER` that the random choices start from"},
		},
		Action: run,
	}
}

func run(ctx context.Context, c *cli.Command) (err error) {
	trusted, err := loadTLSConfig(c.String("ca"), c.String("server-name"))
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, c.Duration("duration"))
	defer cancel()
	report := Run(ctx, Options{
		Target: c.String("target"), Connections: c.Int("connections"), Streams: c.Int("streams"),
		RepeatableRate: c.Float("repeatable"), OnceRate: c.Float("once"), Timeout: c.Duration("timeout"),
		AnswerBytes: c.Int("bytes"), Retries: c.Int("attempts"), ReconnectInterval: c.Duration("reconnect"), StreamDuration: c.Duration("stream-length"),
		Seed: c.Uint64("seed"), IDPrefix: c.String("name"), TLS: trusted,
	})
	return json.NewEncoder(c.Root().Writer).Encode(report)
}

// loadTLSConfig returns the TLS configuration of a caller that trusts the given certificate.
func loadTLSConfig(file, name string) (config *tls.Config, err error) {
	config = &tls.Config{MinVersion: tls.VersionTLS13, ServerName: name}
	if file == "" {
		return config, nil
	}
	data, err := os.ReadFile(file) //nolint:gosec // the operator names the file
	if err != nil {
		return nil, err
	}
	config.RootCAs = x509.NewCertPool()
	if !config.RootCAs.AppendCertsFromPEM(data) {
		return nil, errorx.IllegalArgument.New("%s holds no certificate", file)
	}
	return config, nil
}
