package lentilevent

import (
	"bytes"
	"io"
	"sync"
	"time"
)

const (
	// maxBufferedBytes bounds what waits for the writer: some seconds of a busy process's lines.
	maxBufferedBytes = 256 << 10
	// flushTimeout is how long Close waits for the writer. It is short beside the time that a process has for its stop.
	flushTimeout = 500 * time.Millisecond
)

// Buffer passes lines on to a writer that may block or fail, such as a pipe that nobody reads. Write never waits for the writer. Lines that
// find the buffer full, or that the writer fails to take, are dropped and counted. The zero Buffer discards all lines. It is safe
// for concurrent use.
type Buffer struct {
	// Writer gets the lines, several at a time. Set it before the first use.
	Writer io.Writer
	// ReportDropped is called with the number of lines that were dropped since the last report, once the writer takes lines again. It may
	// call Write. Nil means that they are only counted.
	ReportDropped func(lines int)

	mu sync.Mutex
	// pending are the lines that wait, and spare is the memory of those that were written last.
	pending, spare []byte
	// unreported is the number of dropped lines that weren't reported yet, and dropped that of all.
	unreported int
	dropped    uint64
	// writing is closed once nothing waits any more; nil if nothing does.
	writing chan struct{}
}

// Write queues the lines in p, or drops them if the buffer is full.
func (b *Buffer) Write(p []byte) (n int, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.Writer == nil:
		return len(p), nil
	case len(b.pending)+len(p) > maxBufferedBytes:
		b.recordDropped(p)
		return len(p), nil
	}
	b.pending = append(b.pending, p...)
	if b.writing == nil {
		b.writing = make(chan struct{})
		go b.drain()
	}
	return len(p), nil
}

// Dropped returns the number of lines that were dropped.
func (b *Buffer) Dropped() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.dropped
}

// Close waits until the lines have been written, for half a second at most.
func (b *Buffer) Close() {
	b.mu.Lock()
	writing := b.writing
	b.mu.Unlock()
	if writing == nil {
		return
	}
	select {
	case <-writing:
	case <-time.After(flushTimeout):
	}
}

// recordDropped counts the lines in p. The caller holds b.mu.
func (b *Buffer) recordDropped(p []byte) {
	lines := bytes.Count(p, []byte("\n"))
	b.unreported += lines
	b.dropped += uint64(lines)
}

// drain writes what waits until nothing does.
func (b *Buffer) drain() {
	for {
		lines, ok := b.next()
		if !ok {
			return
		}
		_, err := b.Writer.Write(lines)
		if dropped := b.recordWritten(lines, err); dropped > 0 && b.ReportDropped != nil {
			b.ReportDropped(dropped)
		}
	}
}

// next takes the lines that wait. ok is false if there are none.
func (b *Buffer) next() (lines []byte, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.pending) == 0 {
		close(b.writing)
		b.writing = nil
		return nil, false
	}
	lines, b.pending, b.spare = b.pending, b.spare[:0], nil
	return lines, true
}

// recordWritten records the result of a write, and returns the number of dropped lines to report.
func (b *Buffer) recordWritten(lines []byte, err error) (dropped int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spare = lines[:0]
	if err != nil {
		b.recordDropped(lines)
		return 0
	}
	if len(b.pending) > maxBufferedBytes/2 {
		return 0 // The report might be dropped itself.
	}
	dropped, b.unreported = b.unreported, 0
	return dropped
}
