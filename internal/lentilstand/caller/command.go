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
		Usage: "call a service from several clients and print a report as JSON",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "target", Usage: "base `URL` of the service", Required: true},
			&cli.StringFlag{Name: "ca", Usage: "`FILE` with the certificates to trust, as PEM"},
			&cli.StringFlag{Name: "server-name", Value: "localhost", Usage: "`NAME` in the service's certificate"},
			&cli.StringFlag{Name: "name", Value: "caller", Usage: "`NAME` that prefixes the ids of requests"},
			&cli.DurationFlag{Name: "duration", Value: 10 * time.Second, Usage: "`TIME` for which to send requests; SIGTERM ends the run early"},
			&cli.IntFlag{Name: "connections", Value: 4, Usage: "`NUMBER` of callers, each with its own connection"},
			&cli.IntFlag{Name: "streams", Value: 4, Usage: "`NUMBER` of streams that all callers together keep open"},
			&cli.FloatFlag{Name: "repeatable", Value: 10, Usage: "`REQUESTS` per second that may be repeated"},
			&cli.FloatFlag{Name: "once", Value: 5, Usage: "`REQUESTS` per second that may not be repeated"},
			&cli.DurationFlag{Name: "timeout", Value: 5 * time.Second, Usage: "`TIME` in which an answer is expected"},
			&cli.IntFlag{Name: "bytes", Value: 0, Usage: "`LENGTH` in bytes of the filler in answers to requests that may be repeated"},
			&cli.IntFlag{Name: "attempts", Value: 2, Usage: "maximum `NUMBER` of retries under the same ticket"},
			&cli.DurationFlag{Name: "reconnect", Usage: "`TIME` after which a caller opens a new connection for requests"},
			&cli.DurationFlag{Name: "stream-length", Usage: "`TIME` after which a caller ends a stream and opens the next one"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "`NUMBER` that seeds the random choices"},
		},
		Action: run,
	}
}

func run(ctx context.Context, c *cli.Command) (err error) {
	tlsConfig, err := loadTLSConfig(c.String("ca"), c.String("server-name"))
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
		Seed: c.Uint64("seed"), IDPrefix: c.String("name"), TLS: tlsConfig,
	})
	return json.NewEncoder(c.Root().Writer).Encode(report)
}

// loadTLSConfig returns a TLS configuration that trusts the certificates in file, or the
// system's if file is empty, and expects the given server name.
func loadTLSConfig(file, serverName string) (config *tls.Config, err error) {
	config = &tls.Config{MinVersion: tls.VersionTLS13, ServerName: serverName}
	if file == "" {
		return config, nil
	}
	data, err := os.ReadFile(file) //nolint:gosec // the operator names the file
	if err != nil {
		return nil, err
	}
	config.RootCAs = x509.NewCertPool()
	if !config.RootCAs.AppendCertsFromPEM(data) {
		return nil, errorx.IllegalArgument.New("%s contains no certificate", file)
	}
	return config, nil
}
