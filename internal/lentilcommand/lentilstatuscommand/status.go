// Package lentilstatuscommand is the command `status`.
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

// Doc is the written form of the status of all.
type Doc struct {
	Platform  PlatformDoc   `json:"platform"`
	Balancers []BalancerDoc `json:"balancers"`
	Copies    []CopyDoc     `json:"copies"`
	// InForce says that all nodes have the newest version in force.
	InForce bool `json:"inForce"`
}

// PlatformDoc is the written form of what the platform holds.
type PlatformDoc struct {
	Version uint64 `json:"version"`
	NoteID  string `json:"noteId,omitempty"`
	Error   string `json:"error,omitempty"`
}

// BalancerDoc is the written form of what a balancer says of itself.
type BalancerDoc struct {
	Address string `json:"address"`
	Region  string `json:"region,omitempty"`
	Domain  string `json:"domain"`
	Version uint64 `json:"version"`
	NoteID  string `json:"noteId,omitempty"`
	// AgeMilliseconds is for how long the version has been in force there.
	AgeMilliseconds int64  `json:"ageMilliseconds"`
	Ready           bool   `json:"ready"`
	Reader          bool   `json:"reader"`
	Records         int    `json:"records"`
	Error           string `json:"error,omitempty"`
}

// CopyDoc is the written form of what is known about an agent and its copy.
type CopyDoc struct {
	Copy    string `json:"copy"`
	Service uint16 `json:"service"`
	Domain  uint8  `json:"domain"`
	Phase   string `json:"phase"`
	// Load and Weight are in slots: what the copy works on and what it bears.
	Load    float64 `json:"load"`
	Weight  float64 `json:"weight"`
	Version uint64  `json:"version"`
	// HeartbeatAgeMilliseconds is the time since the latest heartbeat.
	HeartbeatAgeMilliseconds int64 `json:"silenceMilliseconds"`
}

// phaseNames are the written forms of the phases.
var phaseNames = map[lentilrecord.Phase]string{
	lentilrecord.Warming:  "warming",
	lentilrecord.Ready:    "ready",
	lentilrecord.Draining: "draining",
	lentilrecord.Gone:     "gone",
}

// New returns the command.
func New() *cli.Command {
	return &cli.Command{
		Name:        "status",
		Usage:       "show what is in force where, and how the copies are",
		Description: description,
		Flags:       []cli.Flag{lentiloperator.SettingsFlag(), lentiloperator.JSONFlag()},
		Action:      run,
	}
}

// errNotInForceEverywhere says that a node lacks the newest version.
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

// readHead returns what the platform holds. An outage doesn't keep the rest from
// being shown.
func readHead(ctx context.Context, client *lentilplatform.Client) (doc PlatformDoc) {
	object, err := client.Get(ctx, lentilplatform.KindHead, lentilconfig.HeadObjectName)
	if errors.Is(err, lentilplatform.ErrNotFound) {
		return PlatformDoc{}
	}
	if err != nil {
		return PlatformDoc{Error: err.Error()}
	}
	parsed, err := lentilconfig.ParseHeadObject(object.Body())
	if err != nil {
		return PlatformDoc{Error: err.Error()}
	}
	return PlatformDoc{Version: parsed.Version, NoteID: parsed.NoteID}
}

// buildDoc puts together what the nodes say.
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

// slots turns hundredths of a slot into slots.
func slots(hundredths uint16) float64 { return float64(hundredths) / 100 }

func writeText(w io.Writer, doc Doc) (err error) {
	platform := fmt.Sprintf("platform: version %d, note %s", doc.Platform.Version, doc.Platform.NoteID)
	if doc.Platform.Error != "" {
		platform = "platform: " + doc.Platform.Error
	}
	if _, err = fmt.Fprintf(w, "%s\n\n", platform); err != nil {
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
	for _, d := range doc.Copies {
		heard := lentiloperator.FormatAge(time.Duration(d.HeartbeatAgeMilliseconds) * time.Millisecond)
		rows = append(rows, []string{
			d.Copy, fmt.Sprint(d.Service), fmt.Sprint(d.Domain), d.Phase,
			fmt.Sprintf("%.2f", d.Load), fmt.Sprintf("%.2f", d.Weight), fmt.Sprint(d.Version), heard,
		})
	}
	return lentiloperator.WriteTable(w, rows)
}

func yesNo(is bool) string {
	if is {
		return "yes"
	}
	return "no"
}
