// Package lentilgolden compares the output of a test with a golden file. Only tests
// import it. The test flag -update rewrites the golden files.
package lentilgolden

import (
	"flag"
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// Check fails the test if got differs from the content of the golden file.
func Check(t testing.TB, file, got string) {
	t.Helper()
	if *update {
		if err := os.WriteFile(file, []byte(got), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file) // #nosec G304 -- the tests name the files
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), got); diff != "" {
		t.Errorf("%s: -want +got:\n%s", file, diff)
	}
}
