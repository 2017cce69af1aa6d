package lentilevent

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// stallingWriter blocks while it is stalled, and fails while failing is set.
type stallingWriter struct {
	mu      sync.Mutex
	out     bytes.Buffer
	stalled chan struct{}
	failing bool
}

func (w *stallingWriter) Write(p []byte) (n int, err error) {
	w.mu.Lock()
	stalled, failing := w.stalled, w.failing
	w.mu.Unlock()
	if stalled != nil {
		<-stalled
	}
	if failing {
		return 0, errors.New("broken pipe")
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.out.Write(p)
}

// TestStalledReaderBlocksNobody guards against a process that stops working while nobody reads its log, and against lines that are missing
// without a word.
func TestStalledReaderBlocksNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &stallingWriter{stalled: make(chan struct{})}
		logger, buffer := NewBuffered(w, Info, Str("role", "agent"))
		const lines = 10_000
		for i := range lines {
			logger.Write(StoreLost, Int("line", i))
		}
		start := time.Now()
		buffer.Close()
		if took := time.Since(start); took != flushTimeout {
			t.Errorf("Close took %s while nobody reads, want %s", took, flushTimeout)
		}
		dropped := buffer.Dropped()
		if waiting := len(buffer.pending); waiting > maxBufferedBytes || dropped == 0 {
			t.Errorf("%d bytes wait, and %d lines are dropped", waiting, dropped)
		}
		w.mu.Lock()
		close(w.stalled)
		w.stalled = nil
		w.mu.Unlock()
		synctest.Wait()
		logger.Write(Stopped)
		buffer.Close()
		out := w.out.String()
		for _, want := range []string{
			`"line":0`, fmt.Sprintf(`"event":"%s","role":"agent","lines":%d`, LinesDropped.Code(), dropped), `"event":"` + Stopped.Code() + `"`,
		} {
			if !strings.Contains(out, want) {
				t.Errorf("the log doesn't contain %s", want)
			}
		}
		if got := strings.Count(out, "\n"); got != lines-int(dropped)+2 {
			t.Errorf("%d lines are written, want %d and two more", got, lines-int(dropped))
		}
	})
}

// TestFailingWriterIsCounted guards against a process that ends, or never writes again, since its log could not be written for a while.
func TestFailingWriterIsCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &stallingWriter{failing: true}
		logger, buffer := NewBuffered(w, Info)
		for range 3 {
			logger.Write(Started)
			synctest.Wait()
		}
		if dropped := buffer.Dropped(); dropped != 3 {
			t.Errorf("%d lines are dropped, want 3", dropped)
		}
		w.mu.Lock()
		w.failing = false
		w.mu.Unlock()
		logger.Write(Stopped)
		buffer.Close()
		if out := w.out.String(); !strings.Contains(out, Stopped.Code()) || !strings.Contains(out, `"lines":3`) {
			t.Errorf("the log is %q", out)
		}
	})
}

// TestBufferKeepsOrder guards against lines that are torn or out of order under concurrent writes.
func TestBufferKeepsOrder(t *testing.T) {
	var out bytes.Buffer
	b := &Buffer{Writer: &out}
	var writers sync.WaitGroup
	for n := range 4 {
		writers.Go(func() {
			for i := range 500 {
				_, _ = fmt.Fprintf(b, "%d %d\n", n, i)
			}
		})
	}
	writers.Wait()
	b.Close()
	var next [4]int
	for line := range strings.Lines(out.String()) {
		var n, i int
		if _, err := fmt.Sscanf(line, "%d %d", &n, &i); err != nil || next[n] != i {
			t.Fatalf("line %q, %v; want number %d", line, err, next[n])
		}
		next[n]++
	}
	if next != [4]int{500, 500, 500, 500} || b.Dropped() != 0 {
		t.Errorf("%v lines, %d dropped", next, b.Dropped())
	}
	if n, err := io.WriteString(&Buffer{}, "discarded\n"); n == 0 || err != nil {
		t.Errorf("the zero Buffer wrote %d bytes, %v", n, err)
	}
}
