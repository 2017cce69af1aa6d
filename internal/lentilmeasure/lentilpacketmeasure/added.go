package lentilpacketmeasure

import (
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"lentilstair.example/lentilstair/internal/lentilfigure"
	"lentilstair.example/lentilstair/internal/lentillab"
)

const (
	// requestInterval is the time between two requests, long enough for a cold copy.
	requestInterval = 50 * time.Millisecond
	// callerRate is the same for callers, in requests a second.
	callerRate = 20
	// callerTimeout is how long a caller waits for an answer.
	callerTimeout = 5 * time.Second
)

// measureAddedLatency compares the median time of an answer through the whole path, by
// HTTP/3, with that of a plain request to the copy.
func measureAddedLatency(ctx context.Context, site *lentillab.RunningSite, duration time.Duration) (figures []lentilfigure.Figure, err error) {
	direct, err := measureDirectLatency(ctx, site, duration)
	if err != nil {
		return nil, err
	}
	demand := lentillab.Workload{Connections: 1, RepeatableRate: callerRate, Timeout: callerTimeout, Seed: 1}
	crowd, err := site.StartCallers("added", site.Site().Services[0], duration, demand)
	if err != nil {
		return nil, err
	}
	report, err := crowd.Report(ctx)
	if err != nil {
		return nil, err
	}
	return []lentilfigure.Figure{
		lentilfigure.New("packets.answerMillis", report.Repeatable.MillisP50, "ms").WithBaseline("request to the copy itself", direct),
	}, nil
}

// measureDirectLatency returns the median time of requests to the copy, in milliseconds.
func measureDirectLatency(ctx context.Context, site *lentillab.RunningSite, duration time.Duration) (median float64, err error) {
	var times []float64
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(requestInterval) {
		began := time.Now()
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, site.Copies()[0].UpstreamURL()+"/work?id=direct", nil)
		if err != nil {
			return 0, err
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return 0, err
		}
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if err != nil {
			return 0, err
		}
		times = append(times, float64(time.Since(began).Microseconds())/1000)
	}
	slices.Sort(times)
	return times[len(times)/2], nil
}
