package lentilreader

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"lentilstair.example/lentilstair/internal/lentilcontrol"
	"lentilstair.example/lentilstair/pkg/lentilconfig"
	"lentilstair.example/lentilstair/pkg/lentilplatform"
)

// TestReaderGoesOnAfterOddObjects guards against a balancer that no longer follows the configuration, since another writer has
// left objects that can't be parsed beside the head or in its place.
func TestReaderGoesOnAfterOddObjects(t *testing.T) {
	const depth = 20_000
	nested := strings.Repeat("[", depth) + strings.Repeat("]", depth)
	object := func(name, spec string) string {
		return fmt.Sprintf(`{"metadata":{"name":%q,"resourceVersion":"5"},"spec":%s}`, name, spec)
	}
	shards := make(map[string]string)
	head := func(version uint64) string {
		doc, split, err := lentilconfig.Split(lentilconfig.Document{Version: version, Domains: []lentilconfig.DomainDoc{{Name: "palermo", Number: 1, Region: "sicilia"}}})
		if err != nil {
			t.Fatal(err)
		}
		for _, s := range split {
			body, err := s.ObjectBody("")
			if err != nil {
				t.Fatal(err)
			}
			shards[string(s.Name())] = string(body)
		}
		body, err := json.Marshal(lentilconfig.HeadObjectDoc{HeadDoc: doc})
		if err != nil {
			t.Fatal(err)
		}
		return object(lentilconfig.HeadObjectName, string(body))
	}
	for name, odd := range map[string]string{
		"beside the head, nested":          object("other", nested),
		"beside the head, metadata nested": `{"metadata":` + nested + `}`,
		"beside the head, a number":        "1e999",
		"in place of the head, nested":     object(lentilconfig.HeadObjectName, nested),
		"in place of the head, a number":   object(lentilconfig.HeadObjectName, `{"version":1e300}`),
		"in place of the head, a list":     object(lentilconfig.HeadObjectName, `{"shards":[7,null]}`),
	} {
		t.Run(name, func(t *testing.T) {
			first, second := head(1), head(2)
			watches := 0
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
				if _, shard, found := strings.Cut(q.URL.Path, "/"+lentilplatform.KindShard.Plural()+"/"); found {
					_, _ = fmt.Fprint(w, object(shard, shards[shard]))
					return
				}
				if !q.URL.Query().Has("watch") {
					items := odd + "," + first
					if watches > 0 {
						items = first + "," + odd
					}
					_, _ = fmt.Fprintf(w, `{"metadata":{"resourceVersion":"9"},"items":[%s]}`, items)
					return
				}
				watches++
				event := odd
				if watches > 1 {
					event = second
				}
				_, _ = fmt.Fprintf(w, `{"type":"MODIFIED","object":%s}`, event)
			}))
			defer server.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			var versions []uint64
			reader := Reader{Client: &lentilplatform.Client{BaseURL: server.URL}}
			sink := lentilcontrol.ConfigurationSink{
				Assemble: func(head lentilconfig.HeadDoc) (*lentilconfig.Assembly, error) {
					return lentilconfig.NewAssembly(head), nil
				},
				Offer: func(document lentilconfig.Document) error {
					if versions = append(versions, document.Version); document.Version > 1 {
						cancel()
					}
					return nil
				},
			}
			// The balancer reads again after an error.
			for attempt := 0; ctx.Err() == nil && attempt < 10; attempt++ {
				if err := reader.Read(ctx, sink); err != nil && ctx.Err() == nil {
					t.Logf("%.200v", err)
				}
			}
			if !slices.Contains(versions, 1) || !slices.Contains(versions, 2) {
				t.Errorf("versions %d are read, want 1 and 2", versions)
			}
		})
	}
}
