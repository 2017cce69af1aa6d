package lentilsetting

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

const (
	// maxBytes is the maximum size of a settings file.
	maxBytes = 1 << 20
	// maxDepth is the maximum nesting depth of objects and lists.
	maxDepth = 16
)

// object is a JSON object. It keeps the members in the order of the file and keeps
// duplicates, which a map would hide.
type object []member

type member struct {
	name  string
	value any
}

// list is a JSON array.
type list []any

var errTooDeep = errors.New("objects and lists are nested too deeply")

// parseJSON parses a single JSON value. The result consists of the types object, list,
// string, json.Number, bool and nil. Syntax errors name the line.
func parseJSON(data []byte) (value any, err error) {
	if len(data) > maxBytes {
		return nil, fmt.Errorf("the file has more than %d bytes", maxBytes)
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	value, err = parseValue(decoder, 0)
	if err == nil {
		_, err = decoder.Token()
		switch {
		case errors.Is(err, io.EOF):
			return value, nil
		case err == nil:
			err = errors.New("unexpected data after the end of the object")
		}
	}
	line := 1 + bytes.Count(data[:min(int(decoder.InputOffset()), len(data))], []byte("\n"))
	if errors.Is(err, io.EOF) {
		err = errors.New("unexpected end of file")
	}
	return nil, fmt.Errorf("line %d: %w", line, err)
}

func parseValue(decoder *json.Decoder, depth int) (value any, err error) {
	if depth > maxDepth {
		return nil, errTooDeep
	}
	token, err := decoder.Token()
	if err != nil {
		return nil, err
	}
	switch token {
	case json.Delim('{'):
		return parseObject(decoder, depth)
	case json.Delim('['):
		return parseList(decoder, depth)
	default:
		return token, nil
	}
}

func parseObject(decoder *json.Decoder, depth int) (members object, err error) {
	members = object{}
	for decoder.More() {
		token, err := decoder.Token()
		if err != nil {
			return nil, err
		}
		name, ok := token.(string)
		if !ok {
			return nil, fmt.Errorf("expected a field name, got %v", token)
		}
		value, err := parseValue(decoder, depth+1)
		if err != nil {
			return nil, err
		}
		members = append(members, member{name: name, value: value})
	}
	_, err = decoder.Token()
	return members, err
}

func parseList(decoder *json.Decoder, depth int) (elements list, err error) {
	elements = list{}
	for decoder.More() {
		value, err := parseValue(decoder, depth+1)
		if err != nil {
			return nil, err
		}
		elements = append(elements, value)
	}
	_, err = decoder.Token()
	return elements, err
}
