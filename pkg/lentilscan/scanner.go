// Package lentilscan reads JSON that several writers have written, such as a list of objects: a value that can't be decoded
// leaves those beside it readable.
package lentilscan

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
)

// ErrMalformed means that the end of a JSON value can't be found.
var ErrMalformed = errors.New("malformed JSON")

// ErrWrongType means that a value of another type was consumed instead of an object or an array.
var ErrWrongType = errors.New("unexpected JSON value")

// Scanner reads the values of a JSON text in order. Unlike encoding/json it sets no limit to their depth, and needs only the
// strings and brackets of a value to end, so that a value that can't be decoded leaves those beside it readable.
type Scanner struct {
	// AfterElement is called after each element of an array. It may be nil.
	AfterElement func()

	data   []byte
	offset int
}

// New returns a scanner at the start of data.
func New(data []byte) *Scanner { return &Scanner{data: data} }

// peek returns the next byte that isn't white space, or 0 at the end.
func (s *Scanner) peek() byte {
	for ; s.offset < len(s.data); s.offset++ {
		switch c := s.data[s.offset]; c {
		case ' ', '\t', '\r', '\n':
		default:
			return c
		}
	}
	return 0
}

// accept consumes the byte want if it comes next.
func (s *Scanner) accept(want byte) (accepted bool) {
	if s.peek() != want || s.offset == len(s.data) {
		return false
	}
	s.offset++
	return true
}

// Value consumes a value and returns its bytes.
func (s *Scanner) Value() (value []byte, err error) {
	first := s.peek()
	start := s.offset
	switch first {
	case '{', '[':
		err = s.skipBrackets()
	case '"':
		err = s.skipString()
	default:
		length := bytes.IndexAny(s.data[start:], ",:{}[]\" \t\r\n")
		if length < 0 {
			length = len(s.data) - start
		}
		if length == 0 {
			return nil, ErrMalformed
		}
		s.offset += length
	}
	return s.data[start:s.offset], err
}

// skipBrackets consumes an object or an array.
func (s *Scanner) skipBrackets() (err error) {
	for depth := 0; s.offset < len(s.data); {
		switch s.data[s.offset] {
		case '"':
			if err = s.skipString(); err != nil {
				return err
			}
			continue
		case '{', '[':
			depth++
		case '}', ']':
			depth--
		}
		if s.offset++; depth == 0 {
			return nil
		}
	}
	return ErrMalformed
}

// skipString consumes a string.
func (s *Scanner) skipString() (err error) {
	for i := s.offset + 1; i < len(s.data); i++ {
		switch s.data[i] {
		case '\\':
			i++
		case '"':
			s.offset = i + 1
			return nil
		}
	}
	return ErrMalformed
}

// Decode consumes a value and decodes it into result.
func (s *Scanner) Decode(result any) (err error) {
	value, err := s.Value()
	if err != nil {
		return err
	}
	return json.Unmarshal(value, result)
}

// Skip consumes a value.
func (s *Scanner) Skip() (err error) {
	_, err = s.Value()
	return err
}

// Members calls decode with the name of each member of an object; decode consumes the value. The value null counts as an
// object without members.
func (s *Scanner) Members(decode func(name string) error) (err error) {
	return s.sequence('{', '}', func() error {
		var name string
		if s.peek() != '"' || s.Decode(&name) != nil || !s.accept(':') {
			return ErrMalformed
		}
		return decode(name)
	})
}

// Elements calls decode for each element of an array; decode consumes it. The value null counts as an empty array.
func (s *Scanner) Elements(decode func() error) (err error) {
	return s.sequence('[', ']', func() error {
		err := decode()
		if err == nil && s.AfterElement != nil {
			s.AfterElement()
		}
		return err
	})
}

// sequence consumes an object or an array, and calls part to consume each of its parts. A value of another type is consumed
// as a whole; the error is ErrWrongType then, unless it is null.
func (s *Scanner) sequence(begin, end byte, part func() error) (err error) {
	if s.peek() != begin {
		value, err := s.Value()
		if err == nil && string(value) != "null" {
			err = fmt.Errorf("%w: %.1s, want %c", ErrWrongType, value, begin)
		}
		return err
	}
	s.offset++
	if s.accept(end) {
		return nil
	}
	for {
		if err = part(); err != nil {
			return err
		}
		if s.accept(end) {
			return nil
		}
		if !s.accept(',') {
			return ErrMalformed
		}
	}
}

// Tolerate calls decode, which consumes a value. If decode fails, the value is consumed anyway, and invalid is the reason.
func (s *Scanner) Tolerate(decode func() error) (invalid, err error) {
	start := s.offset
	if invalid = decode(); invalid == nil {
		return nil, nil
	}
	s.offset = start
	return invalid, s.Skip()
}
