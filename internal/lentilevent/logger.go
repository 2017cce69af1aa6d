// Package lentilevent defines the numbered events that the programs log, and the
// logger that writes them. The log, the page docs/events.md and the command `explain`
// all use the same table. Operators search for the numbers and set alerts on them.
package lentilevent

import (
	"io"
	"net/netip"
	"sync"
	"time"

	"github.com/phuslu/log"
	"golang.org/x/time/rate"

	"lentilstair.example/lentilstair/pkg/lentilclock"
)

// Logger writes events as JSON lines. The zero Logger discards them.
type Logger struct {
	sink   *log.Logger
	fields []Field
}

// New returns a logger that writes events of at least the given level to w.
func New(w io.Writer, level Level) Logger {
	return Logger{sink: &log.Logger{Level: level.libraryLevel(), Writer: &log.IOWriter{Writer: &lockedWriter{w: w}}}}
}

// NewBuffered returns a logger that writes events of at least the given level to w, adds the fields to each, and never waits for w. Close
// the buffer when the process ends.
func NewBuffered(w io.Writer, level Level, fields ...Field) (logger Logger, buffer *Buffer) {
	buffer = &Buffer{Writer: w}
	logger = New(buffer, level).With(fields...)
	buffer.ReportDropped = func(lines int) { logger.Write(LinesDropped, Int("lines", lines)) }
	return logger, buffer
}

// With returns a logger that adds the fields to every event.
func (l Logger) With(fields ...Field) Logger {
	l.fields = append(append([]Field(nil), l.fields...), fields...)
	return l
}

// Write logs an event with its fields.
func (l Logger) Write(event Event, fields ...Field) {
	if l.sink == nil {
		return
	}
	doc := event.doc()
	entry := l.sink.WithLevel(doc.level.libraryLevel())
	if entry == nil {
		return
	}
	entry = entry.Str("event", event.Code())
	for _, field := range l.fields {
		entry = field.add(entry)
	}
	for _, field := range fields {
		entry = field.add(entry)
	}
	entry.Msg(doc.title)
}

// Field is a named value of an event. Create one with Str, Int, Uint, Bool, Duration, Addr or Err.
type Field struct {
	add func(*log.Entry) *log.Entry
}

// Str returns a field with a string.
func Str(name, value string) Field {
	return Field{add: func(e *log.Entry) *log.Entry { return e.Str(name, value) }}
}

// Int returns a field with an integer.
func Int(name string, value int) Field {
	return Field{add: func(e *log.Entry) *log.Entry { return e.Int(name, value) }}
}

// Uint returns a field with an unsigned integer, such as a version.
func Uint(name string, value uint64) Field {
	return Field{add: func(e *log.Entry) *log.Entry { return e.Uint64(name, value) }}
}

// Bool returns a field with a boolean.
func Bool(name string, value bool) Field {
	return Field{add: func(e *log.Entry) *log.Entry { return e.Bool(name, value) }}
}

// Duration returns a field with a duration in milliseconds. The name should contain the unit.
func Duration(name string, value time.Duration) Field {
	return Field{add: func(e *log.Entry) *log.Entry { return e.Int64(name, value.Milliseconds()) }}
}

// Addr returns a field with an address and port.
func Addr(name string, value netip.AddrPort) Field {
	return Field{add: func(e *log.Entry) *log.Entry { return e.Str(name, value.String()) }}
}

// Err returns the field "error" with the message of err.
func Err(err error) Field {
	return Field{add: func(e *log.Entry) *log.Entry { return e.Err(err) }}
}

const (
	// defaultRate is the number of events of a kind that a RateLimiter allows per second.
	defaultRate rate.Limit = 1
	// defaultBurst is the number of events of a kind that a RateLimiter allows at once.
	defaultBurst = 5
)

// RateLimiter limits how often events are logged that outsiders can trigger, such as
// malformed packets. Each kind of event has its own token bucket. The zero RateLimiter
// allows one event per second and bursts of five, measured by the system clock.
type RateLimiter struct {
	// Clock is the time source. nil means the system clock.
	Clock lentilclock.Clock
	// Interval is the time after which another event is allowed once a burst is used up. Zero is one second.
	Interval time.Duration

	mu       sync.Mutex
	limiters map[Event]*eventLimiter
}

type eventLimiter struct {
	limiter    *rate.Limiter
	suppressed int
}

func (l *RateLimiter) rate() rate.Limit {
	if l.Interval == 0 {
		return defaultRate
	}
	return rate.Every(l.Interval)
}

// allow reports whether the event may be logged now. If so, it also returns the number
// of events of this kind that were suppressed since the last allowed one.
func (l *RateLimiter) allow(event Event) (suppressed int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limiters == nil {
		l.limiters = make(map[Event]*eventLimiter)
	}
	e := l.limiters[event]
	if e == nil {
		e = &eventLimiter{limiter: rate.NewLimiter(l.rate(), defaultBurst)}
		l.limiters[event] = e
	}
	var clock lentilclock.Clock = lentilclock.System{}
	if l.Clock != nil {
		clock = l.Clock
	}
	if !e.limiter.AllowN(clock.Now(), 1) {
		e.suppressed++
		return 0, false
	}
	suppressed, e.suppressed = e.suppressed, 0
	return suppressed, true
}

// WriteLimited logs an event unless the limiter suppresses it. The field "suppressed"
// is the number of events of this kind that were suppressed since the last logged one.
func (l Logger) WriteLimited(limiter *RateLimiter, event Event, fields ...Field) {
	suppressed, ok := limiter.allow(event)
	if !ok {
		return
	}
	if suppressed > 0 {
		fields = append(fields, Int("suppressed", suppressed))
	}
	l.Write(event, fields...)
}

// lockedWriter serializes writes, which keeps the lines of concurrent goroutines apart.
type lockedWriter struct {
	mu sync.Mutex
	w  io.Writer
}

func (w *lockedWriter) Write(p []byte) (n int, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.w.Write(p)
}
