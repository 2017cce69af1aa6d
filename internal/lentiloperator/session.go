// Package lentiloperator is what the operators' commands have in common: the
// connections to the platform and to the balancers, the shell that drives a run of
// lentilapply, and how outcomes are shown and become exit codes.
package lentiloperator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/urfave/cli/v3"
	"golang.org/x/time/rate"

	"lentilstair.example/lentilstair/internal/lentilcontrol"
	"lentilstair.example/lentilstair/internal/lentilexit"
	"lentilstair.example/lentilstair/internal/lentilkey"
	"lentilstair.example/lentilstair/internal/lentilsetting"
	"lentilstair.example/lentilstair/pkg/lentilapply"
	"lentilstair.example/lentilstair/pkg/lentilclock"
	"lentilstair.example/lentilstair/pkg/lentilconfig"
	"lentilstair.example/lentilstair/pkg/lentilerror"
	"lentilstair.example/lentilstair/pkg/lentilplatform"
)

const (
	// callsPerSecond and callsBurst bound what one command asks of the platform.
	callsPerSecond = 100
	callBurst      = 50
	// maxReadAttempts bounds how often a configuration may move on while it is read.
	maxReadAttempts = 5
)

// Session is an operator's connections. Its fields are seams for tests.
type Session struct {
	// Client calls the platform.
	Client *lentilplatform.Client
	// Survey asks the nodes.
	Survey func(ctx context.Context) (lentilcontrol.SurveyResult, error)
	// FetchConfiguration fetches the configuration in force at the node that is furthest on.
	FetchConfiguration func(ctx context.Context) (lentilconfig.Document, error)
	// Clock tells the time, and Random draws from 0 up to 1.
	Clock  lentilclock.Clock
	Random func() float64
	// Progress takes lines for people while a command waits.
	Progress io.Writer
	// Author answers for the notes that commands make themselves.
	Author string

	close func()
}

// SettingsFlag names the file with the operator's settings.
func SettingsFlag() cli.Flag {
	return &cli.StringFlag{Name: "settings", Usage: "read the operator's settings from `FILE`", Required: true}
}

// JSONFlag asks for JSON in place of a table.
func JSONFlag() cli.Flag { return &cli.BoolFlag{Name: "json", Usage: "write JSON"} }

// Open reads the settings that the command line names and prepares connections.
// Faults have the exit code lentilexit.Settings.
func Open(c *cli.Command) (session *Session, err error) {
	settings, err := lentilsetting.Loader{}.Operator(c.String("settings"))
	if err != nil {
		return nil, lentilexit.With(lentilexit.Settings, err)
	}
	ring, err := lentilkey.FromSettings(settings.Keys())
	if err != nil {
		return nil, err
	}
	tls, err := ring.ClientTLS(lentilkey.ControlProtocol)
	if err != nil {
		return nil, err
	}
	dialer := &lentilcontrol.Dialer{TLS: tls}
	survey := &lentilcontrol.Survey{Dialer: dialer, Seeds: settings.Balancers()}
	return &Session{
		Client: &lentilplatform.Client{
			BaseURL: settings.Platform().URL(),
			Token:   settings.Platform().Token(),
			Limiter: rate.NewLimiter(callsPerSecond, callBurst),
		},
		Survey:             survey.Run,
		FetchConfiguration: func(ctx context.Context) (lentilconfig.Document, error) { return fetchNewest(ctx, survey) },
		Clock:              lentilclock.System{},
		Random:             rand.Float64,
		Progress:           c.Root().ErrWriter,
		Author:             settings.Author(),
		close:              dialer.Close,
	}, nil
}

// Close closes the connections.
func (s *Session) Close() {
	if s.close != nil {
		s.close()
	}
}

// fetchNewest fetches the configuration of the balancer that is furthest on.
func fetchNewest(ctx context.Context, survey *lentilcontrol.Survey) (document lentilconfig.Document, err error) {
	result, err := survey.Run(ctx)
	if err != nil {
		return lentilconfig.Document{}, err
	}
	err = lentilcontrol.ErrNoBalancerAnswered
	best := uint64(0)
	for _, status := range result.Balancers() {
		if status.Err() != nil || status.Version() <= best {
			continue
		}
		fetched, failure := survey.FetchConfiguration(ctx, status.Member().Control)
		if failure != nil {
			err = failure
			continue
		}
		document, best, err = fetched, fetched.Version, nil
	}
	if best > 0 {
		return document, nil
	}
	return lentilconfig.Document{}, err
}

// errConfigurationChanged says that the configuration moved on while it was read.
var errConfigurationChanged = errors.New("the configuration moved on while it was read")

// ReadConfiguration reads what the platform holds; version 0 if it holds nothing.
func (s *Session) ReadConfiguration(ctx context.Context) (document lentilconfig.Document, err error) {
	defer lentilerror.Annotate(&err, "read the configuration")
	for range maxReadAttempts {
		document, err = s.readConfigurationOnce(ctx)
		if !errors.Is(err, errConfigurationChanged) {
			return document, err
		}
	}
	return lentilconfig.Document{}, err
}

func (s *Session) readConfigurationOnce(ctx context.Context) (document lentilconfig.Document, err error) {
	object, err := s.Client.Get(ctx, lentilplatform.KindHead, lentilconfig.HeadObjectName)
	if errors.Is(err, lentilplatform.ErrNotFound) {
		return lentilconfig.Document{}, nil
	}
	if err != nil {
		return lentilconfig.Document{}, err
	}
	head, err := lentilconfig.ParseHeadObject(object.Body())
	if err != nil {
		return lentilconfig.Document{}, err
	}
	assembly := lentilconfig.NewAssembly(head.HeadDoc)
	for _, name := range assembly.Missing() {
		object, err = s.Client.Get(ctx, lentilplatform.KindShard, string(name))
		if errors.Is(err, lentilplatform.ErrNotFound) {
			return lentilconfig.Document{}, fmt.Errorf("%w: shard %s is gone", errConfigurationChanged, name)
		}
		if err != nil {
			return lentilconfig.Document{}, err
		}
		shard, err := lentilconfig.ParseShardObject(name, object.Body())
		if err != nil {
			return lentilconfig.Document{}, err
		}
		if err = assembly.Add(shard.Name(), shard.Body()); err != nil {
			return lentilconfig.Document{}, err
		}
	}
	return assembly.Document()
}

// queryNodes returns what the balancers and agents have in force.
func (s *Session) queryNodes(ctx context.Context) (nodes []lentilapply.Node, err error) {
	result, err := s.Survey(ctx)
	if err != nil {
		return nil, err
	}
	for _, status := range result.Balancers() {
		nodes = append(nodes, lentilapply.Node{
			Name:         "balancer " + status.Member().Control.String(),
			Version:      status.Version(),
			NoteID:       status.NoteID(),
			Unresponsive: status.Err() != nil,
		})
	}
	for _, status := range result.Agents() {
		nodes = append(nodes, lentilapply.Node{
			Name:    "agent of " + status.Record().Owner().Copy,
			Version: status.Version(),
		})
	}
	return nodes, nil
}

// sleep waits, or ends early with the context.
func sleep(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
