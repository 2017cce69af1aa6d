package lentilerror

import (
	"errors"
	"io/fs"
	"testing"
)

func TestAnnotateKeepsTheCauseInSight(t *testing.T) {
	err := error(&fs.PathError{Op: "open", Path: "a", Err: fs.ErrNotExist})
	Annotate(&err, "load %s", "settings")
	Annotate(&err, "start")
	var cause *fs.PathError
	if !errors.Is(err, fs.ErrNotExist) || !errors.As(err, &cause) {
		t.Errorf("errors.Is or errors.As does not find the cause of %v", err)
	}
	if want := "start, cause: load settings, cause: open a: file does not exist"; err.Error() != want {
		t.Errorf("got error %q, want %q", err, want)
	}
	err = nil
	Annotate(&err, "start")
	if err != nil {
		t.Errorf("a nil error was annotated as %v", err)
	}
}
