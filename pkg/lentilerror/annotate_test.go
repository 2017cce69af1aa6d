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
		t.Errorf("the cause is hidden in %v", err)
	}
	if want := "start, cause: load settings, cause: open a: file does not exist"; err.Error() != want {
		t.Errorf("the error is %q, want %q", err, want)
	}
	err = nil
	Annotate(&err, "start")
	if err != nil {
		t.Errorf("no error became %v", err)
	}
}
