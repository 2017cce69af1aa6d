// Package lentilstatuscommand implements the `status` command, which shows the version in
// force at each node and the state of the copies.
package lentilstatuscommand

import (
	"context"
	_ "embed"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/urfave/cli/v3"

	"lentilstair.example/lentilstair/internal/lentilcontrol"
	"lentilstair.example/lentilstair/internal/lentilexit"
	"lentilstair.example/lentilstair/internal/lentiloperator"
	"lentilstair.example/lentilstair/pkg/lentilconfig"
	"lentilstair.example/lentilstair/pkg/lentilplatform"
	"lentilstair.example/lentilstair/pkg/lentilrecord"
)

//go:embed description.txt
var description string

// Doc is the JSON form of the status of the platform and all nodes.
type Doc struct {
	Platform  PlatformDoc   `json:"platform"`
	Balancers []BalancerDoc `json:"balancers"`
	Copies    []CopyDoc     `json:"copies"`
	// InForce is true if the newest version is in force at all balancers and agents.
	InForce bool `json:"inForce"`
}

// PlatformDoc is the JSON form of the configuration head on the platform. Error is set if the
// head can't be read.
type PlatformDoc struct {
	Version uint64 `json:"version"`
	NoteID  string `json:"noteId,omitempty"`
	Error   string `json:"error,omitempty"`
}

// BalancerDoc is the JSON form of a balancer's status as reported by itself. Error is set if
// the query failed.
type BalancerDoc struct {
	Address string `json:"address"`
	Region  string `json:"region,omitempty"`
	Domain  string `json:"domain"`
	Version uint64 `json:"version"`
	NoteID  string `json:"noteId,omitempty"`
	// AgeMilliseconds is how long the version has been in force at the balancer.
	AgeMilliseconds int64 `json:"ageMilliseconds"`
	Ready           bool  `json:"ready"`
	// Reader is true if the balancer reads the configuration from the platform.
	Reader bool `json:"reader"`
	// Records is the number of live agent records that the balancer holds.
	Records int    `json:"records"`
	Error   string `json:"error,omitempty"`
}

// CopyDoc is the JSON form of the status of an agent and its copy, as of the agent's latest
// heartbeat.
type CopyDoc struct {
	Copy    string `json:"copy"`
	Service uint16 `json:"service"`
	Domain  uint8  `json:"domain"`
	Phase   string `json:"phase"`
	// Load is the copy's current load, and Weight its current capacity. Both are in slots.
	Load                     float64 `json:"load"`
	Weight                   float64 `json:"weight"`
	Version                  uint64  `json:"version"`
	HeartbeatAgeMilliseconds int64   `json:"silenceMilliseconds"`
}

// phaseNames maps the phases to their names in the output.
var phaseNames = map[lentilrecord.Phase]string{
	lentilrecord.Warming:  "warming",
	lentilrecord.Ready:    "ready",
	lentilrecord.Draining: "draining",
	lentilrecord.Gone:     "gone",
}

// New returns the `status` command.
func New() *cli.Command {
	return &cli.Command{
		Name:        "status",
		Usage:       "show the configuration in force at each node and the state of the copies",
		Description: description,
		Flags:       []cli.Flag{lentiloperator.SettingsFlag(), lentiloperator.JSONFlag()},
		Action:      run,
	}
}

// errNotInForceEverywhere is returned if a node lacks the newest version or the query of a
// balancer failed.
var errNotInForceEverywhere = errors.New("the newest version isn't in force everywhere")

func run(ctx context.Context, c *cli.Command) (err error) {
	session, err := lentiloperator.Open(c)
	if err != nil {
		return err
	}
	defer session.Close()
	result, err := session.Survey(ctx)
	if err != nil {
		return lentilexit.With(lentilexit.Unavailable, err)
	}
	doc := buildDoc(readHead(ctx, session.Client), result)
	if c.Bool("json") {
		err = lentiloperator.WriteJSON(c.Root().Writer, doc)
	} else {
		err = writeText(c.Root().Writer, doc)
	}
	if err == nil && !doc.InForce {
		return lentilexit.With(lentilexit.Pending, errNotInForceEverywhere)
	}
	return err
}

// readHead reads the configuration head from the platform. An error goes into the document,
// because the status of the nodes is shown during an outage of the platform as well.
func readHead(ctx context.Context, client *lentilplatform.Client) (doc PlatformDoc) {
	object, err := client.Get(ctx, lentilplatform.KindHead, lentilconfig.HeadObjectName)
	if errors.Is(err, lentilplatform.ErrNotFound) {
		return PlatformDoc{}
	}
	if err != nil {
		return PlatformDoc{Error: err.Error()}
	}
	head, err := lentilconfig.ParseHeadObject(object.Body())
	if err != nil {
		return PlatformDoc{Error: err.Error()}
	}
	return PlatformDoc{Version: head.Version, NoteID: head.NoteID}
}

// buildDoc builds the document from the head on the platform and the status of the nodes. The
// newest version is the highest one on the platform or at a balancer.
func buildDoc(platform PlatformDoc, result lentilcontrol.SurveyResult) (doc Doc) {
	doc = Doc{Platform: platform, Balancers: []BalancerDoc{}, Copies: []CopyDoc{}}
	newest := platform.Version
	for _, status := range result.Balancers() {
		newest = max(newest, status.Version())
		doc.Balancers = append(doc.Balancers, balancerDoc(status))
	}
	for _, status := range result.Agents() {
		record := status.Record().Doc()
		doc.Copies = append(doc.Copies, CopyDoc{
			Copy:                     record.Owner.Copy,
			Service:                  uint16(record.Service),
			Domain:                   uint8(record.Domain),
			Phase:                    phaseNames[record.Phase],
			Load:                     slots(record.Load),
			Weight:                   slots(record.Weight),
			Version:                  status.Version(),
			HeartbeatAgeMilliseconds: status.HeartbeatAge().Milliseconds(),
		})
	}
	doc.InForce = result.InForceEverywhere(newest)
	return doc
}

func balancerDoc(status lentilcontrol.BalancerStatus) (doc BalancerDoc) {
	member := status.Member()
	doc = BalancerDoc{
		Address:         member.Control.String(),
		Region:          member.Region,
		Domain:          member.Domain,
		Version:         status.Version(),
		NoteID:          status.NoteID(),
		AgeMilliseconds: status.Age().Milliseconds(),
		Ready:           status.Ready(),
		Reader:          status.IsReader(),
		Records:         status.LiveRecords(),
	}
	if status.Err() != nil {
		doc.Error = status.Err().Error()
	}
	return doc
}

// slots converts hundredths of a slot to slots.
func slots(hundredths uint16) float64 { return float64(hundredths) / 100 }

func writeText(w io.Writer, doc Doc) (err error) {
	platformLine := fmt.Sprintf("platform: version %d, note %s", doc.Platform.Version, doc.Platform.NoteID)
	if doc.Platform.Error != "" {
		platformLine = "platform: " + doc.Platform.Error
	}
	if _, err = fmt.Fprintf(w, "%s\n\n", platformLine); err != nil {
		return err
	}
	rows := [][]string{{"BALANCER", "DOMAIN", "VERSION", "AGE", "READY", "READER", "RECORDS"}}
	for _, b := range doc.Balancers {
		if b.Error != "" {
			rows = append(rows, []string{b.Address, b.Domain, "-", "-", "no answer", "-", "-"})
			continue
		}
		age := lentiloperator.FormatAge(time.Duration(b.AgeMilliseconds) * time.Millisecond)
		rows = append(rows, []string{b.Address, b.Domain, fmt.Sprint(b.Version), age, yesNo(b.Ready), yesNo(b.Reader), fmt.Sprint(b.Records)})
	}
	if err = lentiloperator.WriteTable(w, rows); err != nil {
		return err
	}
	if _, err = fmt.Fprintln(w); err != nil {
		return err
	}
	rows = [][]string{{"COPY", "SERVICE", "DOMAIN", "PHASE", "LOAD", "BEARS", "VERSION", "HEARD"}}
	for _, c := range doc.Copies {
		heartbeatAge := lentiloperator.FormatAge(time.Duration(c.HeartbeatAgeMilliseconds) * time.Millisecond)
		rows = append(rows, []string{
			c.Copy, fmt.Sprint(c.Service), fmt.Sprint(c.Domain), c.Phase,
			fmt.Sprintf("%.2f", c.Load), fmt.Sprintf("%.2f", c.Weight), fmt.Sprint(c.Version), heartbeatAge,
		})
	}
	return lentiloperator.WriteTable(w, rows)
}

func yesNo(value bool) string {
	if value {
		return "yes"
	}
	return "no"
}
