package lentilplatform

import (
	"context"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
)

// TestOddObjectsHideNoOthers guards against one object of another writer that makes a whole list unreadable.
func TestOddObjectsHideNoOthers(t *testing.T) {
	const depth = 20_000
	nested := strings.Repeat("[", depth) + strings.Repeat("]", depth)
	object := func(metadata, spec string) string { return `{"metadata":` + metadata + `,"spec":` + spec + `}` }
	const metadata = `{"name":"odd","resourceVersion":"5"}`
	for _, c := range []struct {
		name, object string
		usable       bool
	}{
		{"nested spec", object(metadata, nested), true},
		{"nested status", `{"status":` + nested + `,"metadata":` + metadata + `}`, true},
		{"nested metadata", object(nested, "{}"), false},
		{"nested labels", object(`{"name":"odd","labels":`+nested+`}`, "{}"), false},
		{"name 1e999", object(`{"name":1e999}`, "{}"), false},
		{"resource version a number", object(`{"name":"odd","resourceVersion":1e300}`, "{}"), false},
		{"time of creation", object(`{"name":"odd","creationTimestamp":"yesterday"}`, "{}"), false},
		{"kind a number", `{"kind":5,"apiVersion":[],"metadata":` + metadata + `}`, true},
		{"no metadata", `{"spec":{}}`, false},
		{"no name", object(`{"resourceVersion":"5"}`, "{}"), false},
		{"null", "null", false},
		{"number", "1e999", false},
		{"array", "[{}]", false},
		{"spec that can't be read", object(metadata, "{nothing}"), true},
		{"huge", object(metadata, `"`+strings.Repeat("x", 1<<18)+`"`), true},
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			items, next := object(`{"name":"a","resourceVersion":"1"}`, `{"n":1}`)+","+c.object, "more"
			if q.URL.Query().Get("continue") == "more" {
				items, next = c.object+","+object(`{"name":"z","resourceVersion":"2"}`, `{"n":2}`), ""
			}
			_, _ = w.Write([]byte(`{"apiVersion":"v1","metadata":{"resourceVersion":"9","continue":"` + next + `"},"items":[` + items + `]}`))
		}))
		var invalid []string
		client := &Client{BaseURL: server.URL, OnInvalid: func(kind Kind, _ string, err error) { invalid = append(invalid, kind.Plural()+": "+err.Error()) }}
		objects, version, err := client.List(context.Background(), KindHead)
		var names []string
		for _, o := range objects {
			names = append(names, o.Name())
		}
		want := []string{"a", "z"}
		if c.usable {
			want = []string{"a", "odd", "odd", "z"}
		}
		if err != nil || version != "9" || !slices.Equal(names, want) || c.usable != (len(invalid) == 0) {
			t.Errorf("%s: got %.100q at %s, %.200v, invalid %.200q; want %q", c.name, names, version, err, invalid, want)
		}
		client.OnInvalid = nil
		if _, _, err := client.ListMetadata(context.Background(), KindHead); err != nil {
			t.Errorf("%s: %.200v", c.name, err)
		}
		server.Close()
	}
}

// TestLargeObjectsHideNoOthers guards against large objects of another writer, which together exceed the largest page that is
// read.
func TestLargeObjectsHideNoOthers(t *testing.T) {
	const count = 4
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		next := ""
		first, last := strings.Index("abcd", q.URL.Query().Get("continue")), count
		if q.URL.Query().Get("limit") == "1" {
			if last = first + 1; last < count {
				next = "abcd"[last : last+1]
			}
		}
		var items []string
		for _, name := range "abcd"[first:last] {
			items = append(items, `{"metadata":{"name":"`+string(name)+`"},"spec":"`+strings.Repeat("x", MaxObjectSize/2)+`"}`)
		}
		_, _ = w.Write([]byte(`{"metadata":{"resourceVersion":"9","continue":"` + next + `"},"items":[` + strings.Join(items, ",") + `]}`))
	}))
	defer server.Close()
	objects, version, err := (&Client{BaseURL: server.URL}).List(context.Background(), KindHead)
	if err != nil || version != "9" || len(objects) != count {
		t.Errorf("%d objects at %s, %v", len(objects), version, err)
	}
}
