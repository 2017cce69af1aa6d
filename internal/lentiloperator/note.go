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

// ReadNote reads the release note that the first argument names, "-" being the
// standard input. Faults have the exit code lentilexit.Note.
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

// ApplyFlags are the flags of every command that carries out a note.
func ApplyFlags() []cli.Flag {
	return []cli.Flag{
		SettingsFlag(),
		JSONFlag(),
		&cli.DurationFlag{Name: "accept-within", Value: lentilapply.DefaultAcceptTimeout, Usage: "give up if the note isn't accepted within `TIME`"},
		&cli.DurationFlag{Name: "wait", Value: lentilapply.DefaultPropagationTimeout, Usage: "wait up to `TIME` until it is in force everywhere"},
	}
}

// Apply carries out a note and shows what came of it.
func Apply(ctx context.Context, c *cli.Command, session *Session, note lentilnote.Note) error {
	run := &lentilapply.Run{Note: note, AcceptTimeout: c.Duration("accept-within"), PropagationTimeout: c.Duration("wait")}
	report := session.Execute(ctx, run)
	return WriteReport(c.Root().Writer, c.Bool("json"), note, report)
}

// maxNameInID is how much of an object's name the id of a made note shows.
const maxNameInID = 24

// GenerateNoteID returns the id of a note that a command makes itself, such as
// "drain-palermo-20260504t101500-1a2b3c4d".
func (s *Session) GenerateNoteID(verb, name string) string {
	if len(name) > maxNameInID {
		name = name[:maxNameInID]
	}
	stamp := s.Clock.Now().UTC().Format("20060102t150405")
	return fmt.Sprintf("%s-%s-%s-%08x", verb, name, stamp, uint32(s.Random()*(1<<32-1)))
}

// FormatAge writes a duration for people, to the second above ten seconds.
func FormatAge(d time.Duration) string {
	const fine = 10 * time.Second
	if d < fine {
		return d.Round(100 * time.Millisecond).String()
	}
	return d.Round(time.Second).String()
}
