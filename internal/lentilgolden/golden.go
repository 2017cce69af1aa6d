// Package lentilgolden compares what a test got with a golden file. Only tests
// import it. Run a test with the flag -update to write its golden files anew.
package lentilgolden

import (
	"flag"
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"
)

var update = flag.Bool("update", false, "write the golden files anew")

// Check reports an error if got is not what the golden file holds.
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
