package lentilsetting

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

const (
	// maxBytes is the largest settings file.
	maxBytes = 1 << 20
	// maxDepth is how deep objects and lists may stand in each other.
	maxDepth = 16
)

// object is a JSON object whose members are kept in the written order, so that
// a doubled field can be seen.
type object []member

type member struct {
	name  string
	value any
}

// list is a JSON array.
type list []any

var errTooDeep = errors.New("objects and lists stand too deep in each other")

// parseJSON reads one JSON value of object, list, string, json.Number, bool or nil.
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
			err = errors.New("something follows the end of the object")
		}
	}
	line := 1 + bytes.Count(data[:min(int(decoder.InputOffset()), len(data))], []byte("\n"))
	if errors.Is(err, io.EOF) {
		err = errors.New("the file ends too early")
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

func parseObject(decoder *json.Decoder, depth int) (out object, err error) {
	out = object{}
	for decoder.More() {
		token, err := decoder.Token()
		if err != nil {
			return nil, err
		}
		name, ok := token.(string)
		if !ok {
			return nil, fmt.Errorf("%v stands where a field's name is needed", token)
		}
		value, err := parseValue(decoder, depth+1)
		if err != nil {
			return nil, err
		}
		out = append(out, member{name: name, value: value})
	}
	_, err = decoder.Token()
	return out, err
}

func parseList(decoder *json.Decoder, depth int) (out list, err error) {
	out = list{}
	for decoder.More() {
		value, err := parseValue(decoder, depth+1)
		if err != nil {
			return nil, err
		}
		out = append(out, value)
	}
	_, err = decoder.Token()
	return out, err
}
