package lentilscan

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
)

func TestValuesAreConsumedWhole(t *testing.T) {
	const depth = 20_000
	for _, value := range []string{
		"1", "-1e999", "null", "true", `""`, `"a\"b\\"`, `"{["`, "{}", "[]", ` [ 1 , {"a" : "]"} ] `, `{"a":{"b":[]},"c":"}"}`,
		strings.Repeat("[", depth) + strings.Repeat("]", depth), strings.Repeat(`{"a":`, depth) + "1" + strings.Repeat("}", depth),
		"nothing", "01e", `{"a":+}`, "[,]", "\"\xff\"", "\"\x01\"",
	} {
		s := New([]byte("[" + value + ",7]"))
		var values []string
		err := s.Elements(func() error {
			v, err := s.Value()
			values = append(values, string(v))
			return err
		})
		if want := strings.TrimSpace(value); err != nil || len(values) != 2 || values[0] != want || values[1] != "7" {
			t.Errorf("%.40q: got %.80q, %v", value, values, err)
		}
	}
}

func TestMalformedValues(t *testing.T) {
	for _, data := range []string{"", " ", "{", "[", `"`, `"\`, `"a\"`, "[1", "[1,", "[1 2]", "[1}", `{"a"`, `{"a":`, `{"a":1`, `{"a":1,`, `{"a":1,}`, `{"a" 1}`, "{1:1}", "]", ",", ":", "[,", `{"a":[1,{]}`} {
		s := New([]byte(data))
		var err error
		if strings.HasPrefix(data, "[") {
			err = s.Elements(s.Skip)
		} else {
			err = s.Members(func(string) error { return s.Skip() })
		}
		if !errors.Is(err, ErrMalformed) {
			t.Errorf("%q: %v", data, err)
		}
	}
}

func TestWrongTypesAreConsumed(t *testing.T) {
	s := New([]byte(`[5,{"a":1},"x",null,[2]]`))
	var got []string
	err := s.Elements(func() error {
		err := s.Elements(func() error {
			var n int
			err := s.Decode(&n)
			got = append(got, fmt.Sprint(n))
			return err
		})
		if errors.Is(err, ErrWrongType) {
			got, err = append(got, "wrong type"), nil
		}
		return err
	})
	if want := "wrong type, wrong type, wrong type, 2"; err != nil || strings.Join(got, ", ") != want {
		t.Errorf("got %q, %v, want %q", got, err, want)
	}
}

func TestTolerateGoesOnAfterTheValue(t *testing.T) {
	s := New([]byte(`[{"n":1},{"n":"x","a":[{}]},5,{"n":2}]`))
	var got []string
	err := s.Elements(func() error {
		var doc struct {
			N int `json:"n"`
		}
		invalid, err := s.Tolerate(func() error { return s.Members(func(string) error { return s.Decode(&doc.N) }) })
		got = append(got, fmt.Sprint(doc.N, invalid != nil))
		return err
	})
	if want := "1 false, 0 true, 0 true, 2 false"; err != nil || strings.Join(got, ", ") != want {
		t.Errorf("got %q, %v, want %q", got, err, want)
	}
}

// FuzzScanner compares the scanner with encoding/json: what that accepts is consumed as one value, part by part, and what it
// takes for truncated isn't consumed.
func FuzzScanner(f *testing.F) {
	for _, seed := range []string{`{"items":[{"meta":{"name":"a"}}],"position":7}`, `[1,"a\"",null,{}]`, `{"a`, `"\u00e9"`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s := New(data)
		value, err := s.Value()
		trimmed, valid := bytes.Trim(data, " \t\r\n"), json.Valid(data)
		if valid && (err != nil || !bytes.Equal(value, trimmed)) {
			t.Fatalf("valid value %q consumed as %q, %v", data, value, err)
		}
		const truncations = 200
		for n := range min(len(trimmed), truncations) {
			if _, err := New(trimmed[:n]).Value(); valid && err == nil && strings.ContainsRune(`{["`, rune(trimmed[0])) {
				t.Fatalf("%q, truncated to %d bytes, is consumed", trimmed, n)
			}
		}
		parts := 0
		s = New(data)
		err = s.Members(func(string) error { parts++; return s.Skip() })
		var members map[string]json.RawMessage
		if json.Unmarshal(data, &members) == nil && (err != nil || parts < len(members)) {
			t.Fatalf("%q: %d of %d members, %v", data, parts, len(members), err)
		}
		parts = 0
		s = New(data)
		err = s.Elements(func() error { parts++; return s.Skip() })
		var elements []json.RawMessage
		if json.Unmarshal(data, &elements) == nil && (err != nil || parts != len(elements)) {
			t.Fatalf("%q: %d of %d elements, %v", data, parts, len(elements), err)
		}
	})
}
