// Package lentiloperator holds what the operators' commands share: the connections to the
// platform and to the balancers, the loop that performs the actions of a lentilapply.Run,
// and the output and exit codes of its outcomes.
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
	// callsPerSecond and callBurst limit the rate at which one command calls the platform.
	callsPerSecond = 100
	callBurst      = 50
	// maxReadAttempts limits how often reading a configuration is tried if it changes during
	// the read.
	maxReadAttempts = 5
)

// Session holds the connections of an operator's command. Tests can replace its fields.
type Session struct {
	// Client calls the platform.
	Client *lentilplatform.Client
	// Survey queries the status of all nodes. If it is nil, runs don't query the nodes.
	Survey func(ctx context.Context) (lentilcontrol.SurveyResult, error)
	// FetchConfiguration fetches the configuration from the balancer with the newest version.
	FetchConfiguration func(ctx context.Context) (lentilconfig.Document, error)
	Clock              lentilclock.Clock
	// Random returns uniformly distributed numbers in [0, 1).
	Random func() float64
	// Progress receives progress messages for the operator.
	Progress io.Writer
	// Author is the author of the notes that commands create themselves.
	Author string

	close func()
}

// SettingsFlag returns the flag that names the file with the operator's settings.
func SettingsFlag() cli.Flag {
	return &cli.StringFlag{Name: "settings", Usage: "read the operator's settings from `FILE`", Required: true}
}

// JSONFlag returns the flag that selects JSON instead of a table.
func JSONFlag() cli.Flag { return &cli.BoolFlag{Name: "json", Usage: "write JSON"} }

// Open reads the settings file that the command line names and creates a session. An error in
// the settings carries the exit code lentilexit.Settings.
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

// fetchNewest fetches the configuration from the balancer with the newest version. It tries
// balancers in the order of the survey, and only those with a newer version than the one
// fetched so far.
func fetchNewest(ctx context.Context, survey *lentilcontrol.Survey) (document lentilconfig.Document, err error) {
	result, err := survey.Run(ctx)
	if err != nil {
		return lentilconfig.Document{}, err
	}
	err = lentilcontrol.ErrNoBalancerAnswered
	newestVersion := uint64(0)
	for _, status := range result.Balancers() {
		if status.Err() != nil || status.Version() <= newestVersion {
			continue
		}
		fetched, fetchErr := survey.FetchConfiguration(ctx, status.Member().Control)
		if fetchErr != nil {
			err = fetchErr
			continue
		}
		document, newestVersion, err = fetched, fetched.Version, nil
	}
	if newestVersion > 0 {
		return document, nil
	}
	return lentilconfig.Document{}, err
}

// errConfigurationChanged is returned if the configuration changed while it was read.
var errConfigurationChanged = errors.New("the configuration changed while it was read")

// ReadConfiguration reads the configuration from the platform. Its version is 0 if the platform
// holds none.
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
			return lentilconfig.Document{}, fmt.Errorf("%w: shard %s no longer exists", errConfigurationChanged, name)
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

// queryNodes returns the versions in force at the balancers and agents.
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

// sleep waits for the given time or until ctx ends.
func sleep(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
