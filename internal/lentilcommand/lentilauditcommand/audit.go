// Package lentilauditcommand implements the `audit` command, which shows the audit records
// of release notes.
package lentilauditcommand

import (
	"context"
	_ "embed"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/joomcode/errorx"
	"github.com/urfave/cli/v3"

	"lentilstair.example/lentilstair/internal/lentilexit"
	"lentilstair.example/lentilstair/internal/lentiloperator"
	"lentilstair.example/lentilstair/pkg/lentilapply"
	"lentilstair.example/lentilstair/pkg/lentilconfig"
	"lentilstair.example/lentilstair/pkg/lentilplatform"
)

//go:embed description.txt
var description string

// defaultLimit is the default of the flag --limit.
const defaultLimit = 20

// New returns the `audit` command.
func New() *cli.Command {
	return &cli.Command{
		Name:        "audit",
		Usage:       "show who changed what, when and with what result",
		ArgsUsage:   "[NOTE-ID]",
		Description: description,
		Flags: []cli.Flag{
			lentiloperator.SettingsFlag(),
			lentiloperator.JSONFlag(),
			&cli.IntFlag{Name: "limit", Value: defaultLimit, Usage: "show the latest `COUNT` records"},
		},
		Action: run,
	}
}

func run(ctx context.Context, c *cli.Command) (err error) {
	if c.Args().Len() > 1 || c.Int("limit") < 1 || c.Int("limit") > lentilapply.MaxAuditRecords {
		return lentilexit.With(lentilexit.Usage, errorx.IllegalArgument.New("use: audit [--limit COUNT] [NOTE-ID]"))
	}
	session, err := lentiloperator.Open(c)
	if err != nil {
		return err
	}
	defer session.Close()
	records, err := readRecords(ctx, session.Client, c.Args().First(), c.Int("limit"))
	if err != nil {
		return lentiloperator.WithExitCode(err)
	}
	if c.Bool("json") {
		return lentiloperator.WriteJSON(c.Root().Writer, records)
	}
	return writeTable(c.Root().Writer, records)
}

// readRecords returns the audit record of the note noteID, or the latest records up to limit
// if noteID is empty. The latest record is the last. Records that are deleted meanwhile are
// left out. A latest record that can't be parsed has only its name and the error.
func readRecords(ctx context.Context, client *lentilplatform.Client, noteID string, limit int) (records []lentilapply.AuditDoc, err error) {
	names := []string{noteID}
	if noteID == "" {
		if names, err = latestNames(ctx, client, limit); err != nil {
			return nil, err
		}
	}
	accepted, err := acceptedVersions(ctx, client)
	if err != nil {
		return nil, err
	}
	records = []lentilapply.AuditDoc{}
	for _, name := range names {
		object, err := client.Get(ctx, lentilplatform.KindAudit, name)
		if errors.Is(err, lentilplatform.ErrNotFound) && noteID == "" {
			continue
		}
		if err != nil {
			return nil, err
		}
		record, err := lentilapply.ParseAudit(object.Body())
		if err != nil && noteID != "" {
			return nil, err
		}
		if err != nil {
			record = lentilapply.AuditDoc{NoteID: name, Error: fmt.Sprintf("%.255s", err)}
		}
		records = append(records, resolvePending(record, accepted))
	}
	return records, nil
}

// latestNames returns the names of the audit records that were created last, in the order of
// their creation.
func latestNames(ctx context.Context, client *lentilplatform.Client, limit int) (names []string, err error) {
	objects, _, err := client.ListMetadata(ctx, lentilplatform.KindAudit)
	if err != nil {
		return nil, err
	}
	slices.SortStableFunc(objects, func(a, b lentilplatform.Object) int { return a.Created().Compare(b.Created()) })
	for _, object := range objects[max(0, len(objects)-limit):] {
		names = append(names, object.Name())
	}
	return names, nil
}

// acceptedVersions returns the configuration versions of the recently accepted notes that the
// head lists, by the id of the note. It returns nil if the platform has no head.
func acceptedVersions(ctx context.Context, client *lentilplatform.Client) (versions map[string]uint64, err error) {
	object, err := client.Get(ctx, lentilplatform.KindHead, lentilconfig.HeadObjectName)
	if errors.Is(err, lentilplatform.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	head, err := lentilconfig.ParseHeadObject(object.Body())
	if err != nil {
		return nil, err
	}
	versions = make(map[string]uint64, len(head.RecentNotes))
	for _, note := range head.RecentNotes {
		versions[note.NoteID] = note.Version
	}
	return versions, nil
}

// resolvePending returns a pending record as accepted if the head lists its note. Such a
// record remains if the command that applied the note ended before it could complete it.
func resolvePending(record lentilapply.AuditDoc, accepted map[string]uint64) lentilapply.AuditDoc {
	version, found := accepted[record.NoteID]
	if record.Result == lentilapply.ResultPending && found {
		record.Result = lentilapply.ResultAccepted
		record.Version = version
	}
	return record
}

func writeTable(w io.Writer, records []lentilapply.AuditDoc) error {
	rows := [][]string{{"STARTED", "NOTE", "AUTHOR", "RESULT", "VERSION", "CHANGES"}}
	for _, record := range records {
		rows = append(rows, []string{
			formatStarted(record), record.NoteID, record.Author, record.Result,
			fmt.Sprint(record.Version), summarize(record),
		})
	}
	return lentiloperator.WriteTable(w, rows)
}

// formatStarted returns when the application of the note began, or "-" if that is not known.
// It isn't known in a record that the writer of a later note had to create.
func formatStarted(record lentilapply.AuditDoc) string {
	if record.Started.IsZero() {
		return "-"
	}
	return record.Started.Format(time.RFC3339)
}

// summarize returns the first changes of a record and its error, if any.
func summarize(record lentilapply.AuditDoc) string {
	const maxChanges = 3
	parts := slices.Clone(record.Changes[:min(maxChanges, len(record.Changes))])
	if more := record.ChangeCount - len(parts); more > 0 {
		parts = append(parts, fmt.Sprintf("and %d more", more))
	}
	if record.Error != "" {
		parts = append(parts, record.Error)
	}
	return strings.Join(parts, "; ")
}
