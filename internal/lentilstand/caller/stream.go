package caller

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"lentilstair.example/lentilstair/internal/lentilstand/upstream"
)

// keepStreamOpen keeps one stream open until ctx ends. It reopens a broken stream.
func (g *Group) keepStreamOpen(ctx context.Context, cl *client, id string) {
	for ctx.Err() == nil {
		if !g.runStream(ctx, cl, id) {
			select {
			case <-ctx.Done():
			case <-time.After(time.Second):
			}
		}
	}
}

// runStream opens a stream and reads it to its end. It counts a stream that was refused
// or broke, and returns false: it should be reopened after a pause.
func (g *Group) runStream(ctx context.Context, cl *client, id string) (ok bool) {
	tickCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	streamCtx, endStream := g.streamContext(tickCtx)
	defer endStream()
	request, err := http.NewRequestWithContext(streamCtx, http.MethodGet, g.options.Target+"/watch?id="+url.QueryEscape(id), nil)
	if err != nil {
		return false
	}
	tickTimer := time.AfterFunc(tickTimeout, cancel)
	defer tickTimer.Stop()
	response, err := cl.streamClient(&g.options).Do(request)
	if err != nil {
		if ctx.Err() == nil {
			g.recorder.updateStreams(func(d *StreamsDoc) { d.Refused++ })
		}
		return false
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		g.recorder.updateStreams(func(d *StreamsDoc) { d.Refused++ })
		return false
	}
	g.recorder.updateStreams(func(d *StreamsDoc) { d.Opened++ })
	copyName, err := g.readTicks(response.Body, id, tickTimer)
	// The caller itself ended the stream: at the end of the run, or after StreamDuration.
	if ctx.Err() != nil || streamCtx.Err() != nil && tickCtx.Err() == nil {
		return true
	}
	g.recorder.recordBrokenStream(id, copyName, err.Error())
	return false
}

// streamContext returns a context that ends after StreamDuration, if one is set.
func (g *Group) streamContext(ctx context.Context) (streamCtx context.Context, end context.CancelFunc) {
	if g.options.StreamDuration == 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, g.options.StreamDuration)
}

// readTicks reads a stream to its end and returns the name of the copy that sent it.
// err is never nil: it is io.EOF if the stream ended without another error.
func (g *Group) readTicks(body io.Reader, id string, tickTimer *time.Timer) (copyName string, err error) {
	lines := bufio.NewScanner(body)
	last, previous := time.Now(), uint64(0)
	for lines.Scan() {
		var tick upstream.TickDoc
		err = json.Unmarshal(lines.Bytes(), &tick)
		gap := time.Since(last)
		last = time.Now()
		tickTimer.Reset(tickTimeout)
		expected := err == nil && tick.ID == id && tick.Sequence == previous+1
		previous, copyName = tick.Sequence, tick.Copy
		g.recorder.updateStreams(func(d *StreamsDoc) {
			d.Ticks++
			d.LongestGapMillis = max(d.LongestGapMillis, gap.Milliseconds())
			if !expected {
				d.Gaps++
			}
		})
	}
	if lines.Err() == nil {
		return copyName, io.EOF
	}
	return copyName, lines.Err()
}
