package lentiloperator

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/joomcode/errorx"
	"github.com/urfave/cli/v3"

	"lentilstair.example/lentilstair/internal/lentilexit"
	"lentilstair.example/lentilstair/pkg/lentilapply"
	"lentilstair.example/lentilstair/pkg/lentilnote"
)

// ReadNote reads the release note from the file that the only argument names; "-" is
// standard input. An error in the note carries the exit code lentilexit.Note.
func ReadNote(c *cli.Command) (note lentilnote.Note, err error) {
	name := c.Args().First()
	if name == "" || c.Args().Len() != 1 {
		return note, lentilexit.With(lentilexit.Usage, errorx.IllegalArgument.New("use: %s NOTE", c.FullName()))
	}
	body, err := readNoteBody(c, name)
	if err != nil {
		return note, err
	}
	if note, err = lentilnote.Parse(body); err != nil {
		return note, lentilexit.With(lentilexit.Note, err)
	}
	return note, nil
}

// readNoteBody reads at most one byte more than lentilnote.MaxSize. lentilnote.Parse then
// rejects a note that is too large.
func readNoteBody(c *cli.Command, name string) (body []byte, err error) {
	reader := c.Root().Reader
	if name != "-" {
		file, err := os.Open(name) // #nosec G304 -- the operator names the file
		if err != nil {
			return nil, err
		}
		defer func() { _ = file.Close() }()
		reader = file
	}
	return io.ReadAll(io.LimitReader(reader, lentilnote.MaxSize+1))
}

// ApplyFlags returns the flags of every command that applies a note.
func ApplyFlags() []cli.Flag {
	return []cli.Flag{
		SettingsFlag(),
		JSONFlag(),
		&cli.DurationFlag{Name: "accept-within", Value: lentilapply.DefaultAcceptTimeout, Usage: "abandon the note if it isn't accepted within `TIME`"},
		&cli.DurationFlag{Name: "wait", Value: lentilapply.DefaultPropagationTimeout, Usage: "wait up to `TIME` until the note is in force everywhere"},
	}
}

// Apply applies a note and writes the report. It returns the error of WriteReport.
func Apply(ctx context.Context, c *cli.Command, session *Session, note lentilnote.Note) error {
	run := &lentilapply.Run{Note: note, AcceptTimeout: c.Duration("accept-within"), PropagationTimeout: c.Duration("wait")}
	report := session.Execute(ctx, run)
	return WriteReport(c.Root().Writer, c.Bool("json"), note, report)
}

// maxNameInID is the maximum number of bytes of an object's name in a generated note id.
const maxNameInID = 24

// GenerateNoteID returns an id for a note that a command creates itself, such as
// "drain-palermo-20260504t101500-1a2b3c4d". It consists of the command, an object's name,
// the time and a random number.
func (s *Session) GenerateNoteID(command, name string) string {
	if len(name) > maxNameInID {
		name = name[:maxNameInID]
	}
	timestamp := s.Clock.Now().UTC().Format("20060102t150405")
	return fmt.Sprintf("%s-%s-%s-%08x", command, name, timestamp, uint32(s.Random()*(1<<32-1)))
}

// FormatAge formats a duration for display. It rounds to tenths of a second below ten
// seconds, and to seconds otherwise.
func FormatAge(d time.Duration) string {
	const fineLimit = 10 * time.Second
	if d < fineLimit {
		return d.Round(100 * time.Millisecond).String()
	}
	return d.Round(time.Second).String()
}
